package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// earlier is an answer to the request r1 in the place of that to a later one.
func earlier(status int, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: r1\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
}

const (
	notRun  = "X-Not-Executed: 1\r\n"
	sealed  = "X-Replica-Seal: s\r\n"
	unnamed = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	failed  = fasthttp.StatusBadGateway
)

// extras are what a faulty target writes on a connection that is in use again, before the answer
// that is due, and the status that the caller of an order gets.
var extras = map[string]struct {
	text string
	want int
}{
	"refusal of an earlier request":               {earlier(503, notRun, "full"), fasthttp.StatusOK},
	"the same twice":                              {strings.Repeat(earlier(503, notRun, "full"), 2), fasthttp.StatusOK},
	"the same without end":                        {strings.Repeat(earlier(503, notRun, "full"), 1000), failed},
	"421 of an earlier request":                   {earlier(421, "", ""), fasthttp.StatusOK},
	"success of an earlier request":               {earlier(200, sealed, "done r1"), fasthttp.StatusOK},
	"failure of an earlier request":               {earlier(500, sealed, "broken"), fasthttp.StatusOK},
	"no content for an earlier request":           {"HTTP/1.1 204 X\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\n\r\n", fasthttp.StatusOK},
	"chunked answer to an earlier request":        {"HTTP/1.1 200 X\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ndone r1\r\n0\r\n\r\n", fasthttp.StatusOK},
	"stream of an earlier request":                {"HTTP/1.1 200 X\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: 1\n\n\r\n", failed},
	"answer to an earlier request, no length":     {"HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n\r\n", failed},
	"answer to an earlier request, large":         {earlier(200, sealed, strings.Repeat("x", 1<<20)), failed},
	"answer to an earlier request, body cut":      {"HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 60\r\n\r\n", failed},
	"refusal without an id":                       {unnamed, failed},
	"421 without an id":                           {"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", failed},
	"success without an id":                       {"HTTP/1.1 200 X\r\nX-Replica-Seal: s\r\nContent-Length: 3\r\n\r\nbad", failed},
	"failure without an id":                       {"HTTP/1.1 404 X\r\nX-Replica-Seal: s\r\nContent-Length: 3\r\n\r\nbad", failed},
	"refusal of an earlier one and without an id": {earlier(503, notRun, "full") + unnamed, failed},
	"interim answer":                              {"HTTP/1.1 100 Continue\r\n\r\n", fasthttp.StatusOK},
	"interim answer that says not run":            {"HTTP/1.1 102 X\r\nX-Attempt-Id: r2\r\nX-Not-Executed: 1\r\n\r\n", fasthttp.StatusOK},
	"change of protocols":                         {"HTTP/1.1 101 X\r\nX-Attempt-Id: r2\r\nX-Replica-Seal: s\r\n\r\n", failed},
	"refusal cut in a header":                     {"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Reason: fu", failed},
	"refusal cut in its id":                       {"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: r", failed},
	"failure cut in its first line":               {"HTTP/1.1 500 ", failed},
	"bytes that are no answer":                    {"garbage\r\n\r\n", failed},
}

// A target writes something else on a kept connection before it answers the order that came
// there. The caller gets the answer to its order, or one that promises nothing, and the order is
// sent once.
func TestExtraAnswerOnAKeptConnection(t *testing.T) {
	for name, c := range extras {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newScripted(t, "a", "plain", func(a *arrival) bool {
				if a.number == 2 {
					a.write(c.text)
				}
				return ok(a)
			})
			w := newTestEnv(t, a)
			require.Equal(t, "done r1", w.do(call{path: "/lookup/x", id: "r1"}).body)
			r := w.do(call{path: "/order/x", id: "r2"})
			require.NoError(t, r.err)
			require.Equal(t, c.want, r.status)
			if c.want == fasthttp.StatusOK {
				require.Equal(t, "done r2", r.body)
			} else {
				require.Empty(t, r.header.Peek("X-Replica-Seal"))
			}
			require.Equal(t, "done r3", w.do(call{path: "/lookup/x", id: "r3"}).body)
			seen := a.seen()
			require.Len(t, seen, 3)
			require.Same(t, seen[0].conn, seen[1].conn, "the connection is kept")
			if !strings.HasPrefix(name, "interim") {
				require.NotSame(t, seen[0].conn, seen[2].conn, "its use ends with an extra answer")
			}
		})
	}
}

// A refusal on a connection that carried another request before and that does not name the order
// is no promise: the order reaches no second target.
func TestRefusalThatNamesNoRequestIsNoPromise(t *testing.T) {
	var conns sync.Map
	var sends atomic.Int32
	script := func(a *arrival) bool {
		sends.Add(1)
		if _, used := conns.LoadOrStore(a.conn, true); used {
			a.write(unnamed)
		}
		return ok(a)
	}
	w := newTestEnv(t, newScripted(t, "a", "plain", script), newScripted(t, "b", "plain", script))
	doubtful := 0
	for n := range 20 {
		r := w.do(call{path: "/order/x", id: fmt.Sprintf("r%d", n)})
		require.Contains(t, []int{fasthttp.StatusOK, failed}, r.status)
		if r.status == failed {
			doubtful++
		}
		require.EqualValues(t, n+1, sends.Load(), "each is sent once")
	}
	require.Positive(t, doubtful)
}

