package gateway_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	inTransitTime = 500 * time.Millisecond  // how long requests sent before a pause may still arrive at the paused target
	sendDuration  = 2500 * time.Millisecond // how long sendRepeatedly sends requests
	sendInterval  = 20 * time.Millisecond   // time between two requests of sendRepeatedly
)

// answerWithHeader answers a request with a status and an additional header line.
func (a *arrival) answerWithHeader(status int, line string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\n%s\r\nContent-Length: 2\r\n\r\nok",
		status, a.header("X-Attempt-Id"), line)
}

// rejectWithPause rejects a request as not run, with pause as the value of the Retry-After header.
func (a *arrival) rejectWithPause(pause string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
		a.header("X-Attempt-Id"), pause)
}

// arrivalTimes records when requests arrive at a target.
type arrivalTimes struct {
	mu  sync.Mutex
	all []time.Time
}

// add records an arrival and returns the number of arrivals so far.
func (m *arrivalTimes) add() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, time.Now())
	return len(m.all)
}

// countAfter returns how many requests arrived more than d after the first.
func (m *arrivalTimes) countAfter(d time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, arrived := range m.all {
		if arrived.Sub(m.all[0]) > d {
			count++
		}
	}
	return count
}

// sendRepeatedly sends requests every sendInterval for sendDuration, without waiting for the answers, and
// returns all results.
func (w *testEnv) sendRepeatedly(path string) []result {
	var results []result
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, end := 0, time.Now().Add(sendDuration); time.Now().Before(end); n++ {
		wg.Go(func() {
			r := w.do(call{path: path, key: "key1", id: fmt.Sprintf("%s%d", path, n)})
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		time.Sleep(sendInterval)
	}
	wg.Wait()
	return results
}

// A target that answers 503 with Retry-After gets no requests during that time, except those already on their
// way. Callers are told to retry when the pause is over.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	for path, service := range map[string]string{"/lookup/x": "plain", "/stream/x": "model"} {
		t.Run(service, func(t *testing.T) {
			var arrivals arrivalTimes
			w := newTestEnvWith(t, keepKeysValid, newScriptedTarget(t, "a", service, func(a *arrival) bool {
				arrivals.add()
				a.rejectWithPause("3")
				return true
			}))
			results := w.sendRepeatedly(path)
			require.LessOrEqual(t, arrivals.countAfter(inTransitTime), 2)
			last := results[len(results)-1]
			require.Equal(t, fasthttp.StatusServiceUnavailable, last.status)
			remaining, err := strconv.ParseFloat(string(last.header.Peek("Retry-After")), 64)
			require.NoError(t, err)
			require.InDelta(t, 3-sendDuration.Seconds(), remaining, 0.6)
			w.waitUntil(func() bool { return w.logContains(`"event":"target-paused"`) })
		})
	}
}

// Another target of the service serves the requests while one is paused.
func TestOtherTargetServesDuringPause(t *testing.T) {
	var arrivals arrivalTimes
	w := newTestEnv(t, newScriptedTarget(t, "b", "plain", answerOK), newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		arrivals.add()
		a.rejectWithPause("2.6")
		return true
	}))
	for _, r := range w.sendRepeatedly("/lookup/x") {
		require.Equal(t, fasthttp.StatusOK, r.status)
	}
	require.LessOrEqual(t, arrivals.countAfter(inTransitTime), 2)
}

// A Retry-After value that is unreadable, negative, zero or a date is ignored.
func TestInvalidRetryAfterIsIgnored(t *testing.T) {
	for _, pause := range []string{"-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN", "0"} {
		t.Run(pause, func(t *testing.T) {
			w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
				if a.number == 1 {
					a.rejectWithPause(pause)
					return true
				}
				return answerOK(a)
			}))
			require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/order/x", id: "r1"}).status)
			require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/order/x", id: "r2"}).status)
		})
	}
}

// A target that says in an answer that it is leaving gets no new requests from any host, even if the list of
// targets says that it is ready. Its running requests continue.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	for path, service := range map[string]string{"/lookup/x": "plain", "/stream/x": "model"} {
		for _, status := range []int{fasthttp.StatusOK, fasthttp.StatusInternalServerError} {
			t.Run(fmt.Sprint(service, status), func(t *testing.T) {
				var arrivals arrivalTimes
				releaseFirst := make(chan bool, 1)
				w := newTestEnvWith(t, keepKeysValid, newScriptedTarget(t, "a", service, func(a *arrival) bool {
					if arrivals.add() == 1 {
						<-releaseFirst // this request still runs when the next answer says that the target is leaving
					}
					if service == "model" && status == fasthttp.StatusOK {
						fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\nServer-Leaving: 1\r\n"+
							"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.header("X-Attempt-Id"))
						a.events(1, 2)
						a.end()
						return true
					}
					a.answerWithHeader(status, "Server-Leaving: 1")
					return true
				}))
				other, _, _ := w.startSecond(keepKeysValid)
				other.waitUntil(func() bool { return other.do(call{path: "/none/", id: "r"}).status == fasthttp.StatusNotFound })
				running := make(chan result, 1)
				go func() { running <- w.do(call{path: path, key: "key1", id: "running"}) }()
				w.waitUntil(func() bool { return len(w.targets[0].received()) == 1 })
				noticeResult := w.do(call{path: path, key: "key1", id: "told"})
				want := status
				if status == fasthttp.StatusInternalServerError {
					want = fasthttp.StatusBadGateway // no other target is left for a retry
				}
				require.Equal(t, want, noticeResult.status)
				before := len(w.targets[0].received())
				for n := range 3 {
					require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: path, key: "key1", id: fmt.Sprint("after", n)}).status)
				}
				require.Len(t, w.targets[0].received(), before)
				other.waitUntil(func() bool {
					return other.do(call{path: path, key: "key1", id: "other"}).status == fasthttp.StatusServiceUnavailable
				})
				releaseFirst <- true
				require.Equal(t, want, receive(t, running).status, "the running request continues")
			})
		}
	}
}

// A leaving notice is ignored if the answer may come from another process at the target's address.
func TestLeavingNoticeOfOtherProcessIsIgnored(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		if a.number == 1 {
			a.answerWithHeader(fasthttp.StatusMisdirectedRequest, "Server-Leaving: 1")
			return true
		}
		if a.number == 2 {
			a.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		return answerOK(a)
	}))
	for n := range 2 {
		require.NotEqual(t, fasthttp.StatusOK, w.do(call{path: "/order/x", id: fmt.Sprint("r", n)}).status)
	}
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/order/x", id: "last"}).status)
}
