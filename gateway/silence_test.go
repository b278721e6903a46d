package gateway_test

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// streamPause is how long a healthy target pauses during a stream, so that it counts as silent.
const streamPause = 1600 * time.Millisecond

// lookupPause is the same for a request without a stream, whose answer is due in two seconds.
const lookupPause = 1200 * time.Millisecond

// write sends text as a part of an answer.
func (a *arrival) write(text string) { _, _ = io.WriteString(a.conn, text) }

// healthyPauses are points of an answer at which a healthy target may pause, with the path of the request and
// the expected body.
var healthyPauses = map[string]struct {
	path   string
	want   string
	script func(a *arrival)
}{
	"stream before its head": {"/stream/x", wantEvents(4), func(a *arrival) {
		time.Sleep(streamPause)
		a.begin()
		a.events(1, 4)
		a.end()
	}},
	"stream inside its head": {"/stream/x", wantEvents(4), func(a *arrival) {
		a.write("HTTP/1.1 200 OK\r\nX-Att")
		time.Sleep(streamPause)
		a.write("empt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		a.events(1, 4)
		a.end()
	}},
	"stream before its first event": {"/stream/x", wantEvents(4), func(a *arrival) {
		a.begin()
		time.Sleep(streamPause)
		a.events(1, 4)
		a.end()
	}},
	"stream between events": {"/stream/x", wantEvents(4), func(a *arrival) {
		a.begin()
		a.events(1, 2)
		time.Sleep(streamPause)
		a.events(3, 4)
		a.end()
	}},
	"stream inside a chunk size": {"/stream/x", wantEvents(4), func(a *arrival) {
		a.begin()
		a.events(1, 2)
		a.write("1")
		time.Sleep(streamPause)
		a.write("0\r\nid: 3\ndata: 3\n\n\n\r\n")
		a.events(4, 4)
		a.end()
	}},
	"stream inside an event": {"/stream/x", wantEvents(4), func(a *arrival) {
		a.begin()
		a.events(1, 2)
		a.chunk("id: 3\nda")
		time.Sleep(streamPause)
		a.chunk("ta: 3\n\n")
		a.events(4, 4)
		a.end()
	}},
	"stream before its end": {"/stream/x", wantEvents(4), func(a *arrival) {
		a.begin()
		a.events(1, 4)
		time.Sleep(streamPause)
		a.end()
	}},
	"stream that pauses twice": {"/stream/x", wantEvents(4), func(a *arrival) {
		a.begin()
		a.events(1, 2)
		time.Sleep(streamPause)
		a.events(3, 3)
		time.Sleep(streamPause)
		a.events(4, 4)
		a.end()
	}},
	"lookup before its answer": {"/lookup/x", "done r1", func(a *arrival) {
		time.Sleep(lookupPause)
		answerOK(a)
	}},
	"lookup inside its head": {"/lookup/x", "done r1", func(a *arrival) {
		a.write("HTTP/1.1 200 OK\r\nX-Att")
		time.Sleep(lookupPause)
		a.write("empt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Length: 7\r\n\r\ndone r1")
	}},
	"lookup inside its body": {"/lookup/x", "done r1", func(a *arrival) {
		a.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Length: 7\r\n\r\ndo")
		time.Sleep(lookupPause)
		a.write("ne r1")
	}},
	"order before its answer": {"/order/x", "done r1", func(a *arrival) {
		time.Sleep(lookupPause)
		answerOK(a)
	}},
}

// A request must not be given up while its target pauses if no other target can take it, because there is none
// or the others refuse it as full.
func TestSilentTargetIsAwaitedWithoutAlternative(t *testing.T) {
	for name, c := range healthyPauses {
		for _, other := range []string{"only target", "other target full"} {
			t.Run(name+", "+other, func(t *testing.T) {
				t.Parallel()
				var first atomic.Pointer[arrival]
				script := func(a *arrival) bool {
					if !first.CompareAndSwap(nil, a) {
						a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
						return true
					}
					c.script(a)
					return true
				}
				service := "plain"
				if c.path == "/stream/x" {
					service = "model"
				}
				targets := []*scriptedTarget{newScriptedTarget(t, "a", service, script)}
				if other != "only target" {
					targets = append(targets, newScriptedTarget(t, "b", service, script))
				}
				w := newTestEnv(t, targets...)
				r := w.do(call{path: c.path, key: "key1", id: "r1"})
				require.NoError(t, r.err, w.logs)
				require.Equal(t, fasthttp.StatusOK, r.status)
				require.Equal(t, c.want, r.body)
			})
		}
	}
}

// An engine with many streams stalls while other engines have free slots. The retry budget does not suffice
// to move all streams, but none is cut.
func TestNoStreamIsCutWhenBusyEngineStalls(t *testing.T) {
	const streams, events = 200, 6
	var stalledTarget atomic.Pointer[string]
	var wg sync.WaitGroup
	script := func(name string) func(a *arrival) bool {
		return func(a *arrival) bool {
			first := 1
			if last := a.header("Last-Event-Id"); last != "" {
				fmt.Sscan(last, &first)
				first++
			}
			a.begin()
			for n := first; n <= events; n++ {
				if n == 3 {
					stalledTarget.CompareAndSwap(nil, &name)
				}
				if stalled := stalledTarget.Load(); n == 3 && *stalled == name && a.header("Last-Event-Id") == "" {
					time.Sleep(streamPause)
				}
				a.events(n, n)
				time.Sleep(20 * time.Millisecond)
			}
			a.end()
			return true
		}
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", script("a")), newScriptedTarget(t, "b", "model", script("b")), newScriptedTarget(t, "c", "model", script("c")))
	w.configure(func(d *configDocument) {
		d.Services[1].Engine = &configEngine{Slots: 128, TokenCapacity: 1000000}
	})
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	results := make([]result, streams)
	for i := range results {
		wg.Go(func() { results[i] = w.do(call{path: "/stream/x", key: "key1", id: fmt.Sprintf("r%d", i)}) })
	}
	wg.Wait()
	served, cut := 0, 0
	for _, r := range results {
		switch {
		case r.err != nil:
			cut++
		case r.status == fasthttp.StatusOK:
			require.Equal(t, wantEvents(events), r.body)
			served++
		}
	}
	t.Logf("%d served, %d cut", served, cut)
	require.Zero(t, cut)
	require.Positive(t, served)
}

// A stream whose target stays silent continues at another one, and is cancelled at the first target soon after
// the second one has the request, so that both run it only for a short time.
func TestSilentTargetIsCancelledAfterHedge(t *testing.T) {
	ended, hedged := make(chan time.Time, 1), make(chan time.Time, 1)
	script := func(a *arrival) bool {
		a.begin()
		if a.header("Last-Event-Id") == "2" {
			hedged <- time.Now()
			time.Sleep(lookupPause) // processing of the prompt
			a.events(3, 4)
			a.end()
			return true
		}
		a.events(1, 2)
		closedWithin(a.conn, waitTimeout)
		ended <- time.Now()
		return false
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.NoError(t, r.err)
	require.Equal(t, wantEvents(4), r.body)
	require.Less(t, receive(t, ended).Sub(receive(t, hedged)), 400*time.Millisecond)
}

// If the first target resumes after a second one got the stream, the stream continues at the second one,
// which may have begun to run it. No event is lost or duplicated, and the stream is cancelled at the first one.
func TestStreamMovesToHedgeThatMayHaveBegun(t *testing.T) {
	hedged, ended, began := make(chan bool, 1), make(chan time.Time, 1), make(chan time.Time, 1)
	script := func(a *arrival) bool {
		a.begin()
		if a.header("Last-Event-Id") == "2" {
			began <- time.Now()
			hedged <- true
			time.Sleep(lookupPause) // processing of the prompt
			a.events(3, 6)
			a.end()
			return true
		}
		a.events(1, 2)
		<-hedged
		a.events(3, 4)
		closedWithin(a.conn, waitTimeout)
		ended <- time.Now()
		return false
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.NoError(t, r.err)
	require.Equal(t, wantEvents(6), r.body)
	require.Less(t, receive(t, ended).Sub(receive(t, began)), 400*time.Millisecond)
}

// A stream stays at its first target if that resumes and the second target refuses.
func TestResumingFirstTargetKeepsStreamWhenHedgeIsRefused(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
		hedged := make(chan bool, 1)
		script := func(a *arrival) bool {
			if a.header("Last-Event-Id") == "2" {
				hedged <- true
				time.Sleep(delay)
				a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			a.begin()
			a.events(1, 2)
			<-hedged
			a.events(3, 4)
			a.end()
			return true
		}
		w := newTestEnv(t, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
		r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
		require.NoError(t, r.err, w.logs)
		require.Equal(t, wantEvents(4), r.body)
	}
}

// If the second target of a stream answers with an error, it may have run the request. The request is then
// cancelled at the silent first target, and sent to a third one if the route allows it.
func TestSilentTargetIsCancelledWhenHedgeFails(t *testing.T) {
	ended, failed := make(chan time.Time, 1), make(chan time.Time, 1)
	var sends atomic.Int32
	script := func(a *arrival) bool {
		switch sends.Add(1) {
		case 1:
			a.begin()
			a.events(1, 2)
			closedWithin(a.conn, waitTimeout)
			ended <- time.Now()
			return false
		case 2:
			failed <- time.Now()
			a.answer(fasthttp.StatusInternalServerError, "broken")
			return true
		}
		a.begin()
		a.events(3, 4)
		a.end()
		return true
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script), newScriptedTarget(t, "c", "model", script))
	w.configure(func(d *configDocument) {
		for i := range d.Routes {
			d.Routes[i].Attempts = 3
		}
	})
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.NoError(t, r.err, w.logs)
	require.Equal(t, wantEvents(4), r.body)
	require.Less(t, receive(t, ended).Sub(receive(t, failed)), 400*time.Millisecond)
}

// A stream that has all its events and lacks only its end stays at its target, since no other one can add the
// end.
func TestStreamMissingOnlyItsEndIsNotMoved(t *testing.T) {
	const events = 40 // the number that testEnv.do requests
	script := func(a *arrival) bool {
		a.begin()
		if a.header("Last-Event-Id") == "" {
			a.events(1, events)
			time.Sleep(streamPause + streamPause/4)
		}
		a.end()
		return true
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.NoError(t, r.err, w.logs)
	require.Equal(t, wantEvents(events), r.body)
}
