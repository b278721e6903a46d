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

// earlierAnswer returns an answer to the request r1, which tests send before the one that they check.
func earlierAnswer(status int, extraHeaders, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: r1\r\n%sContent-Length: %d\r\n\r\n%s", status, extraHeaders, len(body), body)
}

// Parts of scripted answers, and the status that the gateway returns if a target gave no valid answer.
const (
	notRunHeader     = "X-Not-Executed: 1\r\n"
	sealHeader       = "X-Replica-Seal: s\r\n"
	refusalWithoutID = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	statusFailed     = fasthttp.StatusBadGateway
)

// extraAnswerCases holds texts that a faulty target writes on a reused connection before it answers
// the order r2, and the status that the caller of this order must get.
var extraAnswerCases = map[string]struct {
	text string
	want int
}{
	"refusal of an earlier request":                         {earlierAnswer(503, notRunHeader, "full"), fasthttp.StatusOK},
	"two refusals of an earlier request":                    {strings.Repeat(earlierAnswer(503, notRunHeader, "full"), 2), fasthttp.StatusOK},
	"1000 refusals of an earlier request":                   {strings.Repeat(earlierAnswer(503, notRunHeader, "full"), 1000), statusFailed},
	"421 of an earlier request":                             {earlierAnswer(421, "", ""), fasthttp.StatusOK},
	"success of an earlier request":                         {earlierAnswer(200, sealHeader, "done r1"), fasthttp.StatusOK},
	"failure of an earlier request":                         {earlierAnswer(500, sealHeader, "broken"), fasthttp.StatusOK},
	"204 for an earlier request":                            {"HTTP/1.1 204 X\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\n\r\n", fasthttp.StatusOK},
	"chunked answer to an earlier request":                  {"HTTP/1.1 200 X\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ndone r1\r\n0\r\n\r\n", fasthttp.StatusOK},
	"stream of an earlier request":                          {"HTTP/1.1 200 X\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: 1\n\n\r\n", statusFailed},
	"answer to an earlier request, no length":               {"HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n\r\n", statusFailed},
	"answer to an earlier request, large":                   {earlierAnswer(200, sealHeader, strings.Repeat("x", 1<<20)), statusFailed},
	"answer to an earlier request, body cut":                {"HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 60\r\n\r\n", statusFailed},
	"refusal without an id":                                 {refusalWithoutID, statusFailed},
	"421 without an id":                                     {"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", statusFailed},
	"success without an id":                                 {"HTTP/1.1 200 X\r\nX-Replica-Seal: s\r\nContent-Length: 3\r\n\r\nbad", statusFailed},
	"failure without an id":                                 {"HTTP/1.1 404 X\r\nX-Replica-Seal: s\r\nContent-Length: 3\r\n\r\nbad", statusFailed},
	"refusal of an earlier request, then one without an id": {earlierAnswer(503, notRunHeader, "full") + refusalWithoutID, statusFailed},
	"interim answer":                                        {"HTTP/1.1 100 Continue\r\n\r\n", fasthttp.StatusOK},
	"interim answer that says not run":                      {"HTTP/1.1 102 X\r\nX-Attempt-Id: r2\r\nX-Not-Executed: 1\r\n\r\n", fasthttp.StatusOK},
	"switching protocols":                                   {"HTTP/1.1 101 X\r\nX-Attempt-Id: r2\r\nX-Replica-Seal: s\r\n\r\n", statusFailed},
	"refusal cut in a header":                               {"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Reason: fu", statusFailed},
	"refusal cut in its id":                                 {"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: r", statusFailed},
	"failure cut in its first line":                         {"HTTP/1.1 500 ", statusFailed},
	"bytes that are not HTTP":                               {"garbage\r\n\r\n", statusFailed},
}

