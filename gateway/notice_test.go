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
	excused  = 500 * time.Millisecond // in which what is on its way to a target that pauses may arrive
	sendFor  = 2500 * time.Millisecond
	sendStep = 20 * time.Millisecond
)

// headed answers a request with a status and a header line besides the usual ones.
func (a *arrival) headed(status int, line string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\n%s\r\nContent-Length: 2\r\n\r\nok",
		status, a.header("X-Attempt-Id"), line)
}

// full answers a request that the target did not run, with a pause.
func (a *arrival) full(pause string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
		a.header("X-Attempt-Id"), pause)
}

// timed notes when requests arrive at a target.
type timed struct {
	mu  sync.Mutex
	all []time.Time
}

func (m *timed) note() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, time.Now())
	return len(m.all)
}

// after returns how many arrived later than a time after the first.
func (m *timed) after(d time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, at := range m.all {
		if at.Sub(m.all[0]) > d {
			count++
		}
	}
	return count
}

// press sends requests for some time, one after the other and without a wait for the answers, and
// returns these.
func (w *testEnv) press(path string) []result {
	var results []result
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, end := 0, time.Now().Add(sendFor); time.Now().Before(end); n++ {
		wg.Go(func() {
			r := w.do(call{path: path, key: "key1", id: fmt.Sprintf("%s%d", path, n)})
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		time.Sleep(sendStep)
	}
	wg.Wait()
	return results
}

// A target that answers 503 with Retry-After gets nothing for so long but what was on its way, and
// callers are told to come back when the pause is over.
func TestPausedTargetIsLeftAlone(t *testing.T) {
	for path, service := range map[string]string{"/lookup/x": "plain", "/stream/x": "model"} {
		t.Run(service, func(t *testing.T) {
			var arrivals timed
			w := newTestEnvWith(t, keepKeysValid, newScripted(t, "a", service, func(a *arrival) bool {
				arrivals.note()
				a.full("3")
				return true
			}))
			results := w.press(path)
			require.LessOrEqual(t, arrivals.after(excused), 2)
			last := results[len(results)-1]
			require.Equal(t, fasthttp.StatusServiceUnavailable, last.status)
			left, err := strconv.ParseFloat(string(last.header.Peek("Retry-After")), 64)
			require.NoError(t, err)
			require.InDelta(t, 3-sendFor.Seconds(), left, 0.6)
			w.waitUntil(func() bool { return w.logContains(`"event":"target-paused"`) })
		})
	}
}

// Another target of the service serves meanwhile.
func TestPausedTargetIsReplaced(t *testing.T) {
	var arrivals timed
	w := newTestEnv(t, newScripted(t, "b", "plain", ok), newScripted(t, "a", "plain", func(a *arrival) bool {
		arrivals.note()
		a.full("2.6")
		return true
	}))
	for _, r := range w.press("/lookup/x") {
		require.Equal(t, fasthttp.StatusOK, r.status)
	}
	require.LessOrEqual(t, arrivals.after(excused), 2)
}

// A pause that can't be read, a negative one and a date are none.
func TestBadPauseIsNone(t *testing.T) {
	for _, pause := range []string{"-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN", "0"} {
		t.Run(pause, func(t *testing.T) {
			w := newTestEnv(t, newScripted(t, "a", "plain", func(a *arrival) bool {
				if a.number == 1 {
					a.full(pause)
					return true
				}
				return ok(a)
			}))
			require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/order/x", id: "r1"}).status)
			require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/order/x", id: "r2"}).status)
		})
	}
}

// A target that says in an answer that it is leaving gets nothing new from any host, though the list
// says that it is ready, and what runs there goes on.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	for path, service := range map[string]string{"/lookup/x": "plain", "/stream/x": "model"} {
		for _, status := range []int{fasthttp.StatusOK, fasthttp.StatusInternalServerError} {
			t.Run(fmt.Sprint(service, status), func(t *testing.T) {
				var arrivals timed
				first := make(chan bool, 1)
				w := newTestEnvWith(t, keepKeysValid, newScripted(t, "a", service, func(a *arrival) bool {
					if arrivals.note() == 1 {
						<-first // it runs on while the next one is told
					}
					if service == "model" && status == fasthttp.StatusOK {
						fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\nServer-Leaving: 1\r\n"+
							"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.header("X-Attempt-Id"))
						a.events(1, 2)
						a.end()
						return true
					}
					a.headed(status, "Server-Leaving: 1")
					return true
				}))
				other, _, _ := w.startSecond(keepKeysValid)
				other.waitUntil(func() bool { return other.do(call{path: "/none/", id: "r"}).status == fasthttp.StatusNotFound })
				running := make(chan result, 1)
				go func() { running <- w.do(call{path: path, key: "key1", id: "running"}) }()
				w.waitUntil(func() bool { return len(w.targets[0].seen()) == 1 })
				told := w.do(call{path: path, key: "key1", id: "told"})
				want := status
				if status == fasthttp.StatusInternalServerError {
					want = fasthttp.StatusBadGateway // another target was looked for in vain
				}
				require.Equal(t, want, told.status)
				before := len(w.targets[0].seen())
				for n := range 3 {
					require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: path, key: "key1", id: fmt.Sprint("after", n)}).status)
				}
				require.Len(t, w.targets[0].seen(), before)
				other.waitUntil(func() bool {
					return other.do(call{path: path, key: "key1", id: "other"}).status == fasthttp.StatusServiceUnavailable
				})
				first <- true
				require.Equal(t, want, got(t, running).status, "what runs there goes on")
			})
		}
	}
}

// A target whose address another process has, which says that it is leaving, is not taken for leaving.
func TestNoticeOfAnotherProcessIsIgnored(t *testing.T) {
	w := newTestEnv(t, newScripted(t, "a", "plain", func(a *arrival) bool {
		if a.number == 1 {
			a.headed(fasthttp.StatusMisdirectedRequest, "Server-Leaving: 1")
			return true
		}
		if a.number == 2 {
			a.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		return ok(a)
	}))
	for n := range 2 {
		require.NotEqual(t, fasthttp.StatusOK, w.do(call{path: "/order/x", id: fmt.Sprint("r", n)}).status)
	}
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/order/x", id: "last"}).status)
}
