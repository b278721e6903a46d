package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// minFairFraction is the least fraction of the service of the best-served team that a team must get
// if some of its requests are refused.
const minFairFraction = 0.8

// TestFloodsOfUnequalSizeGetEqualShares checks that floods of unequal size, on one host or on
// all, get equal shares while engines die.
func TestFloodsOfUnequalSizeGetEqualShares(t *testing.T) {
	for _, c := range []struct {
		hosts, engines, slots int
		dead                  float64 // fraction of the engines that die halfway
	}{
		{hosts: 64, engines: 20, slots: 24},
		{hosts: 64, engines: 30, slots: 24, dead: 0.35},
		{hosts: 81, engines: 80, slots: 12, dead: 0.2},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			s := newSimulationWithSlots(c.hosts, c.engines, float64(c.engines)*25_000, c.slots).withOwners()
			s.stateOffset = 1
			base := workload{hosts: firstHosts(c.hosts), prompt: 500, prefixes: 400, sharedTokens: 2000, latencyGoal: tightGoal}
			var workloads []workload
			for n, perSlot := range []float64{0.3, 0.6, 1.2, 2.4} {
				perSecond := perSlot * float64(c.engines*c.slots)
				spread, crowd := base, base
				spread.team, spread.perSecond = fmt.Sprintf("spread%d", n), perSecond
				crowd.team, crowd.perSecond, crowd.hosts = fmt.Sprintf("crowd%d", n), perSecond, []int{n}
				workloads = append(workloads, spread, crowd)
			}
			s.run(workloads, 2*time.Second)
			s.killEngines(int(c.dead * float64(c.engines)))
			s.results = map[string]*teamResult{}
			s.run(workloads, 6*time.Second)
			least, most := math.Inf(1), 0.0
			for team, r := range s.results {
				t.Logf("%s: asked %d, served %d", team, r.asked, r.served)
				least, most = min(least, float64(r.served)), max(most, float64(r.served))
			}
			t.Logf("%d refused on arrival, %d owners asked, worst fraction %.2f", s.refusedOnArrival, s.ownersAsked, least/most)
			require.Greater(t, least, minFairFraction*most)
		})
	}
}

// killEngines stops the first engines. Their queued and running requests fail, and so do requests
// sent to them later.
func (s *simulation) killEngines(count int) {
	for _, id := range s.engineIDs()[:count] {
		e := s.engines[id]
		delete(s.engines, id)
		for _, req := range append(e.queue, e.running...) {
			s.recordEnd(req, id, placement.Unreachable)
		}
	}
}

// TestLoneTeamKeepsItsShareWhenAnotherFloods guards against charging a team for service that it got
// while no other team wanted any. A team uses all engines alone until another one floods, and must
// then get a fair share.
func TestLoneTeamKeepsItsShareWhenAnotherFloods(t *testing.T) {
	const hosts, engines, slots = 64, 20, 24
	s := newSimulationWithSlots(hosts, engines, engines*25_000, slots).withOwners()
	s.stateOffset = 1
	lone := workload{team: "lone", hosts: firstHosts(hosts), perSecond: 600, prompt: 500, prefixes: 400, sharedTokens: 2000, latencyGoal: tightGoal}
	flood := lone
	flood.team, flood.perSecond, flood.hosts = "flood", 2400, []int{0}
	s.run([]workload{lone}, 4*time.Second)
	s.results = map[string]*teamResult{}
	s.run([]workload{lone, flood}, 6*time.Second)
	got, best := s.results["lone"].served, s.results["flood"].served
	t.Logf("lone %d, flood %d", got, best)
	require.Greater(t, float64(min(got, best)), minFairFraction*float64(max(got, best)))
}