// The gateway must not take an answer to an earlier request for the answer to the current one. A faulty
// target writes other bytes on a reused connection before it answers an order. The caller gets the
// answer to its own order or a failure without X-Not-Executed, since the order may have run, and the
// order is sent only once.
func TestOrderAfterExtraAnswerGetsItsOwnAnswerOrFails(t *testing.T) {
	for name, c := range extraAnswerCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
				if a.number == 2 {
					a.write(c.text)
				}
				return answerOK(a)
			})
			w := newTestEnv(t, target)
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
			arrivals := target.received()
			require.Len(t, arrivals, 3)
			require.Same(t, arrivals[0].conn, arrivals[1].conn, "the connection was not reused")
			if !strings.HasPrefix(name, "interim") {
				require.NotSame(t, arrivals[0].conn, arrivals[2].conn, "a connection with an extra answer was reused")
			}
		})
	}
}

// A refusal without a request ID on a reused connection may belong to an earlier request. It does not
// prove that the current order has not run, so the gateway must not send the order to a second target.
func TestRefusalWithoutIDIsNotTrusted(t *testing.T) {
	var conns sync.Map
	var sends atomic.Int32
	script := func(a *arrival) bool {
		sends.Add(1)
		if _, used := conns.LoadOrStore(a.conn, true); used {
			a.write(refusalWithoutID)
		}
		return answerOK(a)
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", script), newScriptedTarget(t, "b", "plain", script))
	failures := 0
	for n := range 20 {
		r := w.do(call{path: "/order/x", id: fmt.Sprintf("r%d", n)})
		require.Contains(t, []int{fasthttp.StatusOK, statusFailed}, r.status)
		if r.status == statusFailed {
			failures++
		}
		require.EqualValues(t, n+1, sends.Load(), "an order was sent more than once")
	}
	require.Positive(t, failures)
}

// A refusal that carries the ID of the order proves that the order has not run, also on a reused
// connection: the caller gets 503 and may repeat it.
func TestRefusalWithIDIsTrusted(t *testing.T) {
	target := newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		if a.header("X-Attempt-Id") == "r2" {
			a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: r2\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return answerOK(a)
	})
	w := newTestEnv(t, target)
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/lookup/x", id: "r1"}).status)
	require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/order/x", id: "r2"}).status)
	require.Len(t, target.received(), 2)
}

// Callers take a 408, 429 or 503 as a sign that their order has not run, and may repeat it. The gateway
// passes on such a status only if the target also sends X-Not-Executed; otherwise the caller gets 502.
// A success with X-Not-Executed contradicts itself and becomes a 502 too.
func TestStatusImplyingNotRunIsNotPassedOnUnconfirmed(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 503 X\r\n" + sealHeader, "HTTP/1.1 429 X\r\n" + sealHeader, "HTTP/1.1 408 X\r\n" + sealHeader, "HTTP/1.1 200 X\r\n" + sealHeader + notRunHeader,
	} {
		t.Run(head[9:12], func(t *testing.T) {
			target := newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
				a.write(head + "X-Attempt-Id: r1\r\nContent-Length: 3\r\n\r\nbad")
				return true
			})
			w := newTestEnv(t, target)
			r := w.do(call{path: "/order/x", id: "r1"})
			require.Equal(t, statusFailed, r.status)
			require.Empty(t, r.header.Peek("X-Replica-Seal"))
			require.Len(t, target.received(), 1)
		})
	}
}

// After it has discarded an answer to an earlier request, the gateway waits for the answer to the
// current one. If none follows, the caller gets a timeout at its deadline.
func TestAnswerAfterExtraOneIsAwaited(t *testing.T) {
	target := newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		switch a.header("X-Attempt-Id") {
		case "r2":
			a.write(earlierAnswer(503, notRunHeader, ""))
			time.Sleep(lookupPause)
		case "r4":
			a.write(earlierAnswer(503, notRunHeader, ""))
			closedWithin(a.conn, waitTimeout)
			return false
		}
		return answerOK(a)
	})
	w := newTestEnv(t, target)
	for _, id := range []string{"r1", "r2", "r3"} {
		require.Equal(t, "done "+id, w.do(call{path: "/order/x", id: id}).body)
	}
	began := time.Now()
	require.Equal(t, fasthttp.StatusGatewayTimeout, w.do(call{path: "/order/x", id: "r4", deadline: 500 * time.Millisecond}).status)
	require.Less(t, time.Since(began), lookupPause)
}

