package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	headBuffer  = 8 << 10 // the most that the head of an answer may have
	headPause   = 30 * time.Millisecond
	headTargets = 12 // one that failed is left alone for a while
	headCallers = 6
)

// routesOfHeads are the paths at which heads stop, of one kind each.
var routesOfHeads = []string{"/order/x", "/lookup/x", "/stream/x", "/once/x"}

// streams returns whether the answer to a request is a series of events.
func (a *arrival) streams() bool {
	path := string(a.request.URI().Path())
	return strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/once/")
}

// sizedHead returns a whole answer whose head has so many bytes, or as few as it can.
func (a *arrival) sizedHead(size int) (head, body string) {
	head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + a.header("X-Attempt-Id") + "\r\n" + sealed
	if a.streams() {
		head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
		for n := 1; n <= 3; n++ {
			event := fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
			body += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		body += "0\r\n\r\n"
	} else {
		body = "done " + a.header("X-Attempt-Id")
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	const fill = "X-Fill: "
	if missing := size - len(head) - len(fill) - 4; missing > 0 {
		head += fill + strings.Repeat("f", missing) + "\r\n"
	}
	return head + "\r\n", body
}

// wantWhole returns the whole body of the answer to a request at a path.
func wantWhole(path, id string) string {
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/once/") {
		return wantEvents(3)
	}
	return "done " + id
}

// stoppedHead is a head that stops after some bytes.
type stoppedHead struct {
	path      string
	size, cut int
	end       string // closed, reset, or goes on
}

// stopsAt writes an answer that stops in its head. It returns false to close the connection.
func (h stoppedHead) stopsAt(a *arrival) bool {
	head, body := a.sizedHead(h.size)
	a.write(head[:min(h.cut, len(head)-1)])
	switch h.end {
	case "closed":
		return false
	case "reset":
		a.arrived()
		a.reset()
		return false
	}
	a.arrived()
	time.Sleep(headPause)
	a.write(head[min(h.cut, len(head)-1):] + body)
	return true
}

// heads scripts targets that stop in the head of the first answer to each request and answer its
// repeats as a whole.
type heads struct {
	mu    sync.Mutex
	cases map[string]stoppedHead
	sends map[string]int
}

func (h *heads) script(a *arrival) bool {
	id := a.header("X-Attempt-Id")
	h.mu.Lock()
	h.sends[id]++
	c, first := h.cases[id], h.sends[id] == 1
	h.mu.Unlock()
	if first {
		return c.stopsAt(a)
	}
	head, body := a.sizedHead(0)
	a.write(head + body)
	return true
}

// add notes a case and returns the id of its request.
func (h *heads) add(c stoppedHead) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := fmt.Sprintf("r%d", len(h.cases)+1)
	h.cases[id] = c
	return id
}

// sent returns how often a request reached a target.
func (h *heads) sent(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sends[id]
}

// newHeads returns a world of targets that stop in their heads.
func newHeads(t *testing.T) (*testEnv, *heads) {
	t.Helper()
	h := &heads{cases: map[string]stoppedHead{}, sends: map[string]int{}}
	var targets []*scripted
	for n := range headTargets {
		targets = append(targets,
			newScripted(t, fmt.Sprintf("p%d", n), "plain", h.script), newScripted(t, fmt.Sprintf("m%d", n), "model", h.script))
	}
	return newTestEnvWith(t, keepKeysValid, targets...), h
}

// play sends the request of a case until a target has it, and returns what the caller got.
func (h *heads) play(w *testEnv, c stoppedHead, send func(c call) result) (result, string) {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(headPause) {
		id := h.add(c)
		if r := send(call{path: c.path, key: "key1", id: id}); h.sent(id) > 0 {
			return r, id
		}
	}
	return result{}, ""
}

// requireTrue checks that a caller got a whole answer, or none that looks whole, and that what may
// not be repeated was sent once.
func (h *heads) requireTrue(t *testing.T, c stoppedHead, r result, id string) {
	t.Helper()
	require.NotEmpty(t, id, "no target had the request")
	once := c.path == "/order/x" || c.path == "/once/x"
	if once {
		require.Equal(t, 1, h.sent(id))
	}
	switch {
	case r.err != nil:
	case r.status == fasthttp.StatusOK:
		require.Equal(t, wantWhole(c.path, id), r.body)
		require.True(t, !once || c.end == "goes on", "a head that stopped was taken")
	default:
		require.GreaterOrEqual(t, r.status, fasthttp.StatusInternalServerError)
		require.NotEqual(t, fasthttp.StatusServiceUnavailable, r.status, "a target had it")
		require.Empty(t, r.header.Peek("X-Replica-Seal"))
	}
}

// playAll plays cases side by side.
func (h *heads) playAll(t *testing.T, w *testEnv, cases []stoppedHead, check func(c stoppedHead, r result, id string)) {
	t.Helper()
	var next atomic.Int64
	var callers sync.WaitGroup
	for range headCallers {
		callers.Go(func() {
			for n := next.Add(1); int(n) <= len(cases) && !t.Failed(); n = next.Add(1) {
				c := cases[n-1]
				r, id := h.play(w, c, w.do)
				check(c, r, id)
			}
		})
	}
	callers.Wait()
}

// MIXED, ORDER: a head near or over what the host reads of one stops. No caller gets a part of an
// answer as a whole, and nothing is sent twice.
func TestLargeHeadThatStopsIsNoAnswer(t *testing.T) {
	for _, path := range routesOfHeads {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			t.Parallel()
			w, h := newHeads(t)
			var cases []stoppedHead
			for _, size := range []int{headBuffer - 1, headBuffer, headBuffer + 1, 3 * headBuffer} {
				for _, cut := range []int{20, size / 2, headBuffer - 1, headBuffer, headBuffer + 1, size - 4, size - 1} {
					for _, end := range []string{"closed", "reset", "goes on"} {
						cases = append(cases, stoppedHead{path, size, cut, end})
					}
				}
			}
			h.playAll(t, w, cases, func(c stoppedHead, r result, id string) {
				h.requireTrue(t, c, r, id)
				if c.end == "goes on" && c.size <= headBuffer {
					require.NoError(t, r.err)
					require.Equal(t, fasthttp.StatusOK, r.status, "it was whole in time")
				}
			})
		})
	}
}
