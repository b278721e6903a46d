package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// TestServiceToCallersThatLeftIsCharged guards against teams that get free service because their
// callers leave early. They are charged for the work that engines did for them.
func TestServiceToCallersThatLeftIsCharged(t *testing.T) {
	s := newSimulation(1, 4, 1000)
	b := s.boards[0]
	request := placement.Request{Service: "model", Team: "hasty", LatencyGoal: tightGoal, Chain: placement.NewPrefixChain(nil, 10_000)}
	b.RecordAdmitted(s.now, &request)
	choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
	b.RecordSent(s.now, &request, &choice)
	b.RecordEnd(s.now, &request, "engine0", choice.Load, placement.CallerLeft, time.Second)
	b.RecordAdmitted(s.now, &request)
	b.RecordAdmitted(s.now, &request)
	s.now = s.now.Add(100 * time.Millisecond)
	require.NotEqual(t, placement.Entitled, b.Standing(s.now, "model", "hasty"))
}

// TestRequestsThatNeverRanAreNotCharged checks that a team is not charged for requests that no
// engine started.
func TestRequestsThatNeverRanAreNotCharged(t *testing.T) {
	for _, outcome := range []placement.Outcome{placement.Unreachable, placement.Rejected, placement.NotSent, placement.Silent} {
		s := newSimulation(1, 4, 100_000)
		b := s.boards[0]
		for n := range 60 {
			team := "other"
			if n%2 == 0 {
				team = "unlucky"
			}
			request := placement.Request{
				Service: "model", Team: team, LatencyGoal: tightGoal, MaxOutput: 100,
				Chain: placement.NewPrefixChain([]placement.Part{{ID: uint64(n), Tokens: 10_000}}, 10_000),
			}
			b.RecordAdmitted(s.now, &request)
			choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
			b.RecordSent(s.now, &request, &choice)
			if team == "unlucky" {
				b.RecordEnd(s.now, &request, "engine0", choice.Load, outcome, time.Second)
			}
		}
		s.now = s.now.Add(100 * time.Millisecond)
		require.Equal(t, placement.Entitled, b.Standing(s.now, "model", "unlucky"), outcome)
		require.NotEqual(t, placement.Entitled, b.Standing(s.now, "model", "other"), outcome)
	}
}

// TestTeamOnOneHostGetsItsShareOfSlots guards against hosts with many streams that keep all slots,
// because they see first when one becomes free. A team whose callers all use one host of a large
// fleet must get its share, although hosts learn late what others do.
func TestTeamOnOneHostGetsItsShareOfSlots(t *testing.T) {
	for _, c := range []struct {
		hosts, slots  int
		spread, crowd float64 // requests a second
		parts         int
	}{
		{hosts: 20, slots: 24, spread: 1500, crowd: 300, parts: 400},
		{hosts: 20, slots: 24, spread: 1500, crowd: 150, parts: 400},
		{hosts: 20, slots: 12, spread: 1500, crowd: 150, parts: 400},
		{hosts: 40, slots: 24, spread: 3000, crowd: 200, parts: 400},
		{hosts: 40, slots: 24, spread: 3000, crowd: 200, parts: 40},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			const engines = 20
			s := newSimulationWithSlots(c.hosts, engines, 500_000, c.slots)
			s.statePeriod, s.stateOffset = 260*time.Millisecond, 1
			base := workload{team: "spread", hosts: firstHosts(c.hosts), perSecond: c.spread, prompt: 500, prefixes: c.parts, sharedTokens: 2000, latencyGoal: tightGoal}
			crowd := base
			crowd.team, crowd.hosts, crowd.perSecond = "crowd", []int{0}, c.crowd
			s.run([]workload{base, crowd}, 2*time.Second)
			s.results = map[string]*teamResult{}
			s.run([]workload{base, crowd}, 4*time.Second)
			got, best := s.results["crowd"], s.results["spread"]
			require.Greater(t, float64(got.served), 0.5*float64(min(got.asked, best.served)))
		})
	}
}

// firstHosts returns the indexes of the first hosts.
func firstHosts(count int) []int {
	hosts := make([]int, count)
	for n := range hosts {
		hosts[n] = n
	}
	return hosts
}

// TestTeamOnOneHostIsServedAtAllItsEngines guards against a queue of which only the first few
// requests are tried. If all callers of a team use one host, requests for many engines wait there,
// and those behind the first must get free engines too.
func TestTeamOnOneHostIsServedAtAllItsEngines(t *testing.T) {
	const hosts, engines = 20, 40
	s := newSimulation(hosts, engines, 2_000_000)
	s.statePeriod, s.stateOffset = 260*time.Millisecond, 1
	spread := workload{team: "spread", hosts: firstHosts(hosts), perSecond: 8000, prompt: 1000, prefixes: 2000, sharedTokens: 5000, latencyGoal: tightGoal}
	crowd := spread
	crowd.team, crowd.hosts, crowd.perSecond = "crowd", []int{0}, 1500
	s.run([]workload{spread, crowd}, 4*time.Second)
	require.Greater(t, float64(s.results["crowd"].served), 0.7*float64(s.results["spread"].served))
}

// TestStarvedTeamCountsAsEntitled checks that a team that received far less than an even share and
// asks for more counts as entitled, even if the teams together received more than the configured
// capacity.
func TestStarvedTeamCountsAsEntitled(t *testing.T) {
	s := newSimulation(1, 4, 1000)
	b := s.boards[0]
	demand := func(team string, received, asked float64) placement.ServiceDemand {
		return placement.ServiceDemand{Service: "model", Demand: placement.Demand{Team: team, Received: received, Asked: asked}}
	}
	b.ApplyPeerState(s.now, 7, placement.PeerState{Demands: []placement.ServiceDemand{
		demand("large", 900_000, 2_000_000), demand("starved", 100_000, 2_000_000), demand("content", 100_000, 100_000),
	}})
	require.Equal(t, placement.Entitled, b.Standing(s.now, "model", "starved"))
	require.Equal(t, placement.AboveEntitledShare, b.Standing(s.now, "model", "content"))
	require.Equal(t, placement.AboveEvenShare, b.Standing(s.now, "model", "large"))
}

// TestTeamWithRunningRequestsIsKept checks that a team with running requests is not forgotten,
// however long ago it sent its last one, since running requests count toward the limit of slots of
// the team.
func TestTeamWithRunningRequestsIsKept(t *testing.T) {
	s := newSimulation(1, 4, 1000)
	b := s.boards[0]
	request := placement.Request{Service: "model", Team: "slow", LatencyGoal: tightGoal, Chain: placement.NewPrefixChain(nil, 100)}
	b.RecordAdmitted(s.now, &request)
	choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 100, Running: 1}}
	b.RecordSent(s.now, &request, &choice)
	remaining := b.RecordFirstEvent(s.now, &request, choice, time.Second)
	later := s.now.Add(time.Minute)
	b.State(later)
	shares := b.TopShares(later)
	require.Len(t, shares, 1)
	require.Equal(t, 1, shares[0].Running)
	b.RecordEnd(later, &request, "engine0", remaining, placement.Done, time.Minute)
	b.State(later)
	require.Empty(t, b.TopShares(later))
}
