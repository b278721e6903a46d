package gateway_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// slowWriteInterval is the time that a slow target waits between two writes.
const slowWriteInterval = 10 * time.Millisecond

// writeUntilClosed writes a text again and again, with a pause after each write, until the other side
// closes the connection or waitTimeout has passed. It returns false, which ends the connection.
func (a *arrival) writeUntilClosed(text string, pause time.Duration) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pause) {
		if err := a.conn.SetWriteDeadline(end); err != nil {
			return false
		}
		if _, err := io.WriteString(a.conn, text); err != nil {
			return false
		}
	}
	return false
}

// oneChunk encodes a text of two bytes as one chunk of a chunked body.
func oneChunk(text string) string { return "2\r\n" + text + "\r\n" }

// endlessAnswers holds scripts of targets that write bytes without end but never a complete answer. The
// keys say in which part of the answer they do so.
var endlessAnswers = map[string]func(a *arrival) bool{
	"head, a few at a time": func(a *arrival) bool {
		_, _ = io.WriteString(a.conn, "HTTP/1.1 200 OK\r\n")
		return a.writeUntilClosed("X-A: b\r\n", slowWriteInterval)
	},
	"head, fast": func(a *arrival) bool { return a.writeUntilClosed("HTTP/1.1 200 OK\r\nX-A: b\r\n", 0) },
	"interim answers, a few at a time": func(a *arrival) bool {
		return a.writeUntilClosed("HTTP/1.1 100 Continue\r\n\r\n", slowWriteInterval)
	},
	"body without frames, fast": func(a *arrival) bool {
		a.begin()
		return a.writeUntilClosed("zzzzzzzz", 0)
	},
	"framed, no event, a few at a time": func(a *arrival) bool {
		a.begin()
		return a.writeUntilClosed(oneChunk("zz"), slowWriteInterval)
	},
	"framed, no event, fast": func(a *arrival) bool {
		a.begin()
		return a.writeUntilClosed(strings.Repeat(oneChunk("zz"), 100), 0)
	},
	"framed, empty events, a few at a time": func(a *arrival) bool {
		a.begin()
		return a.writeUntilClosed(oneChunk("\n\n"), slowWriteInterval)
	},
	"framed, empty events, fast": func(a *arrival) bool {
		a.begin()
		return a.writeUntilClosed(strings.Repeat(oneChunk("\n\n"), 100), 0)
	},
	"framed, comments, a few at a time": func(a *arrival) bool {
		a.begin()
		return a.writeUntilClosed("6\r\n: zz\n\n\r\n", slowWriteInterval)
	},
	"framed, events without a number, a few at a time": func(a *arrival) bool {
		a.begin()
		return a.writeUntilClosed("9\r\ndata: z\n\n\r\n", slowWriteInterval)
	},
	"after an event, a few at a time": func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		return a.writeUntilClosed(oneChunk("\n\n"), slowWriteInterval)
	},
}

// Bytes alone must not count as progress. A target that keeps sending bytes, but no further event with a
// number, is handled like a silent one: the gateway passes on none of these bytes and continues the
// resumable stream at another target.
func TestEndlessBytesAreNoSignOfLife(t *testing.T) {
	for name, script := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnvWith(t, keepKeysValid, newScriptedTarget(t, "a", "model", func(a *arrival) bool {
				if a.header("Last-Event-Id") == "" && a.header("X-Attempt-Id") == "r1" {
					return script(a)
				}
				a.begin()
				a.events(2, 3)
				a.end()
				return true
			}), newScriptedTarget(t, "b", "model", func(a *arrival) bool {
				a.begin()
				first := 1
				if a.header("Last-Event-Id") == "1" {
					first = 2
				}
				a.events(first, 3)
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

// A request that must not be repeated can't continue at another target. It must end at its deadline even
// while its target keeps sending bytes, with a failure other than 503, since it may have run.
func TestOnceRequestWithEndlessAnswerEndsAtDeadline(t *testing.T) {
	for name, script := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, newScriptedTarget(t, "a", "model", script))
			began := time.Now()
			r := w.do(call{path: "/once/x", key: "key1", id: "r1", deadline: time.Second})
			require.Less(t, time.Since(began), 3*time.Second)
			if r.err == nil {
				require.GreaterOrEqual(t, r.status, fasthttp.StatusInternalServerError)
				require.NotEqual(t, fasthttp.StatusServiceUnavailable, r.status, "503 claims that the request has not run, but it may have")
			}
		})
	}
}

// A request other than a stream must end at its deadline even while its target keeps sending body bytes.
func TestEndlessPlainAnswerEndsAtDeadline(t *testing.T) {
	for name, head := range map[string]string{
		"answer":    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"rejection": "HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"failure":   "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
				_, _ = io.WriteString(a.conn, head)
				return a.writeUntilClosed(oneChunk("zz"), slowWriteInterval)
			}))
			began := time.Now()
			r := w.do(call{path: "/order/x", id: "r1", deadline: time.Second})
			require.NoError(t, r.err)
			require.GreaterOrEqual(t, r.status, fasthttp.StatusInternalServerError)
			require.Less(t, time.Since(began), 3*time.Second)
		})
	}
}