// A refusal that names the order is believed on any connection.
func TestRefusalThatNamesTheRequestIsBelieved(t *testing.T) {
	a := newScripted(t, "a", "plain", func(a *arrival) bool {
		if a.header("X-Attempt-Id") == "r2" {
			a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: r2\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return ok(a)
	})
	w := newTestEnv(t, a)
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/lookup/x", id: "r1"}).status)
	require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/order/x", id: "r2"}).status)
	require.Len(t, a.seen(), 2)
}

// A status that promises that an order has not run is not passed on if the target does not say
// so, and an answer that says both is not believed.
func TestStatusThatPromisesTooMuch(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 503 X\r\n" + sealed, "HTTP/1.1 429 X\r\n" + sealed, "HTTP/1.1 408 X\r\n" + sealed, "HTTP/1.1 200 X\r\n" + sealed + notRun,
	} {
		t.Run(head[9:12], func(t *testing.T) {
			a := newScripted(t, "a", "plain", func(a *arrival) bool {
				a.write(head + "X-Attempt-Id: r1\r\nContent-Length: 3\r\n\r\nbad")
				return true
			})
			w := newTestEnv(t, a)
			r := w.do(call{path: "/order/x", id: "r1"})
			require.Equal(t, failed, r.status)
			require.Empty(t, r.header.Peek("X-Replica-Seal"))
			require.Len(t, a.seen(), 1)
		})
	}
}

// The own answer may take its time after an extra one, and a target that sends only that does not
// hold the caller beyond its deadline.
func TestAnswerAfterAnExtraOneIsWaitedFor(t *testing.T) {
	a := newScripted(t, "a", "plain", func(a *arrival) bool {
		switch a.header("X-Attempt-Id") {
		case "r2":
			a.write(earlier(503, notRun, ""))
			time.Sleep(lookupPause)
		case "r4":
			a.write(earlier(503, notRun, ""))
			closed(a.conn, waitLimit)
			return false
		}
		return ok(a)
	})
	w := newTestEnv(t, a)
	for _, id := range []string{"r1", "r2", "r3"} {
		require.Equal(t, "done "+id, w.do(call{path: "/order/x", id: id}).body)
	}
	began := time.Now()
	require.Equal(t, fasthttp.StatusGatewayTimeout, w.do(call{path: "/order/x", id: "r4", deadline: 500 * time.Millisecond}).status)
	require.Less(t, time.Since(began), lookupPause)
}

// A request that can't be named is sent on a new connection, so that the answer is its own.
func TestRequestWithoutAnIDHasItsOwnConnection(t *testing.T) {
	a := newScripted(t, "a", "plain", ok)
	w := newTestEnv(t, a)
	for range 3 {
		require.Equal(t, "done ", w.do(call{path: "/order/x"}).body)
	}
	conns := map[net.Conn]bool{}
	for _, a := range a.seen() {
		conns[a.conn] = true
	}
	require.Len(t, conns, 3)
}

// reuse returns a script under which each target has a connection that was used, once the request
// r1 is answered: the first target that it reaches rejects it. All others come to the script.
func reuse(script func(a *arrival) bool) func(a *arrival) bool {
	var rejected atomic.Bool
	return func(a *arrival) bool {
		if a.header("X-Attempt-Id") == "r1" && rejected.CompareAndSwap(false, true) {
			a.write(earlier(503, notRun, ""))
			return true
		}
		return script(a)
	}
}

// A stream is told from an extra answer like any other, at its first target and at the next one.
func TestExtraAnswerBeforeAStream(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		cut  bool
	}{
		"refusal of an earlier request": {earlier(503, notRun, ""), false},
		"failure of an earlier request": {earlier(500, sealed, "bad"), false},
		"refusal without an id":         {unnamed, true},
		"stream of an earlier request":  {earlier(200, sealed+"Content-Type: text/event-stream\r\n", wantEvents(3)), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := reuse(func(a *arrival) bool {
				warm := a.header("X-Attempt-Id") == "r1"
				if !warm {
					a.write(c.text)
				}
				a.begin()
				if warm || a.header("Last-Event-Id") == "3" {
					a.events(4, 6)
					a.end()
					return true
				}
				a.events(1, 3)
				return false
			})
			w := newTestEnv(t, newScripted(t, "a", "model", script), newScripted(t, "b", "model", script))
			require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/stream/x", key: "key1", id: "r1"}).status)
			r := w.do(call{path: "/stream/x", key: "key1", id: "r2"})
			if c.cut {
				require.NoError(t, r.err)
				require.Equal(t, failed, r.status)
				return
			}
			require.NoError(t, r.err, w.logs)
			require.Equal(t, wantEvents(6), r.body)
		})
	}
}

// A target that takes over from a silent one may write an extra answer as well.
func TestExtraAnswerOfATargetThatTakesOver(t *testing.T) {
	var sends atomic.Int32
	script := reuse(func(a *arrival) bool {
		if a.header("X-Attempt-Id") == "r2" {
			if sends.Add(1) == 1 {
				closed(a.conn, waitLimit)
				return false
			}
			a.write(earlier(503, notRun, ""))
			time.Sleep(lookupPause / 2)
		}
		return ok(a)
	})
	w := newTestEnv(t, newScripted(t, "a", "plain", script), newScripted(t, "b", "plain", script))
	w.configure(func(d *configDocument) { d.Routes[0].Timeout = int(waitLimit.Milliseconds()) })
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	require.Equal(t, "done r1", w.do(call{path: "/lookup/x", id: "r1"}).body)
	require.Equal(t, "done r2", w.do(call{path: "/lookup/x", id: "r2"}).body, w.logs)
	require.True(t, w.logContains(`"event":"extra-answer"`))
}
