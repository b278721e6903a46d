package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// TestTeamOnOneHostGetsItsShareOfOwnedSlots checks that a team whose callers all use one host of a
// large fleet gets its share of the slots of engines that have owners: hosts that decide who uses
// an engine.
func TestTeamOnOneHostGetsItsShareOfOwnedSlots(t *testing.T) {
	for _, c := range []struct {
		hosts, engines, slots int
		spread, crowd         float64 // requests a second
		parts                 int
	}{
		{hosts: 64, engines: 20, slots: 24, spread: 1500, crowd: 300, parts: 400},
		{hosts: 64, engines: 20, slots: 12, spread: 1500, crowd: 150, parts: 400},
		{hosts: 64, engines: 20, slots: 24, spread: 3000, crowd: 200, parts: 40},
		{hosts: 300, engines: 20, slots: 12, spread: 1500, crowd: 150, parts: 400},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			s := newSimulationWithSlots(c.hosts, c.engines, 500_000, c.slots).withOwners()
			s.stateOffset = 1
			base := workload{team: "spread", hosts: firstHosts(c.hosts), perSecond: c.spread, prompt: 500, prefixes: c.parts, sharedTokens: 2000, latencyGoal: tightGoal}
			crowd := base
			crowd.team, crowd.hosts, crowd.perSecond = "crowd", []int{0}, c.crowd
			s.run([]workload{base, crowd}, 2*time.Second)
			s.results = map[string]*teamResult{}
			s.run([]workload{base, crowd}, 2*time.Second)
			got, best := s.results["crowd"], s.results["spread"]
			require.Greater(t, float64(got.served), 0.5*float64(min(got.asked, best.served)))
		})
	}
}

// TestOwnersKnowLoadsAndCachedPrefixes checks that engines rarely get more requests than they
// have slots, and that cached prefixes are rarely prefilled again, however many hosts there are.
func TestOwnersKnowLoadsAndCachedPrefixes(t *testing.T) {
	for hosts, length := range map[int]time.Duration{6: 8 * time.Second, 64: 8 * time.Second, 300: 4 * time.Second} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			s := newSimulationWithSlots(hosts, 40, 500_000, 24).withOwners()
			s.stateOffset = 1
			s.run([]workload{{team: "one", hosts: firstHosts(hosts), perSecond: 400, prompt: 2000, prefixes: 200, sharedTokens: 8000, latencyGoal: tightGoal}}, length)
			r := s.results["one"]
			require.Less(t, float64(s.sentWithoutSlot), float64(r.served)/200)
			cached := r.tokens - r.prefilledAgain
			require.Greater(t, float64(cached), 3*float64(r.prefilledAgain))
		})
	}
}

// TestHostsAgreeOnOwners checks that all hosts agree on the owner of each engine, which is, if
// possible, a host in the data centre of the engine. When a host leaves, only the engines that it
// owned get another owner.
func TestHostsAgreeOnOwners(t *testing.T) {
	table := route.NewTable(route.Table{
		Version: 1, Routes: []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 1, TokenCapacity: 1000}}},
	})
	var targets []route.Target
	for n := range 60 {
		targets = append(targets, route.Target{ID: fmt.Sprintf("engine%d", n), Service: "model", Slots: 1, Place: fmt.Sprintf("place%d", n%2)})
	}
	hosts := []placement.Host{{ID: 1, Place: "place0"}, {ID: 2, Place: "place1"}, {ID: 3, Place: "place0"}, {ID: 4, Place: "place1"}}
	ownersSeenBy := func(self int, others ...int) map[string]uint64 {
		b := placement.NewBoard(hosts[self].Place)
		b.Configure(table)
		b.SetTargets(targets)
		var list []placement.Host
		for _, n := range others {
			list = append(list, hosts[n])
		}
		b.SetHosts(hosts[self], list)
		owners := map[string]uint64{}
		for n := range 60 {
			request := placement.Request{Service: "model", Chain: placement.NewPrefixChain([]placement.Part{{ID: uint64(n), Tokens: 10}, {}}, 20), LatencyGoal: tightGoal}
			referral, ok := b.NextOwner(time.Unix(1000, 0), &request)
			require.True(t, ok)
			owners[referral.Target] = referral.Host
		}
		return owners
	}
	all := ownersSeenBy(0, 1, 2, 3)
	require.Equal(t, all, ownersSeenBy(3, 0, 1, 2))
	for target, host := range all {
		number := 0
		_, err := fmt.Sscanf(target, "engine%d", &number)
		require.NoError(t, err)
		require.Equal(t, number%2, int(host+1)%2, "owner in the data centre of the engine")
	}
	for target, host := range ownersSeenBy(0, 1, 3) {
		if all[target] != 3 {
			require.Equal(t, all[target], host)
		}
	}
}
