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

const streamHead = "X-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Type: text/event-stream\r\n"

// sized returns an answer with a length.
func sized(status int, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

// reset ends a connection so that the other side sees no proper end.
func (a *arrival) reset() {
	_ = a.conn.(*net.TCPConn).SetLinger(0)
	a.conn.Close()
}

const four = "id: 4\ndata: 4\n\n"

// shapes are answers to a stream that was sent to go on after its third event, none of which is
// the rest of it.
var shapes = map[string]func(a *arrival){
	"404 without a body":         func(a *arrival) { a.write(sized(404, streamHead, "")) },
	"302 without a body":         func(a *arrival) { a.write(sized(302, streamHead+"Location: /bad\r\n", "")) },
	"204":                        func(a *arrival) { a.write("HTTP/1.1 204 X\r\n" + streamHead + "\r\n") },
	"200 without an event":       func(a *arrival) { a.begin(); a.end() },
	"200 with an empty line":     func(a *arrival) { a.begin(); a.chunk("\n\n"); a.end() },
	"200 of no length":           func(a *arrival) { a.write(sized(200, streamHead, "")) },
	"400 with a text":            func(a *arrival) { a.write(sized(400, streamHead, "bad thing")) },
	"400 with a text and a line": func(a *arrival) { a.write(sized(400, streamHead, "bad thing\n\n")) },
	"409 with an event":          func(a *arrival) { a.write(sized(409, streamHead, four)) },
	"206 with an event":          func(a *arrival) { a.write(sized(206, streamHead, four)) },
	"500 with an event":          func(a *arrival) { a.write(sized(500, streamHead, four)) },
	"503 not run, no statement":  func(a *arrival) { a.write(sized(503, streamHead, four)) },
	"200 of another type": func(a *arrival) {
		a.write(sized(200, strings.Replace(streamHead, "text/event-stream", "application/json", 1), four))
	},
	"text without a type": func(a *arrival) {
		a.write(sized(200, "X-Attempt-Id: r1\r\nX-Replica-Seal: s\r\n", "bad thing\n\n"+four))
	},
	"head within a line": func(a *arrival) {
		a.begin()
		a.chunk("id: 4\ndata: a" + sized(500, streamHead, "bad") + "\n\n")
		a.end()
	},
	"200 without the mark":        func(a *arrival) { a.write(sized(200, "X-Attempt-Id: r1\r\nContent-Type: text/event-stream\r\n", four)) },
	"200 with an encoding":        func(a *arrival) { a.write(sized(200, streamHead+"Content-Encoding: gzip\r\n", four)) },
	"200 of another request":      func(a *arrival) { a.write(sized(200, strings.Replace(streamHead, "r1", "r0", 1), four)) },
	"the event after the next":    func(a *arrival) { a.begin(); a.events(5, 6); a.end() },
	"the last event again":        func(a *arrival) { a.begin(); a.events(3, 6); a.end() },
	"the first event again":       func(a *arrival) { a.begin(); a.events(1, 6); a.end() },
	"part of an event":            func(a *arrival) { a.begin(); a.chunk("id: 4\nda"); a.end() },
	"text before the next event":  func(a *arrival) { a.begin(); a.chunk("bad thing\n" + four); a.end() },
	"text as an event":            func(a *arrival) { a.begin(); a.chunk("bad thing\n\n"); a.events(4, 6); a.end() },
	"head before the next event":  func(a *arrival) { a.begin(); a.chunk(sized(500, streamHead, "bad\n")); a.events(4, 6); a.end() },
	"head within the next event":  func(a *arrival) { a.begin(); a.chunk("id: 4\nda" + sized(500, streamHead, "bad") + "\n\n"); a.end() },
	"head in place of a part":     func(a *arrival) { a.begin(); a.write(sized(500, streamHead, four)) },
	"number that is too large":    func(a *arrival) { a.begin(); a.chunk("id: 18446744073709551620\ndata: bad\n\n"); a.end() },
	"negative number":             func(a *arrival) { a.begin(); a.chunk("id: -4\ndata: bad\n\n"); a.end() },
	"event with two numbers":      func(a *arrival) { a.begin(); a.chunk("id: 4\ndata: bad\nid: 9\n\n"); a.end() },
	"lines that end otherwise":    func(a *arrival) { a.begin(); a.chunk("id: 4\r\ndata: bad\r\n\r\nid: 5\r\ndata: bad\r\n\r\n"); a.end() },
	"no length, reset at once":    func(a *arrival) { a.write("HTTP/1.1 200 X\r\n" + streamHead + "\r\n"); a.arrived(); a.reset() },
	"no length, ended at once":    func(a *arrival) { a.write("HTTP/1.1 200 X\r\n" + streamHead + "\r\n"); a.conn.Close() },
	"refusal that names no other": func(a *arrival) { a.write("HTTP/1.1 404 X\r\nContent-Length: 3\r\n\r\nbad") },
}

// spareTargets take the place of those that a busy host does not reach in time.
const spareTargets = 2

var shapedPaths atomic.Int64

// received sends a request and returns all bytes of the answer up to the end of the connection,
// or to the end of a complete stream.
func (w *testEnv) received(path string) string {
	conn := w.dial("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Key: key1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	require.NoError(w.t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	all, _ := io.ReadAll(conn) // a reset is a proper way to cut a stream
	return string(all)
}

// A stream broke off after its third event. What the next target answers is not the rest of it:
// the caller gets none of that and no end.
func TestResumedStreamTakesOnlyItsRest(t *testing.T) {
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			targets, path := shaped(t, shape, 2)
			w := newTestEnvWith(t, keepKeysValid, targets...)
			all := w.received(path)
			require.Contains(t, all, "id: 3\ndata: 3\n\n")
			require.NotContains(t, all, "id: 4", w.logs)
			require.NotContains(t, all, "bad")
			require.Equal(t, 1, strings.Count(all, "id: 3\n"))
			require.Equal(t, 1, strings.Count(all, "HTTP/1."))
			require.False(t, strings.HasSuffix(all, "0\r\n\r\n"), "no end: %q", all)
		})
	}
}

