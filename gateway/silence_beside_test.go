package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A request at a silent target is sent to a second one, a hedge, which fails or refuses it in various ways, and
// then the first target resumes. A stream may continue at the first target only if the second one has not run
// it, since otherwise both would run it. A lookup is served by the first target in any case.
func TestFailedHedgeLeavesRequestAtFirstTargetUnlessRun(t *testing.T) {
	refuse := func(status int) func(a *arrival) bool {
		return func(a *arrival) bool {
			a.write(fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status))
			return true
		}
	}
	for name, c := range map[string]struct {
		ran    bool // the second target may have run the request
		script func(a *arrival) bool
	}{
		"500":                     {true, func(a *arrival) bool { a.answer(500, "bad"); return true }},
		"502 and close":           {true, func(a *arrival) bool { a.answer(502, "bad"); return false }},
		"421":                     {false, refuse(421)},
		"429":                     {false, refuse(429)},
		"close without an answer": {true, func(*arrival) bool { return false }},
		"answer to another request": {true, func(a *arrival) bool {
			a.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Seal: s\r\nContent-Length: 2\r\n\r\nxx")
			return true
		}},
		"not HTTP": {true, func(a *arrival) bool { a.write("what is this\r\n\r\n"); return true }},
		"incomplete refusal": {false, func(a *arrival) bool {
			a.write("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 100\r\n\r\nab")
			closedWithin(a.conn, time.Second)
			return false
		}},
	} {
		t.Run("stream, "+name, func(t *testing.T) {
			t.Parallel()
			asked, ended := make(chan time.Time, 1), make(chan time.Time, 1)
			w := newTwoTargetEnv(t, "model", func(a *arrival) bool {
				a.begin()
				a.events(1, 2)
				closedWithin(a.conn, 2300*time.Millisecond)
				ended <- time.Now()
				a.events(3, 4)
				a.end()
				return true
			}, func(a *arrival) bool { asked <- time.Now(); return c.script(a) })
			r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
			end := receive(t, ended)
			if c.ran && len(asked) > 0 {
				require.Error(t, r.err, "the stream must not continue at the first target")
				require.Less(t, end.Sub(receive(t, asked)), 400*time.Millisecond)
				return
			}
			require.NoError(t, r.err, w.logs)
			require.Equal(t, wantEvents(4), r.body)
		})
		t.Run("lookup, "+name, func(t *testing.T) {
			t.Parallel()
			w := newTwoTargetEnv(t, "plain", func(a *arrival) bool {
				time.Sleep(1200 * time.Millisecond)
				return answerOK(a)
			}, c.script)
			r := w.do(call{path: "/lookup/x", id: "r1"})
			require.NoError(t, r.err, w.logs)
			require.Equal(t, "done r1", r.body)
		})
	}
}

// A lookup whose target is silent is sent to a second target and refused there late. It must not be cancelled at
// the first target, whose answer comes later still.
func TestLookupStaysUntilSecondTargetAnswers(t *testing.T) {
	t.Parallel()
	w := newTwoTargetEnv(t, "plain", func(a *arrival) bool {
		time.Sleep(1600 * time.Millisecond)
		return answerOK(a)
	}, func(a *arrival) bool {
		time.Sleep(800 * time.Millisecond)
		a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := w.do(call{path: "/lookup/x", id: "r1"})
	require.NoError(t, r.err, w.logs)
	require.Equal(t, "done r1", r.body)
}

// A stream moves from a silent target to a second one also when the head of the second answer arrives in two
// parts. The request is cancelled at the first target soon, so that both run it only for a short time.
func TestHedgeWithPartialHeadTakesOverStream(t *testing.T) {
	overlaps := make(chan time.Duration, 1)
	hedged := make(chan time.Time, 1)
	w := newTwoTargetEnv(t, "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 2)
		a.chunk("id: 3\nda") // half an event
		closedWithin(a.conn, waitTimeout)
		overlaps <- time.Since(<-hedged)
		return false
	}, func(a *arrival) bool {
		hedged <- time.Now()
		time.Sleep(130 * time.Millisecond)
		a.write("HTTP/1.1 200 OK\r\nX-Att")
		time.Sleep(300 * time.Millisecond)
		a.write("empt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		a.events(3, 4)
		a.end()
		return true
	})
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.NoError(t, r.err, w.logs)
	require.Equal(t, wantEvents(4), r.body)
	overlap := receive(t, overlaps)
	t.Log("time at both targets:", overlap)
	require.Less(t, overlap, 400*time.Millisecond)
}

// A caller that leaves while two targets have its request cancels the work of both.
func TestCallerLeavingCancelsBothTargets(t *testing.T) {
	asked := make(chan bool, 1)
	ended := make(chan time.Time, 2)
	w := newTwoTargetEnv(t, "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 2)
		closedWithin(a.conn, waitTimeout)
		ended <- time.Now()
		return false
	}, func(a *arrival) bool {
		asked <- true
		closedWithin(a.conn, waitTimeout)
		ended <- time.Now()
		return false
	})
	conn := w.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Token-Count: 100,40\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n")
	receive(t, asked)
	conn.Close()
	left := time.Now()
	for range 2 {
		require.Less(t, receive(t, ended).Sub(left), 500*time.Millisecond)
	}
	w.waitUntil(func() bool { return w.logContains(`"event":"answered"`) })
}

// A request that misses a short deadline, which its caller set, does not count as a failure of its target.
func TestMissedShortDeadlineDoesNotSuspendTarget(t *testing.T) {
	for _, path := range []string{"/order/x", "/lookup/x"} {
		t.Run(path, func(t *testing.T) {
			w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
				time.Sleep(120 * time.Millisecond)
				a.answer(200, "done")
				return true
			}))
			for i := range 4 {
				r := w.do(call{path: path, id: fmt.Sprintf("s%d", i), deadline: 60 * time.Millisecond})
				t.Log("short:", r.status, r.body, r.err)
			}
			r := w.do(call{path: path, id: "n"})
			require.Equal(t, fasthttp.StatusOK, r.status)
		})
	}
}
