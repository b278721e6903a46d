package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// A team whose callers leave is charged for what its engines read.
func TestWorkOfCallersThatLeftIsReceived(t *testing.T) {
	w := newSimulation(1, 4, 1000)
	b := w.boards[0]
	a := placement.Ask{Service: "model", Team: "hasty", Aim: tightAim, Chain: placement.NewChain(nil, 10_000)}
	b.Asked(w.now, &a)
	choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
	b.Sent(w.now, &a, &choice)
	b.Ended(w.now, &a, "engine0", choice.Load, placement.Withdrawn, time.Second)
	b.Asked(w.now, &a)
	b.Asked(w.now, &a)
	w.now = w.now.Add(100 * time.Millisecond)
	require.NotEqual(t, placement.Entitled, b.Standing(w.now, "model", "hasty"))
}

// FAIR for a team whose requests don't reach their engines: what no engine began does
// not count as received.
func TestWorkThatNeverBeganIsNotReceived(t *testing.T) {
	for _, outcome := range []placement.Outcome{placement.Unreached, placement.Rejected, placement.Returned, placement.Silent} {
		w := newSimulation(1, 4, 100_000)
		b := w.boards[0]
		for n := range 60 {
			team := "other"
			if n%2 == 0 {
				team = "unlucky"
			}
			a := placement.Ask{
				Service: "model", Team: team, Aim: tightAim, Output: 100,
				Chain: placement.NewChain([]placement.Part{{ID: uint64(n), Tokens: 10_000}}, 10_000),
			}
			b.Asked(w.now, &a)
			choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
			b.Sent(w.now, &a, &choice)
			if team == "unlucky" {
				b.Ended(w.now, &a, "engine0", choice.Load, outcome, time.Second)
			}
		}
		w.now = w.now.Add(100 * time.Millisecond)
		require.Equal(t, placement.Entitled, b.Standing(w.now, "model", "unlucky"), outcome)
		require.NotEqual(t, placement.Entitled, b.Standing(w.now, "model", "other"), outcome)
	}
}

// FAIR for a team whose callers all sit on one host of a large fleet, while the slots of the
// engines are short and news are old: free slots are not only for hosts that have many.
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
			w := newSimulationWithSlots(c.hosts, engines, 500_000, c.slots)
			w.news, w.newsOffset = 260*time.Millisecond, 1
			one := workload{team: "spread", hosts: firstHosts(c.hosts), perSecond: c.spread, prompt: 500, prefixes: c.parts, sharedTokens: 2000, aim: tightAim}
			crowd := one
			crowd.team, crowd.hosts, crowd.perSecond = "crowd", []int{0}, c.crowd
			w.run([]workload{one, crowd}, 2*time.Second)
			w.results = map[string]*teamResult{}
			w.run([]workload{one, crowd}, 4*time.Second)
			got, best := w.results["crowd"], w.results["spread"]
			require.Greater(t, float64(got.served), 0.5*float64(min(got.asked, best.served)))
		})
	}
}

// firstHosts returns the numbers of so many hosts.
func firstHosts(count int) []int {
	hosts := make([]int, count)
	for n := range hosts {
		hosts[n] = n
	}
	return hosts
}

// FAIR for a team whose callers all sit on one host: many requests wait there for many
// engines, and those behind the first few are served as well.
func TestCrowdOnOneHostIsServedAtAllItsEngines(t *testing.T) {
	const hosts, engines = 20, 40
	w := newSimulation(hosts, engines, 2_000_000)
	w.news, w.newsOffset = 260*time.Millisecond, 1
	spread := workload{team: "spread", hosts: firstHosts(hosts), perSecond: 8000, prompt: 1000, prefixes: 2000, sharedTokens: 5000, aim: tightAim}
	crowd := spread
	crowd.team, crowd.hosts, crowd.perSecond = "crowd", []int{0}, 1500
	w.run([]workload{spread, crowd}, 4*time.Second)
	require.Greater(t, float64(w.results["crowd"].served), 0.7*float64(w.results["spread"].served))
}

// FAIR where all teams hold more than what is promised: a team that received far less than
// an even part, and asks for more, counts as entitled.
func TestStarvedTeamCountsAsEntitled(t *testing.T) {
	w := newSimulation(1, 4, 1000)
	b := w.boards[0]
	demand := func(team string, received, asked float64) placement.ServiceDemand {
		return placement.ServiceDemand{Service: "model", Demand: placement.Demand{Team: team, Received: received, Asked: asked}}
	}
	b.Learn(w.now, 7, placement.News{Demands: []placement.ServiceDemand{
		demand("large", 900_000, 2_000_000), demand("starved", 100_000, 2_000_000), demand("content", 100_000, 100_000),
	}})
	require.Equal(t, placement.Entitled, b.Standing(w.now, "model", "starved"))
	require.Equal(t, placement.Above, b.Standing(w.now, "model", "content"))
	require.Equal(t, placement.Beyond, b.Standing(w.now, "model", "large"))
}

// A team whose requests still run is not forgotten, however long ago it asked: what it holds
// counts against its part of the slots.
func TestTeamWithRunningRequestsIsKept(t *testing.T) {
	w := newSimulation(1, 4, 1000)
	b := w.boards[0]
	a := placement.Ask{Service: "model", Team: "slow", Aim: tightAim, Chain: placement.NewChain(nil, 100)}
	b.Asked(w.now, &a)
	choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 100, Running: 1}}
	b.Sent(w.now, &a, &choice)
	left := b.First(w.now, &a, choice, time.Second)
	later := w.now.Add(time.Minute)
	b.News(later)
	held := b.TopShares(later)
	require.Len(t, held, 1)
	require.Equal(t, 1, held[0].Running)
	b.Ended(later, &a, "engine0", left, placement.Done, time.Minute)
	b.News(later)
	require.Empty(t, b.TopShares(later))
}
