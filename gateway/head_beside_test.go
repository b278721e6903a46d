package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/settings"
)

const (
	maxStall        = 4 * time.Second        // longest stall of the first target if the gateway sends the request to no other
	stallAfterHedge = 200 * time.Millisecond // stall of the first target after the request was also sent to another one
)

// The gateway must not mix or truncate the answers of two targets. The first target stalls before its
// answer, so the gateway also sends the request to a second one, whose answer stops within the head.
// The caller gets one complete answer or a failure.
func TestTruncatedHeadOfHedgeTargetIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/lookup/x", "/stream/x"} {
		for _, end := range []string{"closed", "reset", "goes on", "is silent"} {
			t.Run(path[1:len(path)-2]+" "+end, func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				sends, hedges := map[string]int{}, 0
				sent := func(id string) int {
					mu.Lock()
					defer mu.Unlock()
					return sends[id]
				}
				script := func(a *arrival) bool {
					id := a.header("X-Attempt-Id")
					mu.Lock()
					sends[id]++
					first := sends[id] == 1
					if !first {
						hedges++
					}
					mu.Unlock()
					head, body := a.sizedHead(0)
					if first {
						for start := time.Now(); sent(id) == 1 && time.Since(start) < maxStall; {
							if closedWithin(a.conn, slowWriteInterval) {
								return false
							}
						}
						closedWithin(a.conn, stallAfterHedge)
						a.write(head + body)
						return false
					}
					var cut int
					_, _ = fmt.Sscanf(id, "r%d", &cut)
					cut = min(cut, len(head)-1)
					if end == "is silent" {
						a.write(head[:cut])
						closedWithin(a.conn, waitTimeout)
						return false
					}
					return truncatedHead{path, 0, cut, end}.write(a)
				}
				var targets []*scriptedTarget
				for n := range headTargets {
					targets = append(targets, newScriptedTarget(t, fmt.Sprintf("p%d", n), "plain", script), newScriptedTarget(t, fmt.Sprintf("m%d", n), "model", script))
				}
				w := newTestEnvWith(t, func(s *gateway.Settings) {
					keepKeysValid(s)
					s.FixedRetries = settings.OptionalNumber(1000)
				}, targets...)
				var wg sync.WaitGroup
				for cut := 0; cut < 160; cut += 9 {
					wg.Go(func() {
						id := fmt.Sprintf("r%d", cut)
						r := w.do(call{path: path, key: "key1", id: id, deadline: 3 * time.Second})
						if r.err == nil && r.status == fasthttp.StatusOK {
							require.Equal(t, wantBody(path, id), r.body)
							return
						}
						require.True(t, r.err != nil || r.status >= fasthttp.StatusInternalServerError && r.status != fasthttp.StatusServiceUnavailable, "%d %s", r.status, r.body)
					})
				}
				wg.Wait()
				mu.Lock()
				defer mu.Unlock()
				require.Positive(t, hedges, "no other target was asked; log: %s", w.logs)
			})
		}
	}
}
