package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOwnersLeaveNoSlotsIdle guards against slots that stay idle while requests are refused.
// Hundreds of hosts, each of which learns late what the others send, send more requests than there
// are slots.
func TestOwnersLeaveNoSlotsIdle(t *testing.T) {
	const hosts, engines, slots = 300, 60, 12
	s := newSimulationWithSlots(hosts, engines, 2_000_000, slots).withOwners()
	s.stateOffset = 1
	flood := workload{team: "one", hosts: firstHosts(hosts), perSecond: 1.3 * engines * slots, prompt: 500, prefixes: 2000, sharedTokens: 300, latencyGoal: tightGoal}
	s.run([]workload{flood}, 2*time.Second)
	usedSlots, steps := 0, 0
	for range 40 {
		s.run([]workload{flood}, 50*time.Millisecond)
		for _, e := range s.engines {
			usedSlots += len(e.running) + len(e.queue)
		}
		steps++
	}
	require.Greater(t, float64(usedSlots), 0.95*float64(steps*engines*slots))
}
