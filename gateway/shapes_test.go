package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// streamHead holds the headers of a valid stream for the request r1.
const streamHead = "X-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Type: text/event-stream\r\n"

// reply returns an answer with a Content-Length.
func reply(status int, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

// reset closes the connection with a TCP reset.
func (a *arrival) reset() {
	_ = a.conn.(*net.TCPConn).SetLinger(0)
	a.conn.Close()
}

// next is the fourth event, with which a stream that is resumed after its third event must begin.
const next = "id: 4\ndata: 4\n\n"

// nonContinuations are answers to a stream resumed after its third event, none of which is the rest
// of the stream.
var nonContinuations = map[string]func(a *arrival){
	"404 without a body":         func(a *arrival) { a.write(reply(404, streamHead, "")) },
	"302 without a body":         func(a *arrival) { a.write(reply(302, streamHead+"Location: /bad\r\n", "")) },
	"204":                        func(a *arrival) { a.write("HTTP/1.1 204 X\r\n" + streamHead + "\r\n") },
	"200 without an event":       func(a *arrival) { a.begin(); a.end() },
	"200 with an empty line":     func(a *arrival) { a.begin(); a.chunk("\n\n"); a.end() },
	"200 of no length":           func(a *arrival) { a.write(reply(200, streamHead, "")) },
	"400 with a text":            func(a *arrival) { a.write(reply(400, streamHead, "bad thing")) },
	"400 with a text and a line": func(a *arrival) { a.write(reply(400, streamHead, "bad thing\n\n")) },
	"409 with an event":          func(a *arrival) { a.write(reply(409, streamHead, next)) },
	"206 with an event":          func(a *arrival) { a.write(reply(206, streamHead, next)) },
	"500 with an event":          func(a *arrival) { a.write(reply(500, streamHead, next)) },
	"503 not marked as not run":  func(a *arrival) { a.write(reply(503, streamHead, next)) },
	"200 of another type": func(a *arrival) {
		a.write(reply(200, strings.Replace(streamHead, "text/event-stream", "application/json", 1), next))
	},
	"text without a type": func(a *arrival) {
		a.write(reply(200, "X-Attempt-Id: r1\r\nX-Replica-Seal: s\r\n", "bad thing\n\n"+next))
	},
	"head within a line": func(a *arrival) {
		a.begin()
		a.chunk("id: 4\ndata: a" + reply(500, streamHead, "bad") + "\n\n")
		a.end()
	},
	"200 without a seal":         func(a *arrival) { a.write(reply(200, "X-Attempt-Id: r1\r\nContent-Type: text/event-stream\r\n", next)) },
	"200 with an encoding":       func(a *arrival) { a.write(reply(200, streamHead+"Content-Encoding: gzip\r\n", next)) },
	"200 of another request":     func(a *arrival) { a.write(reply(200, strings.Replace(streamHead, "r1", "r0", 1), next)) },
	"the event after the next":   func(a *arrival) { a.begin(); a.events(5, 6); a.end() },
	"the last event again":       func(a *arrival) { a.begin(); a.events(3, 6); a.end() },
	"the first event again":      func(a *arrival) { a.begin(); a.events(1, 6); a.end() },
	"part of an event":           func(a *arrival) { a.begin(); a.chunk("id: 4\nda"); a.end() },
	"text before the next event": func(a *arrival) { a.begin(); a.chunk("bad thing\n" + next); a.end() },
	"text as an event":           func(a *arrival) { a.begin(); a.chunk("bad thing\n\n"); a.events(4, 6); a.end() },
	"head before the next event": func(a *arrival) { a.begin(); a.chunk(reply(500, streamHead, "bad\n")); a.events(4, 6); a.end() },
	"head within the next event": func(a *arrival) { a.begin(); a.chunk("id: 4\nda" + reply(500, streamHead, "bad") + "\n\n"); a.end() },
	"head in place of a part":    func(a *arrival) { a.begin(); a.write(reply(500, streamHead, next)) },
	"number that is too large":   func(a *arrival) { a.begin(); a.chunk("id: 18446744073709551620\ndata: bad\n\n"); a.end() },
	"negative number":            func(a *arrival) { a.begin(); a.chunk("id: -4\ndata: bad\n\n"); a.end() },
	"event with two numbers":     func(a *arrival) { a.begin(); a.chunk("id: 4\ndata: bad\nid: 9\n\n"); a.end() },
	"CRLF line ends":             func(a *arrival) { a.begin(); a.chunk("id: 4\r\ndata: bad\r\n\r\nid: 5\r\ndata: bad\r\n\r\n"); a.end() },
	"no length, reset at once":   func(a *arrival) { a.write("HTTP/1.1 200 X\r\n" + streamHead + "\r\n"); a.allAcknowledged(); a.reset() },
	"no length, ended at once":   func(a *arrival) { a.write("HTTP/1.1 200 X\r\n" + streamHead + "\r\n"); a.conn.Close() },
	"404 without an ID":          func(a *arrival) { a.write("HTTP/1.1 404 X\r\nContent-Length: 3\r\n\r\nbad") },
}

// spareTargets is the number of additional targets, in case a gateway on a busy machine can't reach one in time.
const spareTargets = 2

// streamPathCount is the number of paths that newTargetsWithSecondAnswer has returned.
var streamPathCount atomic.Int64

// rawAnswer sends a request and returns all bytes that the caller receives until the connection
// ends.
func (w *testEnv) rawAnswer(path string) string {
	conn := w.dial("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Key: key1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	require.NoError(w.t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	all, _ := io.ReadAll(conn) // a reset is a valid way to cut a stream
	return string(all)
}

// When a stream breaks off after its third event, and the answer of the next target is not the rest of the
// stream, the caller must get nothing of that answer, and the stream must not end as if it were complete.
func TestResumedStreamRejectsNonContinuation(t *testing.T) {
	for name, answer := range nonContinuations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			targets, path := newTargetsWithSecondAnswer(t, answer, 2)
			w := newTestEnvWith(t, keepKeysValid, targets...)
			all := w.rawAnswer(path)
			require.Contains(t, all, "id: 3\ndata: 3\n\n")
			require.NotContains(t, all, "id: 4", w.logs)
			require.NotContains(t, all, "bad")
			require.Equal(t, 1, strings.Count(all, "id: 3\n"))
			require.Equal(t, 1, strings.Count(all, "HTTP/1."))
			require.False(t, strings.HasSuffix(all, "0\r\n\r\n"), "a broken stream must not end cleanly: %q", all)
		})
	}
}