// The answer to a request without an ID can't be told from a late answer to an earlier request, so the
// gateway sends such a request on a new connection.
func TestRequestWithoutIDUsesNewConnection(t *testing.T) {
	target := newScriptedTarget(t, "a", "plain", answerOK)
	w := newTestEnv(t, target)
	for range 3 {
		require.Equal(t, "done ", w.do(call{path: "/order/x"}).body)
	}
	conns := map[net.Conn]bool{}
	for _, a := range target.received() {
		conns[a.conn] = true
	}
	require.Len(t, conns, 3)
}

// withUsedConnections wraps the script of two targets so that the request r1 leaves a reusable
// connection to each of them: the first target that r1 reaches rejects it, and the gateway sends it to
// the other one, which runs the script, as do all other requests.
func withUsedConnections(script func(a *arrival) bool) func(a *arrival) bool {
	var rejected atomic.Bool
	return func(a *arrival) bool {
		if a.header("X-Attempt-Id") == "r1" && rejected.CompareAndSwap(false, true) {
			a.write(earlierAnswer(503, notRunHeader, ""))
			return true
		}
		return script(a)
	}
}

// An answer to an earlier request that arrives before a stream is discarded, both at the first target
// and at the one that resumes the stream. A refusal without an ID fails the request instead, since it
// can't be told whether the refusal belongs to the stream.
func TestExtraAnswerBeforeStreamIsDiscarded(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		fails bool // the caller gets statusFailed instead of the stream
	}{
		"refusal of an earlier request": {earlierAnswer(503, notRunHeader, ""), false},
		"failure of an earlier request": {earlierAnswer(500, sealHeader, "bad"), false},
		"refusal without an id":         {refusalWithoutID, true},
		"stream of an earlier request":  {earlierAnswer(200, sealHeader+"Content-Type: text/event-stream\r\n", wantEvents(3)), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := withUsedConnections(func(a *arrival) bool {
				isWarmup := a.header("X-Attempt-Id") == "r1"
				if !isWarmup {
					a.write(c.text)
				}
				a.begin()
				if isWarmup || a.header("Last-Event-Id") == "3" {
					a.events(4, 6)
					a.end()
					return true
				}
				a.events(1, 3)
				return false
			})
			w := newTestEnv(t, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
			require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/stream/x", key: "key1", id: "r1"}).status)
			r := w.do(call{path: "/stream/x", key: "key1", id: "r2"})
			if c.fails {
				require.NoError(t, r.err)
				require.Equal(t, statusFailed, r.status)
				return
			}
			require.NoError(t, r.err, w.logs)
			require.Equal(t, wantEvents(6), r.body)
		})
	}
}

// If the first target is silent, the gateway sends the request to a second one as well. An answer to an
// earlier request that this second target writes first is discarded, too.
func TestExtraAnswerOfHedgeTargetIsDiscarded(t *testing.T) {
	var sends atomic.Int32
	script := withUsedConnections(func(a *arrival) bool {
		if a.header("X-Attempt-Id") == "r2" {
			if sends.Add(1) == 1 {
				closedWithin(a.conn, waitTimeout)
				return false
			}
			a.write(earlierAnswer(503, notRunHeader, ""))
			time.Sleep(lookupPause / 2)
		}
		return answerOK(a)
	})
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", script), newScriptedTarget(t, "b", "plain", script))
	w.configure(func(d *configDocument) { d.Routes[0].Timeout = int(waitTimeout.Milliseconds()) })
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	require.Equal(t, "done r1", w.do(call{path: "/lookup/x", id: "r1"}).body)
	require.Equal(t, "done r2", w.do(call{path: "/lookup/x", id: "r2"}).body, w.logs)
	require.True(t, w.logContains(`"event":"extra-answer"`))
}
