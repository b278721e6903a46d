package gateway_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// dripPause is the time between two pieces of bytes that come a few at a time.
const dripPause = 10 * time.Millisecond

// flood writes a piece again and again until the other side closes.
func (a *arrival) flood(piece string, pause time.Duration) bool {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(pause) {
		if err := a.conn.SetWriteDeadline(end); err != nil {
			return false
		}
		if _, err := io.WriteString(a.conn, piece); err != nil {
			return false
		}
	}
	return false
}

// framed returns a text as one part of a chunked body.
func framed(text string) string { return "2\r\n" + text + "\r\n" }

// endless are bytes without end that are no answer, by where they come.
var endless = map[string]func(a *arrival) bool{
	"head, a few at a time": func(a *arrival) bool {
		_, _ = io.WriteString(a.conn, "HTTP/1.1 200 OK\r\n")
		return a.flood("X-A: b\r\n", dripPause)
	},
	"head, fast": func(a *arrival) bool { return a.flood("HTTP/1.1 200 OK\r\nX-A: b\r\n", 0) },
	"interim answers, a few at a time": func(a *arrival) bool {
		return a.flood("HTTP/1.1 100 Continue\r\n\r\n", dripPause)
	},
	"body without frames, fast": func(a *arrival) bool {
		a.begin()
		return a.flood("zzzzzzzz", 0)
	},
	"framed, no event, a few at a time": func(a *arrival) bool {
		a.begin()
		return a.flood(framed("zz"), dripPause)
	},
	"framed, no event, fast": func(a *arrival) bool {
		a.begin()
		return a.flood(strings.Repeat(framed("zz"), 100), 0)
	},
	"framed, empty events, a few at a time": func(a *arrival) bool {
		a.begin()
		return a.flood(framed("\n\n"), dripPause)
	},
	"framed, empty events, fast": func(a *arrival) bool {
		a.begin()
		return a.flood(strings.Repeat(framed("\n\n"), 100), 0)
	},
	"framed, comments, a few at a time": func(a *arrival) bool {
		a.begin()
		return a.flood("6\r\n: zz\n\n\r\n", dripPause)
	},
	"framed, events without a number, a few at a time": func(a *arrival) bool {
		a.begin()
		return a.flood("9\r\ndata: z\n\n\r\n", dripPause)
	},
	"after an event, a few at a time": func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		return a.flood(framed("\n\n"), dripPause)
	},
}

// A target that sends bytes without end that are no answer is left like a silent one: a
// stream that may go on elsewhere does, and no such byte is passed on.
func TestEndlessBytesAreNoSignOfLife(t *testing.T) {
	for name, script := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnvWith(t, keepKeysValid, newScripted(t, "a", "model", func(a *arrival) bool {
				if a.header("Last-Event-Id") == "" && a.header("X-Attempt-Id") == "r1" {
					return script(a)
				}
				a.begin()
				a.events(2, 3)
				a.end()
				return true
			}), newScripted(t, "b", "model", func(a *arrival) bool {
				a.begin()
				from := 1
				if a.header("Last-Event-Id") == "1" {
					from = 2
				}
				a.events(from, 3)
				a.end()
				return true
			}))
			r := w.do(call{path: "/stream/x", key: "key1", id: "r1", deadline: 5 * time.Second})
			require.NoError(t, r.err)
			require.Equal(t, fasthttp.StatusOK, r.status, r.body)
			require.Equal(t, wantEvents(3), r.body)
		})
	}
}

// A request that may not be sent again ends at its deadline, whatever bytes come.
func TestEndlessBytesEndAtTheDeadline(t *testing.T) {
	for name, script := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, newScripted(t, "a", "model", script))
			began := time.Now()
			r := w.do(call{path: "/once/x", key: "key1", id: "r1", deadline: time.Second})
			require.Less(t, time.Since(began), 3*time.Second)
			if r.err == nil {
				require.GreaterOrEqual(t, r.status, fasthttp.StatusInternalServerError)
				require.NotEqual(t, fasthttp.StatusServiceUnavailable, r.status, "it may have run")
			}
		})
	}
}

// A plain answer whose body never ends is given up at the deadline of the request.
func TestEndlessPlainAnswerEndsAtTheDeadline(t *testing.T) {
	for name, head := range map[string]string{
		"answer":    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"rejection": "HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"failure":   "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, newScripted(t, "a", "plain", func(a *arrival) bool {
				_, _ = io.WriteString(a.conn, head)
				return a.flood(framed("zz"), dripPause)
			}))
			began := time.Now()
			r := w.do(call{path: "/order/x", id: "r1", deadline: time.Second})
			require.NoError(t, r.err)
			require.GreaterOrEqual(t, r.status, fasthttp.StatusInternalServerError)
			require.Less(t, time.Since(began), 3*time.Second)
		})
	}
}
