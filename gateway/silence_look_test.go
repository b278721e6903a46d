package gateway_test

import (
	"bufio"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// firstThenRest returns a script that runs first for the first request and rest for all later ones, also if
// they arrive at other targets that share the script.
func firstThenRest(first, rest func(a *arrival) bool) func(a *arrival) bool {
	var started atomic.Bool
	return func(a *arrival) bool {
		if started.CompareAndSwap(false, true) {
			return first(a)
		}
		return rest(a)
	}
}

// newTwoTargetEnv returns a testEnv with two targets of a service that share a script made by firstThenRest.
func newTwoTargetEnv(t *testing.T, service string, first, rest func(a *arrival) bool) *testEnv {
	script := firstThenRest(first, rest)
	return newTestEnv(t, newScriptedTarget(t, "a", service, script), newScriptedTarget(t, "b", service, script))
}

// When the silent first target closes its connection just after the second one got the request, this must not
// count as a sign of life, upon which the request would be cancelled at the second target.
func TestConnectionCloseAfterHedgeIsNotProgress(t *testing.T) {
	for _, path := range []string{"/stream/x", "/lookup/x"} {
		t.Run(path, func(t *testing.T) {
			asked, ended := make(chan bool, 1), make(chan bool, 1)
			service := "plain"
			if path == "/stream/x" {
				service = "model"
			}
			w := newTwoTargetEnv(t, service, func(a *arrival) bool {
				if service == "model" {
					a.begin()
					a.events(1, 2)
				}
				<-asked
				return false
			}, func(a *arrival) bool {
				asked <- true
				ended <- closedWithin(a.conn, 400*time.Millisecond)
				if service == "model" {
					a.begin()
					a.events(3, 4)
					a.end()
					return true
				}
				a.answer(200, "done r1")
				return true
			})
			r := w.do(call{path: path, key: "key1", id: "r1"})
			t.Log("second target was closed by the gateway:", receive(t, ended), r.err, r.status, "\n", w.logs.String())
			require.NoError(t, r.err)
			require.Equal(t, fasthttp.StatusOK, r.status)
		})
	}
}

// When the silent first target rejects a request that the second one already has, this must not count as a sign
// of life, upon which the request would be cancelled at the second target.
func TestRejectionAfterHedgeIsNotProgress(t *testing.T) {
	asked := make(chan bool, 1)
	w := newTwoTargetEnv(t, "plain", func(a *arrival) bool {
		<-asked
		a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}, func(a *arrival) bool {
		asked <- true
		time.Sleep(250 * time.Millisecond)
		a.answer(200, "done r1")
		return true
	})
	r := w.do(call{path: "/lookup/x", id: "r1"})
	require.NoError(t, r.err)
	require.Equal(t, fasthttp.StatusOK, r.status, w.logs)
}

// An event that is complete except for the end of its chunk is passed on exactly once.
func TestEventInUnfinishedChunkIsPassedOnOnce(t *testing.T) {
	for _, from := range []int{1, 3} {
		t.Run(fmt.Sprint(from), func(t *testing.T) {
			w := newTwoTargetEnv(t, "model", func(a *arrival) bool {
				a.begin()
				a.events(1, from-1)
				a.write(fmt.Sprintf("10\r\nid: %d\ndata: %d\n\n\n", from, from))
				closedWithin(a.conn, waitTimeout)
				return false
			}, func(a *arrival) bool {
				next := 1
				if last := a.header("Last-Event-Id"); last != "" {
					fmt.Sscan(last, &next)
					next++
				}
				a.begin()
				a.events(next, 5)
				a.end()
				return true
			})
			r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
			require.NoError(t, r.err, w.logs)
			require.Equal(t, fasthttp.StatusOK, r.status)
			require.Equal(t, strings.TrimSpace(wantEvents(5)), strings.TrimSpace(strings.ReplaceAll(r.body, "\n\n\n", "\n\n")))
		})
	}
}

// When a silent target resumes while the host still waits for a free slot at another one, its events are passed
// on at once.
func TestEventsPassDuringSearchForSecondTarget(t *testing.T) {
	wrote := make(chan time.Time, 1)
	pausing := atomic.Bool{}
	script := func(a *arrival) bool {
		a.begin()
		if a.header("X-Attempt-Id") != "r1" {
			closedWithin(a.conn, 6*time.Second)
			return false
		}
		a.events(1, 2)
		pausing.Store(true)
		time.Sleep(1700 * time.Millisecond)
		wrote <- time.Now()
		a.events(3, 4)
		a.end()
		return true
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
	w.configure(func(d *configDocument) {
		d.Services[1].Engine = &configEngine{Slots: 1, TokenCapacity: 100000}
		for i := range d.Routes {
			if d.Routes[i].Service == "model" {
				d.Routes[i].LatencyGoal, d.Routes[i].Timeout = 8000, 20000
			}
		}
	})
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	go w.do(call{path: "/once/x", key: "key1", id: "other"})
	w.waitUntil(func() bool { return w.requestsSeen() == 1 })
	conn := w.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Token-Count: 100,40\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n")
	rd := bufio.NewReader(conn)
	for {
		line, err := rd.ReadString('\n')
		require.NoError(t, err, w.logs)
		if strings.HasPrefix(line, "id: 3") {
			break
		}
	}
	delay := time.Since(receive(t, wrote))
	t.Log("delay of event 3:", delay, "\n", w.logs.String())
	require.Less(t, delay, 300*time.Millisecond)
}

// requestsSeen returns the number of requests that have arrived at all targets.
func (w *testEnv) requestsSeen() int {
	n := 0
	for _, s := range w.targets {
		n += len(s.received())
	}
	return n
}

// When a target that has resumed falls silent again, the request is sent to a second target, a hedge, as soon as
// after the first silence.
func TestHedgeDelayIsResetByProgress(t *testing.T) {
	var resumed atomic.Int64
	script := func(a *arrival) bool {
		a.begin()
		if a.header("Last-Event-Id") == "3" {
			a.events(4, 4)
			a.end()
			return true
		}
		a.events(1, 2)
		time.Sleep(3400 * time.Millisecond)
		a.events(3, 3)
		resumed.Store(time.Now().UnixNano())
		closedWithin(a.conn, 30*time.Second)
		return false
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", script))
	w.configure(func(d *configDocument) {
		for i := range d.Routes {
			d.Routes[i].Timeout = 20000
		}
	})
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	b := newScriptedTarget(t, "b", "model", script)
	go func() {
		for resumed.Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(1600 * time.Millisecond)
		w.putTarget(b, "ready")
	}()
	conn := w.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Token-Count: 100,40\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n")
	rd := bufio.NewReader(conn)
	for {
		line, err := rd.ReadString('\n')
		require.NoError(t, err, w.logs)
		if strings.HasPrefix(line, "id: 4") {
			break
		}
	}
	gap := time.Since(time.Unix(0, resumed.Load()))
	t.Log("gap after event 3:", gap, "\n", w.logs.String())
	require.Less(t, gap, 2600*time.Millisecond)
}

// A hedge that starts shortly before the caller's deadline does not delay the answer beyond it.
func TestHedgeDoesNotOutlastDeadline(t *testing.T) {
	w := newTwoTargetEnv(t, "plain", func(a *arrival) bool { closedWithin(a.conn, waitTimeout); return false },
		func(a *arrival) bool { closedWithin(a.conn, waitTimeout); return false })
	began := time.Now()
	r := w.do(call{path: "/lookup/x", id: "r1", deadline: 415 * time.Millisecond})
	elapsed := time.Since(began)
	t.Log(r.status, elapsed)
	require.Less(t, elapsed, 415*time.Millisecond+100*time.Millisecond)
}

// A stream is served by its first target when that resumes after the second one has refused.
func TestStreamStaysAtFirstTargetAfterHedgeIsRefused(t *testing.T) {
	for _, delay := range []time.Duration{20, 100, 200} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			w := newTwoTargetEnv(t, "model", func(a *arrival) bool {
				a.begin()
				a.events(1, 2)
				time.Sleep(2100 * time.Millisecond)
				a.events(3, 4)
				a.end()
				return true
			}, func(a *arrival) bool {
				time.Sleep(delay * time.Millisecond)
				a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
			require.NoError(t, r.err, w.logs)
			require.Equal(t, wantEvents(4), r.body)
		})
	}
}
