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
	maxHeadBytes = 8 << 10               // largest head of an answer that the gateway accepts
	headPause    = 30 * time.Millisecond // pause before a target writes the rest of its head, and between attempts to reach a target
	headTargets  = 12                    // targets per service; one that failed gets no requests for a while
	headCallers  = 6                     // concurrent callers
)

// headPaths holds one path of each route.
var headPaths = []string{"/order/x", "/lookup/x", "/stream/x", "/once/x"}

// streams returns whether the answer to the request is an event stream.
func (a *arrival) streams() bool {
	path := string(a.request.URI().Path())
	return strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/once/")
}

// sizedHead returns a complete answer as head and body. A filler header makes the head size bytes long,
// unless the other headers already exceed that.
func (a *arrival) sizedHead(size int) (head, body string) {
	head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + a.header("X-Attempt-Id") + "\r\n" + sealHeader
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

// wantBody returns the body that the caller must get for the request with a path and an ID.
func wantBody(path, id string) string {
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/once/") {
		return wantEvents(3)
	}
	return "done " + id
}

// truncatedHead describes the answer to a request with a path; the answer stops within its head.
type truncatedHead struct {
	path      string
	size, cut int    // size of the head, and how many bytes of it are written before it stops
	end       string // what then happens: closed or reset (the connection), or goes on (the answer, after headPause)
}

// write writes the answer. It returns whether the connection stays open.
func (h truncatedHead) write(a *arrival) bool {
	head, body := a.sizedHead(h.size)
	a.write(head[:min(h.cut, len(head)-1)])
	switch h.end {
	case "closed":
		return false
	case "reset":
		a.allAcknowledged()
		a.reset()
		return false
	}
	a.allAcknowledged()
	time.Sleep(headPause)
	a.write(head[min(h.cut, len(head)-1):] + body)
	return true
}

// headScript runs targets that truncate the head of their answer when a request is sent for the first
// time, and answer completely when the gateway repeats the request.
type headScript struct {
	mu    sync.Mutex
	cases map[string]truncatedHead // by request ID
	sends map[string]int           // how often a request reached a target, by request ID
}

// script answers a request at any of the targets.
func (h *headScript) script(a *arrival) bool {
	id := a.header("X-Attempt-Id")
	h.mu.Lock()
	h.sends[id]++
	c, first := h.cases[id], h.sends[id] == 1
	h.mu.Unlock()
	if first {
		return c.write(a)
	}
	head, body := a.sizedHead(0)
	a.write(head + body)
	return true
}

// add registers a case and returns the ID of its request.
func (h *headScript) add(c truncatedHead) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := fmt.Sprintf("r%d", len(h.cases)+1)
	h.cases[id] = c
	return id
}

// sent returns how often the request with an ID reached any of the targets.
func (h *headScript) sent(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sends[id]
}

// newTruncatedHeadEnv starts a gateway with headTargets targets per service, all run by one headScript.
func newTruncatedHeadEnv(t *testing.T) (*testEnv, *headScript) {
	t.Helper()
	h := &headScript{cases: map[string]truncatedHead{}, sends: map[string]int{}}
	var targets []*scriptedTarget
	for n := range headTargets {
		targets = append(targets,
			newScriptedTarget(t, fmt.Sprintf("p%d", n), "plain", h.script), newScriptedTarget(t, fmt.Sprintf("m%d", n), "model", h.script))
	}
	return newTestEnvWith(t, keepKeysValid, targets...), h
}

// runCase sends requests for a case, each with a new ID, until one reaches a target. It returns what the
// caller got and the ID, or an empty ID if none reached a target within waitTimeout.
func (h *headScript) runCase(w *testEnv, c truncatedHead, send func(c call) result) (result, string) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(headPause) {
		id := h.add(c)
		if r := send(call{path: c.path, key: "key1", id: id}); h.sent(id) > 0 {
			return r, id
		}
	}
	return result{}, ""
}

// requireValid checks that a caller got a complete answer or a failure, and that a request that may
// not be repeated was sent once.
func (h *headScript) requireValid(t *testing.T, c truncatedHead, r result, id string) {
	t.Helper()
	require.NotEmpty(t, id, "the request reached no target")
	notRepeatable := c.path == "/order/x" || c.path == "/once/x"
	if notRepeatable {
		require.Equal(t, 1, h.sent(id))
	}
	switch {
	case r.err != nil:
	case r.status == fasthttp.StatusOK:
		require.Equal(t, wantBody(c.path, id), r.body)
		require.True(t, !notRepeatable || c.end == "goes on", "an answer with a truncated head was passed on")
	default:
		require.GreaterOrEqual(t, r.status, fasthttp.StatusInternalServerError)
		require.NotEqual(t, fasthttp.StatusServiceUnavailable, r.status, "a request that reached a target was refused")
		require.Empty(t, r.header.Peek("X-Replica-Seal"))
	}
}

// runCases runs the cases from headCallers concurrent callers and calls check with each result. It stops
// at the first failure.
func (h *headScript) runCases(t *testing.T, w *testEnv, cases []truncatedHead, check func(c truncatedHead, r result, id string)) {
	t.Helper()
	var next atomic.Int64
	var wg sync.WaitGroup
	for range headCallers {
		wg.Go(func() {
			for n := next.Add(1); int(n) <= len(cases) && !t.Failed(); n = next.Add(1) {
				c := cases[n-1]
				r, id := h.runCase(w, c, w.do)
				check(c, r, id)
			}
		})
	}
	wg.Wait()
}

// A target stops within the head of its answer, after about as many bytes as the gateway accepts, or
// before or beyond that. The caller must not get a truncated answer as if it were complete, and a
// request that must not be repeated is sent only once.
func TestTruncatedLargeHeadIsNotPassedOn(t *testing.T) {
	for _, path := range headPaths {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			t.Parallel()
			w, h := newTruncatedHeadEnv(t)
			var cases []truncatedHead
			for _, size := range []int{maxHeadBytes - 1, maxHeadBytes, maxHeadBytes + 1, 3 * maxHeadBytes} {
				for _, cut := range []int{20, size / 2, maxHeadBytes - 1, maxHeadBytes, maxHeadBytes + 1, size - 4, size - 1} {
					for _, end := range []string{"closed", "reset", "goes on"} {
						cases = append(cases, truncatedHead{path, size, cut, end})
					}
				}
			}
			h.runCases(t, w, cases, func(c truncatedHead, r result, id string) {
				h.requireValid(t, c, r, id)
				if c.end == "goes on" && c.size <= maxHeadBytes {
					require.NoError(t, r.err)
					require.Equal(t, fasthttp.StatusOK, r.status, "a complete answer was not passed on")
				}
			})
		})
	}
}