// If a route allows three attempts, a stream whose second target does not continue it is resumed at a
// third.
func TestResumedStreamContinuesAtThirdTarget(t *testing.T) {
	for name, answer := range nonContinuations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			targets, path := newTargetsWithSecondAnswer(t, answer, 3+spareTargets)
			w := newTestEnvWith(t, keepKeysValid, targets...)
			w.configure(func(d *configDocument) { d.Routes[2].Attempts = 3 })
			w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
			r := w.do(call{path: path, key: "key1", id: "r1"})
			require.NoError(t, r.err, w.logs)
			require.Equal(t, fasthttp.StatusOK, r.status)
			require.Equal(t, wantEvents(6), r.body)
		})
	}
}

// newTargetsWithSecondAnswer returns count targets and the path of a stream. The first target that is asked breaks off
// after three events, the second writes the given answer, and all others resume the stream. No other
// test uses the path, so that a request of another test that arrives at a reused address is recognized.
func newTargetsWithSecondAnswer(t *testing.T, answer func(a *arrival), count int) ([]*scriptedTarget, string) {
	t.Helper()
	path := fmt.Sprintf("/stream/%d-%d", os.Getpid(), streamPathCount.Add(1))
	var sends atomic.Int32
	script := func(a *arrival) bool {
		if got := string(a.request.RequestURI()); got != path {
			t.Logf("request of another test: %s", got)
			return false
		}
		switch sends.Add(1) {
		case 1:
			a.begin()
			a.events(1, 3)
		case 2:
			answer(a)
		default:
			var last int
			_, _ = fmt.Sscan(a.header("Last-Event-Id"), &last)
			a.begin()
			a.events(last+1, 6)
			a.end()
		}
		return false
	}
	var targets []*scriptedTarget
	for n := range count {
		targets = append(targets, newScriptedTarget(t, fmt.Sprint(n), "model", script))
	}
	return targets, path
}

