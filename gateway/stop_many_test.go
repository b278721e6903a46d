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

const longDeadline = 2000 // ms, longer than the callers of a test are there

// sent is a request of one of many callers.
type sent struct {
	path, id string
	ended    time.Time // when its answer or its connection ended
	result   result
}

// manyCallers are callers of a host that stops.
type manyCallers struct {
	world  *testEnv
	number atomic.Int64
	over   atomic.Bool // nobody sends any more
	mu     sync.Mutex
	all    []*sent
}

// send sends a request and reads its answer. It returns false if the connection can't be used again.
func (m *manyCallers) send(conn net.Conn, rd *bufio.Reader, path string, deadline int) bool {
	s := &sent{path: path, id: fmt.Sprint("r", m.number.Add(1))}
	text := "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: key1\r\nX-Token-Count: 100,40\r\nContent-Length: 4\r\n\r\nbody"
	_, err := fmt.Fprintf(conn, text, path, s.id, deadline)
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(waitLimit)) // reading fails if this does
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

// call goes on with requests of a path until the host takes no connection. Those that are kept are used
// until they are closed.
func (m *manyCallers) call(random *rand.Rand, path string, keeps bool) {
	deadline := func() int { // late in the grace only short ones are taken
		if strings.HasPrefix(path, "/stream/") {
			return longDeadline
		}
		return 50 + random.IntN(longDeadline-50)
	}
	for !m.over.Load() {
		conn, err := net.DialTimeout("tcp", m.world.address.String(), time.Second)
		if err != nil {
			return
		}
		rd := bufio.NewReader(conn)
		for m.send(conn, rd, path, deadline()) && keeps && !m.over.Load() {
			time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
		}
		conn.Close()
		time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
	}
}

// pacedTarget answers after random times. One answer in 50 has no end.
func pacedTarget(t *testing.T, id, service string, seed uint64) *scripted {
	random := rand.New(rand.NewPCG(seed, 9))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	return newScripted(t, id, service, func(a *arrival) bool {
		endless := draw(50) == 0
		pause := time.Duration(draw(8)) * time.Millisecond
		if service == "plain" {
			if endless {
				closed(a.conn, waitLimit)
				return false
			}
			time.Sleep(10 * pause)
			return ok(a)
		}
		a.begin()
		for n := 1; n <= 20 || endless; n++ {
			a.events(n, n)
			if time.Sleep(pause); closed(a.conn, time.Millisecond) {
				return false
			}
		}
		a.end()
		_ = a.conn.SetReadDeadline(time.Time{}) // the next read fails if this does
		return true
	})
}

// Requests of many callers that were read around a planned stop got no answer, or were cut after they were passed on.
func TestManyCallersBesideAPlannedStopAreAnswered(t *testing.T) {
	const grace, callers = shortGrace, 25 // of each kind
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newTestEnvWith(t, graceOf(grace),
				pacedTarget(t, "a", "plain", seed), pacedTarget(t, "b", "plain", seed+10), pacedTarget(t, "c", "plain", seed+40),
				pacedTarget(t, "m", "model", seed+20), pacedTarget(t, "n", "model", seed+30))
			w.configure(func(d *configDocument) { d.Services[1].Engine = &configEngine{Slots: 64, Memory: 1000000} })
			w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
			m := &manyCallers{world: w}
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
			require.Less(t, w.ended(), grace)
			end := time.Now()
			m.over.Store(true)
			wg.Wait()
			m.check(t, signal.Add(grace-cutMargin), end)
		})
	}
}

// check compares what callers got with what was at the targets of a host whose work was to be over by a time, and that
// ended later.
func (m *manyCallers) check(t *testing.T, work, end time.Time) {
	at := map[string]int{}
	for _, s := range m.world.targets {
		for _, a := range s.seen() {
			at[a.header("X-Attempt-Id")]++
		}
	}
	counts := map[string]int{}
	for _, s := range m.all {
		stream := strings.HasPrefix(s.path, "/stream/")
		what := fmt.Sprintf("%s %s: status %d, %d sends, ended %v after the work, %v after the process: %v",
			s.path, s.id, s.result.status, at[s.id], s.ended.Sub(work), s.ended.Sub(end), s.result.err)
		switch refused := s.result.status == fasthttp.StatusServiceUnavailable; {
		case s.result.err == nil:
			counts[fmt.Sprint(s.path, " ", s.result.status)]++
			require.Less(t, s.ended.Sub(end), 200*time.Millisecond, what)
			require.False(t, refused && at[s.id] > 0, what)
		case at[s.id] == 0:
			counts[s.path+" not read"]++
			require.False(t, m.world.logContains(fmt.Sprintf(`"request":%q`, s.id)), what)
		default:
			counts[s.path+" cut"]++
			require.True(t, stream, what)
			require.Greater(t, s.ended.Sub(work), time.Duration(0), what)
			require.True(t, strings.HasSuffix(s.result.body, "\n\n"), what)
			require.Equal(t, wantEvents(strings.Count(s.result.body, "id: ")), s.result.body, what)
		}
		if strings.HasPrefix(s.path, "/order/") {
			require.LessOrEqual(t, at[s.id], 1, what)
		}
		delete(at, s.id)
	}
	require.Empty(t, at, "nothing is at a target whose caller has no outcome")
	t.Log(counts)
}
