package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load pattern: more requests than there are slots, on hundreds of hosts that hear of each
// other's engines late. Slots are not idle while requests are refused.
func TestOwnersLeaveNoSlotsIdle(t *testing.T) {
	const hosts, engines, slots = 300, 60, 12
	w := newSimulationWithSlots(hosts, engines, 2_000_000, slots).withOwners()
	w.newsOffset = 1
	flood := workload{team: "one", hosts: firstHosts(hosts), perSecond: 1.3 * engines * slots, prompt: 500, prefixes: 2000, sharedTokens: 300, aim: tightAim}
	w.run([]workload{flood}, 2*time.Second)
	taken, steps := 0, 0
	for range 40 {
		w.run([]workload{flood}, 50*time.Millisecond)
		for _, e := range w.engines {
			taken += len(e.runs) + len(e.queue)
		}
		steps++
	}
	require.Greater(t, float64(taken), 0.95*float64(steps*engines*slots))
}