// An answer to a streaming request that is not an event stream is passed on unchanged, with its body
// and the target's seal.
func TestNonStreamAnswerIsPassedOnWhole(t *testing.T) {
	jsonHead := strings.Replace(streamHead, "text/event-stream", "application/json", 1)
	for name, c := range map[string]struct {
		status     int
		head, body string
	}{
		"400 with a text":            {400, streamHead, "bad thing"},
		"400 with a text and a line": {400, jsonHead, "bad thing\n\n"},
		"404 without a body":         {404, streamHead, ""},
		"409 with events":            {409, streamHead, "bad\n\n" + wantEvents(2) + "id: 3"},
		"302":                        {302, streamHead + "Location: /else\r\n", ""},
		"200 of another type":        {200, jsonHead, `{"a":1}` + "\n\n" + wantEvents(1)},
	} {
		for _, path := range []string{"/stream/x", "/once/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				w := newTestEnv(t, newScriptedTarget(t, "a", "model", func(a *arrival) bool {
					a.write(reply(c.status, c.head, c.body))
					return true
				}))
				r := w.do(call{path: path, key: "key1", id: "r1"})
				require.NoError(t, r.err)
				require.Equal(t, c.status, r.status)
				require.Equal(t, c.body, r.body)
				require.Equal(t, "s", string(r.header.Peek("X-Replica-Seal")))
			})
		}
	}
}

// If the only answer to a request is neither a valid stream nor complete, the caller gets an error of the
// gateway, without the header that marks answers of a target.
func TestUnusableFirstAnswerIsBadGateway(t *testing.T) {
	for name, script := range map[string]func(a *arrival){
		"400 cut short": func(a *arrival) {
			a.write("HTTP/1.1 400 X\r\n" + streamHead + "Content-Length: 20\r\n\r\nbad thing\n\n")
		},
		"stream without an event":          func(a *arrival) { a.begin(); a.end() },
		"stream of plain text":             func(a *arrival) { a.begin(); a.chunk("bad thing\n\n"); a.end() },
		"stream of comments":               func(a *arrival) { a.begin(); a.chunk(": bad\n\n"); a.end() },
		"second head inside the stream":    func(a *arrival) { a.begin(); a.chunk(reply(500, streamHead, "bad\n") + wantEvents(2)); a.end() },
		"no length, reset at once":         func(a *arrival) { a.write("HTTP/1.1 200 X\r\n" + streamHead + "\r\n"); a.allAcknowledged(); a.reset() },
		"503 not marked as not run":        func(a *arrival) { a.write(reply(503, streamHead, "bad")) },
		"stream that ends within an event": func(a *arrival) { a.begin(); a.chunk("id: 1\ndata: bad"); a.end() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, newScriptedTarget(t, "a", "model", func(a *arrival) bool {
				script(a)
				return false
			}))
			r := w.do(call{path: "/once/x", key: "key1", id: "r1"})
			require.NoError(t, r.err)
			require.Equal(t, statusFailed, r.status)
			require.NotContains(t, r.body, "bad")
			require.Empty(t, r.header.Peek("X-Replica-Seal"))
		})
	}
}

// A caller that resumes a stream with Last-Event-Id gets the events after that one, also if there are none.
func TestCallerResumesStream(t *testing.T) {
	for name, c := range map[string]struct {
		from, status int
		body         string
	}{
		"remaining events": {4, fasthttp.StatusOK, strings.TrimPrefix(wantEvents(6), wantEvents(3))},
		"no further event": {7, fasthttp.StatusOK, ""},
		"repeated events":  {1, statusFailed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, newScriptedTarget(t, "a", "model", func(a *arrival) bool {
				a.begin()
				a.events(c.from, 6)
				a.end()
				return true
			}))
			conn := w.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Key: key1\r\nLast-Event-Id: 3\r\nContent-Length: 0\r\n\r\n")
			r := readAll(t, conn)
			require.NoError(t, r.err)
			require.Equal(t, c.status, r.status)
			if c.status == fasthttp.StatusOK {
				require.Equal(t, c.body, r.body)
			}
		})
	}
}

// readAll reads one whole answer.
func readAll(t *testing.T, conn net.Conn) result {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	return readResult(bufio.NewReader(conn))
}
