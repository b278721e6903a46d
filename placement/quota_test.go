package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// fairPart is the least part that a team with work refused gets of what the best served one gets.
const fairPart = 0.8

// FAIR among teams that all ask for more than their share, of unequal size, on one host or on all,
// while engines die.
func TestFloodsOfUnequalSizeGetEqualShares(t *testing.T) {
	for _, c := range []struct {
		hosts, engines, slots int
		dead                  float64 // part of the engines that die half way
	}{
		{hosts: 64, engines: 20, slots: 24},
		{hosts: 64, engines: 30, slots: 24, dead: 0.35},
		{hosts: 81, engines: 80, slots: 12, dead: 0.2},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			w := newSimulationWithSlots(c.hosts, c.engines, float64(c.engines)*25_000, c.slots).withOwners()
			w.newsOffset = 1
			one := workload{hosts: firstHosts(c.hosts), prompt: 500, prefixes: 400, sharedTokens: 2000, aim: tightAim}
			var loads []workload
			for n, perSlot := range []float64{0.3, 0.6, 1.2, 2.4} {
				perS := perSlot * float64(c.engines*c.slots)
				spread, crowd := one, one
				spread.team, spread.perSecond = fmt.Sprintf("spread%d", n), perS
				crowd.team, crowd.perSecond, crowd.hosts = fmt.Sprintf("crowd%d", n), perS, []int{n}
				loads = append(loads, spread, crowd)
			}
			w.run(loads, 2*time.Second)
			w.kill(int(c.dead * float64(c.engines)))
			w.results = map[string]*teamResult{}
			w.run(loads, 6*time.Second)
			least, most := math.Inf(1), 0.0
			for team, r := range w.results {
				t.Logf("%s: asked %d, served %d", team, r.asked, r.served)
				least, most = min(least, float64(r.served)), max(most, float64(r.served))
			}
			t.Logf("%d refused on arrival, %d owners asked, least part %.2f", w.quota, w.asked, least/most)
			require.Greater(t, least, fairPart*most)
		})
	}
}

// kill lets the first engines die: what they hold is lost, and what is sent there as well.
func (w *simulation) kill(count int) {
	for _, id := range w.names()[:count] {
		e := w.engines[id]
		delete(w.engines, id)
		for _, x := range append(e.queue, e.runs...) {
			w.ended(x, id, placement.Unreached)
		}
	}
}

// FAIR for a team that had all engines for itself before another flooded: what cost nobody
// anything is not held against it.
func TestLoneTeamKeepsItsShareWhenAnotherFloods(t *testing.T) {
	const hosts, engines, slots = 64, 20, 24
	w := newSimulationWithSlots(hosts, engines, engines*25_000, slots).withOwners()
	w.newsOffset = 1
	lone := workload{team: "lone", hosts: firstHosts(hosts), perSecond: 600, prompt: 500, prefixes: 400, sharedTokens: 2000, aim: tightAim}
	flood := lone
	flood.team, flood.perSecond, flood.hosts = "flood", 2400, []int{0}
	w.run([]workload{lone}, 4*time.Second)
	w.results = map[string]*teamResult{}
	w.run([]workload{lone, flood}, 6*time.Second)
	got, best := w.results["lone"].served, w.results["flood"].served
	t.Logf("lone %d, flood %d", got, best)
	require.Greater(t, float64(min(got, best)), fairPart*float64(max(got, best)))
}
