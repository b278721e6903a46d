package placement_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/knownred"
)

// Parameters of the floods.
const (
	moveEvery          = 3    // half seconds between two moves of callers that change hosts
	smallTeamsFraction = 0.25 // demand of all teams that do not flood, as a fraction of the engines' capacity
	places             = 4
	halfSecond         = 500 * time.Millisecond

	statesUntilFloodKnown = 4 // state reports of each host after which the others know of its floods
)

// floodCase is the size of a fleet, the number of its teams and of those that flood it, and the
// fraction of engines that die halfway.
type floodCase struct {
	hosts, engines, slots, teams, floods int
	dead                                 float64
}

// TestShareIsTheSameWhereverCallersAre checks that floods of teams that use one host, all hosts,
// or changing hosts get equal shares, while engines die, callers retry refused requests, and
// some callers leave.
func TestShareIsTheSameWhereverCallersAre(t *testing.T) {
	for _, c := range []floodCase{
		{hosts: 64, engines: 45, slots: 24, teams: 30, floods: 6, dead: 0.34},
		{hosts: 64, engines: 64, slots: 12, teams: 60, floods: 9, dead: 0.2},
		{hosts: 81, engines: 81, slots: 12, teams: 45, floods: 9, dead: 0.34},
		{hosts: 81, engines: 60, slots: 24, teams: 60, floods: 9, dead: 0.2},
	} {
		t.Run(fmt.Sprintf("%+v", c), c.run)
	}
}

// TestShareIsTheSameInALargeFleet checks the same in a fleet of hundreds of hosts, whose state
// reports are more than a second old.
func TestShareIsTheSameInALargeFleet(t *testing.T) {
	c := floodCase{hosts: 295, engines: 206, slots: 12, teams: 60, floods: 9, dead: 0.34}
	c.run(t)
}

// run starts floods, lets engines die, and compares the service of the floods before and after. It
// ignores the second after each of the two changes.
func (c *floodCase) run(t *testing.T) {
	knownred.Skip(t)
	s, small, floods := c.simulation()
	s.runWithRetries(small, time.Second, places)
	all := slices.Concat(small, floods)
	s.runSeconds(all, 1)
	before := s.runSeconds(all, 3)
	s.killEngines(int(c.dead * float64(c.engines)))
	s.runSeconds(all, 1)
	s.removeDeadTargets()
	after := s.runSeconds(all, 3)
	t.Logf("%d refused on arrival, %d owners asked, worst fraction %.2f and %.2f", s.refusedOnArrival, s.ownersAsked, worstFraction(before), worstFraction(after))
	require.Greater(t, worstFraction(before), minFairFraction, "before engines die")
	require.Greater(t, worstFraction(after), minFairFraction, "after engines died")
}

// runWithPauses pauses a quarter of the engines, lets a twelfth leave, and compares the service of
// the floods during and after the pause, for length seconds each. It ignores the second after each
// change, and the time before hosts know of the floods.
func (c *floodCase) runWithPauses(t *testing.T, length int) {
	knownred.Skip(t)
	s, small, floods := c.simulation()
	s.runWithRetries(small, time.Second, places)
	all := slices.Concat(small, floods)
	s.runSeconds(all, 1+int(statesUntilFloodKnown*s.statePeriod/time.Second))
	s.pauseAndLeave(c.engines/4, c.engines/12, time.Duration(length+1)*time.Second)
	s.runSeconds(all, 1)
	during := s.runSeconds(all, length)
	t.Logf("worst fraction %.2f while engines pause", worstFraction(during))
	require.Greater(t, worstFraction(during), minFairFraction, "while engines pause")
	if c.hosts > largeHosts {
		return // smaller fleets cover the time after the pause
	}
	s.runSeconds(all, 1)
	after := s.runSeconds(all, length)
	t.Logf("worst fraction %.2f after the pause", worstFraction(after))
	require.Greater(t, worstFraction(after), minFairFraction, "after the pause")
}

// simulation returns a fleet and the workloads of small teams and of teams that flood. The callers
// of a spread team use all hosts, those of a crowd one host, and those of a moving team one host
// after another.
func (c *floodCase) simulation() (s *simulation, small, floods []workload) {
	const prompt, shared = 500, 2000
	capacity := 0.9 * float64(c.slots*c.engines)
	s = newSimulationWithSlots(c.hosts, c.engines, capacity*(prompt+shared+100), c.slots).withOwners()
	s.stateOffset = 1
	base := workload{hosts: firstHosts(c.hosts), prompt: prompt, prefixes: 10 * c.engines, sharedTokens: shared, latencyGoal: tightGoal}
	for n := range c.teams - c.floods {
		l := base
		l.team, l.perSecond = fmt.Sprintf("little%d", n), smallTeamsFraction*capacity/float64(c.teams-c.floods)
		if n%3 == 0 {
			l.hosts = []int{(5 * n) % c.hosts}
		}
		small = append(small, l)
	}
	even := (1 - smallTeamsFraction) * capacity / float64(c.floods)
	for n := range c.floods {
		l := base
		kind := []string{"spread", "crowd", "moving"}[n%3]
		l.team, l.perSecond = fmt.Sprintf("%s%d", kind, n/3), even*[]float64{1.5, 3, 8}[n/3%3]
		if kind != "spread" {
			l.hosts = []int{(n*11 + 3) % c.hosts}
		}
		floods = append(floods, l)
	}
	return s, small, floods
}

// runSeconds runs for a number of seconds and returns the results of each team in each second.
func (s *simulation) runSeconds(workloads []workload, count int) []map[string]*teamResult {
	var each []map[string]*teamResult
	for range count {
		s.results = map[string]*teamResult{}
		for range 2 {
			s.moveCallers(workloads)
			s.runWithRetries(workloads, halfSecond, places)
		}
		each = append(each, s.results)
	}
	return each
}

// moveCallers moves the callers that change hosts to other hosts when it is time.
func (s *simulation) moveCallers(workloads []workload) {
	if int(s.now.Sub(time.Unix(1000, 0))/halfSecond)%moveEvery != 0 {
		return
	}
	for n := range workloads {
		if strings.HasPrefix(workloads[n].team, "moving") {
			workloads[n].moveToNextHosts(len(s.boards))
		}
	}
}

// worstFraction returns the smallest fraction that a flood got of a reference. The reference is its
// demand or the service of the best team, whichever is less, second by second. Only floods with
// refused requests in every second count.
func worstFraction(seconds []map[string]*teamResult) float64 {
	total := map[string]int{}
	for _, s := range seconds {
		for team, r := range s {
			total[team] += r.served
		}
	}
	teams := slices.Sorted(maps.Keys(total))
	best := slices.MaxFunc(teams, func(a, b string) int { return cmp.Compare(total[a], total[b]) })
	least := math.Inf(1)
	for _, team := range teams {
		floor, refused := 0, true
		for _, s := range seconds {
			r := s[team]
			if r == nil || s[best] == nil {
				refused = false
				break
			}
			floor += min(r.asked, s[best].served)
			refused = refused && r.refused > 0
		}
		if refused && !strings.HasPrefix(team, "little") {
			least = min(least, float64(total[team])/float64(floor))
		}
	}
	return least
}
