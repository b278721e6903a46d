package gateway_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const longDeadline = 2000 // ms; longer than the callers of one test send requests

// sentRequest is a request of one of the callers, and its result.
type sentRequest struct {
	path, id string
	ended    time.Time // when its answer or its connection ended
	result   result
}

// manyCallers is a group of callers of a host that stops.
type manyCallers struct {
	env    *testEnv
	number atomic.Int64 // number of requests sent
	done   atomic.Bool  // no more requests are sent
	mu     sync.Mutex
	all    []*sentRequest
}

// send sends a request and reads its answer. It returns false if the connection can't be used again.
func (m *manyCallers) send(conn net.Conn, rd *bufio.Reader, path string, deadline int) bool {
	s := &sentRequest{path: path, id: fmt.Sprint("r", m.number.Add(1))}
	text := "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: key1\r\nX-Token-Count: 100,40\r\nContent-Length: 4\r\n\r\nbody"
	_, err := fmt.Fprintf(conn, text, path, s.id, deadline)
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout)) // reading fails if this does
		s.result = readResult(rd)
	} else {
		s.result.err = err
	}
	s.ended = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, s)
	return s.result.err == nil && !s.result.header.ConnectionClose()
}

// call sends requests for a path one after the other until the host accepts no connection. With keepAlive set,
// each connection is used until it is closed.
func (m *manyCallers) call(random *rand.Rand, path string, keepAlive bool) {
	deadline := func() int { // late in the grace period only requests with a short deadline are admitted
		if strings.HasPrefix(path, "/stream/") {
			return longDeadline
		}
		return 50 + random.IntN(longDeadline-50)
	}
	for !m.done.Load() {
		conn, err := net.DialTimeout("tcp", m.env.address.String(), time.Second)
		if err != nil {
			return
		}
		rd := bufio.NewReader(conn)
		for m.send(conn, rd, path, deadline()) && keepAlive && !m.done.Load() {
			time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
		}
		conn.Close()
		time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
	}
}

// newRandomTarget returns a target that answers after random times. One answer in 50 never ends.
func newRandomTarget(t *testing.T, id, service string, seed uint64) *scriptedTarget {
	random := rand.New(rand.NewPCG(seed, 9))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	return newScriptedTarget(t, id, service, func(a *arrival) bool {
		endless := draw(50) == 0
		pause := time.Duration(draw(8)) * time.Millisecond
		if service == "plain" {
			if endless {
				closedWithin(a.conn, waitTimeout)
				return false
			}
			time.Sleep(10 * pause)
			return answerOK(a)
		}
		a.begin()
		for n := 1; n <= 20 || endless; n++ {
			a.events(n, n)
			if time.Sleep(pause); closedWithin(a.conn, time.Millisecond) {
				return false
			}
		}
		a.end()
		_ = a.conn.SetReadDeadline(time.Time{}) // the next read fails if this does
		return true
	})
}

// Some requests of many callers that the host read shortly before or during a planned stop got no answer, or
// were aborted after they had been forwarded to a target.
func TestManyCallersDuringPlannedStopAreAnswered(t *testing.T) {
	const grace, callers = shortGrace, 25 // of each kind
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newTestEnvWith(t, withGrace(grace),
				newRandomTarget(t, "a", "plain", seed), newRandomTarget(t, "b", "plain", seed+10), newRandomTarget(t, "c", "plain", seed+40),
				newRandomTarget(t, "m", "model", seed+20), newRandomTarget(t, "n", "model", seed+30))
			w.configure(func(d *configDocument) { d.Services[1].Engine = &configEngine{Slots: 64, TokenCapacity: 1000000} })
			w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
			m := &manyCallers{env: w}
			var wg sync.WaitGroup
			for n := range callers {
				for kind, path := range []string{"/order/x", "/lookup/x", "/stream/x", "/order/y"} {
					random := rand.New(rand.NewPCG(seed, uint64(4*n+kind)))
					wg.Go(func() { m.call(random, path, kind < 3) })
				}
			}
			random := rand.New(rand.NewPCG(seed, 1000))
			time.Sleep(200*time.Millisecond + time.Duration(random.Int64N(int64(100*time.Millisecond))))
			signal := time.Now()
			w.stop()
			require.Less(t, w.timeToEnd(), grace)
			end := time.Now()
			m.done.Store(true)
			wg.Wait()
			m.check(t, workEnd(t, w, signal.Add(grace-stopMargin)), end)
		})
	}
}

// workEnd returns the time by which all work of a host that stops had to be finished: no earlier than expected, unless
// the host had been stalled at the signal. Then its grace period counts from the start of the stall.
func workEnd(t *testing.T, w *testEnv, expected time.Time) time.Time {
	t.Helper()
	set := w.gateway.StopWorkEnd()
	early := expected.Sub(set)
	if early <= 0 {
		return expected
	}
	t.Logf("the grace period began %v before the signal, at the start of a stall", early)
	require.LessOrEqual(t, early, shortGrace/2)
	return set
}

// check compares the results of the callers with the requests at the targets. All work of the host had to be
// finished at workEnd, and its process ended at processEnd.
func (m *manyCallers) check(t *testing.T, workEnd, processEnd time.Time) {
	sends := map[string]int{}
	for _, s := range m.env.targets {
		for _, a := range s.received() {
			sends[a.header("X-Attempt-Id")]++
		}
	}
	counts := map[string]int{}
	for _, s := range m.all {
		stream := strings.HasPrefix(s.path, "/stream/")
		description := fmt.Sprintf("%s %s: status %d, %d sends, ended %v after the work, %v after the process: %v",
			s.path, s.id, s.result.status, sends[s.id], s.ended.Sub(workEnd), s.ended.Sub(processEnd), s.result.err)
		switch refused := s.result.status == fasthttp.StatusServiceUnavailable; {
		case s.result.err == nil:
			counts[fmt.Sprint(s.path, " ", s.result.status)]++
			require.Less(t, s.ended.Sub(processEnd), 200*time.Millisecond, description)
			require.False(t, refused && sends[s.id] > 0, description)
		case sends[s.id] == 0:
			counts[s.path+" not read"]++
			require.False(t, m.env.logContains(fmt.Sprintf(`"request":%q`, s.id)), description)
		default:
			counts[s.path+" cut"]++
			require.True(t, stream, description)
			require.Greater(t, s.ended.Sub(workEnd), time.Duration(0), description)
			require.True(t, strings.HasSuffix(s.result.body, "\n\n"), description)
			require.Equal(t, wantEvents(strings.Count(s.result.body, "id: ")), s.result.body, description)
		}
		if strings.HasPrefix(s.path, "/order/") {
			require.LessOrEqual(t, sends[s.id], 1, description)
		}
		delete(sends, s.id)
	}
	require.Empty(t, sends, "requests at targets without a result of their caller")
	t.Log(counts)
}
