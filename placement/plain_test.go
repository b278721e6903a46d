package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// TestPlainRequestsSpreadWhenPeerStatesAreOld guards against a rush to the one target that is
// reported idle. Hundreds of hosts send short requests to a few targets, and learn of each other's
// load only after the requests are over. The requests must spread over all targets.
func TestPlainRequestsSpreadWhenPeerStatesAreOld(t *testing.T) {
	const hosts, targets = 300, 5
	now := time.Unix(1000, 0)
	table := route.NewTable(route.Table{
		Version: 1, Routes: []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "plain", Weight: 1}}}},
		Services: []route.Service{{Name: "plain"}},
	})
	var list []route.Target
	for n := range targets {
		list = append(list, route.Target{ID: fmt.Sprintf("target%d", n), Service: "plain", Slots: 6, Place: fmt.Sprintf("place%d", n)})
	}
	chosen := map[string]int{}
	for host := range hosts {
		b := placement.NewBoard("place0")
		b.Configure(table)
		b.SetTargets(list)
		for peer := range hosts - 1 {
			b.ApplyPeerState(now, uint64(peer), placement.PeerState{Loads: []placement.TargetLoad{
				{Target: fmt.Sprintf("target%d", 1+peer%(targets-1)), Load: placement.Load{Running: peer % 2}},
			}})
		}
		request := placement.Request{Service: "plain", LatencyGoal: tightGoal, Seed: uint64(host)}
		chosen[b.Choose(now, &request).Target]++
	}
	for target, count := range chosen {
		require.Less(t, count, 2*hosts/targets, target)
	}
	require.Len(t, chosen, targets)
}