// Where the route allows one more target, the stream goes on there.
func TestResumedStreamGoesOnAtAThirdTarget(t *testing.T) {
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			targets, path := shaped(t, shape, 3+spareTargets)
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

// shaped returns targets of which the first that is asked breaks off after three events, the
// second answers in a shape, and all others go on. A stream of the path that it returns as well
// is no other test's.
func shaped(t *testing.T, shape func(a *arrival), count int) ([]*scripted, string) {
	t.Helper()
	path := fmt.Sprintf("/stream/%d-%d", os.Getpid(), shapedPaths.Add(1))
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
			shape(a)
		default:
			var last int
			_, _ = fmt.Sscan(a.header("Last-Event-Id"), &last)
			a.begin()
			a.events(last+1, 6)
			a.end()
		}
		return false
	}
	var targets []*scripted
	for n := range count {
		targets = append(targets, newScripted(t, fmt.Sprint(n), "model", script))
	}
	return targets, path
}

// An answer to a stream that is no stream is passed on as it is, with its body and mark.
func TestFailureOfAStreamIsPassedOnWhole(t *testing.T) {
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
				w := newTestEnv(t, newScripted(t, "a", "model", func(a *arrival) bool {
					a.write(sized(c.status, c.head, c.body))
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

// What can't be passed on whole and is no stream ends as a failure without the target's mark.
func TestFirstAnswerOfAStreamThatCantBeUsed(t *testing.T) {
	for name, script := range map[string]func(a *arrival){
		"400 cut short": func(a *arrival) {
			a.write("HTTP/1.1 400 X\r\n" + streamHead + "Content-Length: 20\r\n\r\nbad thing\n\n")
		},
		"stream without an event":   func(a *arrival) { a.begin(); a.end() },
		"stream of text":            func(a *arrival) { a.begin(); a.chunk("bad thing\n\n"); a.end() },
		"stream of comments":        func(a *arrival) { a.begin(); a.chunk(": bad\n\n"); a.end() },
		"head within":               func(a *arrival) { a.begin(); a.chunk(sized(500, streamHead, "bad\n") + wantEvents(2)); a.end() },
		"no length, reset at once":  func(a *arrival) { a.write("HTTP/1.1 200 X\r\n" + streamHead + "\r\n"); a.arrived(); a.reset() },
		"503 without a statement":   func(a *arrival) { a.write(sized(503, streamHead, "bad")) },
		"part of an event, and end": func(a *arrival) { a.begin(); a.chunk("id: 1\ndata: bad"); a.end() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, newScripted(t, "a", "model", func(a *arrival) bool {
				script(a)
				return false
			}))
			r := w.do(call{path: "/once/x", key: "key1", id: "r1"})
			require.NoError(t, r.err)
			require.Equal(t, failed, r.status)
			require.NotContains(t, r.body, "bad")
			require.Empty(t, r.header.Peek("X-Replica-Seal"))
		})
	}
}

// A caller that asks for the rest of a stream gets what comes after its last event, also if that
// is nothing.
func TestCallerResumesItself(t *testing.T) {
	for name, c := range map[string]struct {
		from, status int
		body         string
	}{
		"rest":    {4, fasthttp.StatusOK, strings.TrimPrefix(wantEvents(6), wantEvents(3))},
		"nothing": {7, fasthttp.StatusOK, ""},
		"again":   {1, failed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, newScripted(t, "a", "model", func(a *arrival) bool {
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
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	return readResult(bufio.NewReader(conn))
}
