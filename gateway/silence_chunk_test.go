package gateway_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against counting a request as one that crashes its targets: a target falls silent inside a chunk of a
// stream and accepts no more connections, and the request moves to another target.
func TestSilenceInsideChunkIsNotCountedAsCrash(t *testing.T) {
	for name, part := range map[string]string{"size": "10\r", "end": "10\r\nid: 3\ndata: 3\n\n\n", "event": "20\r\nid: 3\nda"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var silent atomic.Bool
			var targets [2]*scriptedTarget
			script := func(n int) func(a *arrival) bool {
				return func(a *arrival) bool {
					if silent.CompareAndSwap(false, true) {
						a.begin()
						a.events(1, 2)
						a.write(part)
						targets[n].listener.Close()
						closedWithin(a.conn, waitTimeout)
						return false
					}
					a.begin()
					a.events(3, 4)
					a.end()
					return true
				}
			}
			targets[0], targets[1] = newScriptedTarget(t, "a", "model", script(0)), newScriptedTarget(t, "b", "model", script(1))
			w := newTestEnv(t, targets[0], targets[1])
			r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
			t.Log(r.err, r.status, len(r.body), "crash:", w.logContains("crash"))
			require.False(t, w.logContains("crash"), w.logs)
		})
	}
}

// A stream whose target pauses during a planned stop of the host is served to its end, whether or not there is
// a second target, which refuses it.
func TestSilentStreamCompletesDuringPlannedStop(t *testing.T) {
	for _, second := range []bool{false, true} {
		t.Run(fmt.Sprint(second), func(t *testing.T) {
			t.Parallel()
			var began atomic.Bool
			script := func(a *arrival) bool {
				if !began.CompareAndSwap(false, true) {
					a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
					return true
				}
				a.begin()
				a.events(1, 2)
				time.Sleep(streamPause)
				a.events(3, 4)
				a.end()
				return true
			}
			targets := []*scriptedTarget{newScriptedTarget(t, "a", "model", script)}
			if second {
				targets = append(targets, newScriptedTarget(t, "b", "model", script))
			}
			w := newTestEnv(t, targets...)
			go func() {
				for w.requestsSeen() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(200 * time.Millisecond)
				w.stop()
			}()
			r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
			require.NoError(t, r.err, w.logs)
			require.Equal(t, fasthttp.StatusOK, r.status)
			require.Equal(t, wantEvents(4), r.body)
		})
	}
}

// Many streams of an engine that stalls and then dies are resumed at another engine, within the retry budget.
func TestStreamsMoveFromStalledEngineThatDies(t *testing.T) {
	for _, after := range []time.Duration{1000, 1560, 1600, 1900} {
		t.Run(fmt.Sprint(int(after)), func(t *testing.T) {
			const streams = 12
			var count atomic.Int32
			var died atomic.Int64
			script := func(name string) func(a *arrival) bool {
				return func(a *arrival) bool {
					next := 1
					if last := a.header("Last-Event-Id"); last != "" {
						fmt.Sscan(last, &next)
						next++
						time.Sleep(400 * time.Millisecond) // processing of the prompt
						a.begin()
						a.events(next, 4)
						a.end()
						return true
					}
					a.begin()
					a.events(1, 2)
					if count.Add(1) == streams {
						died.Store(time.Now().Add(after * time.Millisecond).UnixNano())
					}
					for died.Load() == 0 {
						time.Sleep(time.Millisecond)
					}
					closedWithin(a.conn, time.Until(time.Unix(0, died.Load())))
					return false
				}
			}
			w := newTestEnv(t, newScriptedTarget(t, "a", "model", script("a")))
			b := newScriptedTarget(t, "b", "model", script("b"))
			w.configure(func(d *configDocument) { d.Services[1].Engine = &configEngine{Slots: 64, TokenCapacity: 1000000} })
			w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
			results := make(chan result, streams)
			for i := range streams {
				go func() { results <- w.do(call{path: "/stream/x", key: "key1", id: fmt.Sprintf("r%d", i)}) }()
			}
			w.waitUntil(func() bool { return died.Load() > 0 })
			w.putTarget(b, "ready") // it has slots for all streams
			served := 0
			for range streams {
				if r := <-results; r.err == nil && r.body == wantEvents(4) {
					served++
				}
			}
			t.Logf("died after %d ms of silence: %d of %d served", after, served, streams)
			require.Equal(t, streams, served)
		})
	}
}
