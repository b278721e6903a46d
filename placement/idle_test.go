package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOwnersLeaveNoSlotsIdle sends more requests than there are slots through hundreds of hosts,
// which know late what others send. Slots must not be idle while requests are refused.
func TestOwnersLeaveNoSlotsIdle(t *testing.T) {
	const hosts, engines, slots = 300, 60, 12
	s := newSimulationWithSlots(hosts, engines, 2_000_000, slots).withOwners()
	s.stateOffset = 1
	flood := workload{team: "one", hosts: firstHosts(hosts), perSecond: 1.3 * engines * slots, prompt: 500, prefixes: 2000, sharedTokens: 300, latencyGoal: tightGoal}
	s.run([]workload{flood}, 2*time.Second)
	taken, steps := 0, 0
	for range 40 {
		s.run([]workload{flood}, 50*time.Millisecond)
		for _, e := range s.engines {
			taken += len(e.runs) + len(e.queue)
		}
		steps++
	}
	require.Greater(t, float64(taken), 0.95*float64(steps*engines*slots))
}
