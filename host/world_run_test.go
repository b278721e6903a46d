package host_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/catalog"
)

const (
	slotsPerTarget  = 4 // requests that a target runs at a time
	targetsPerPlace = 2
)

// newTestSet returns a sealed configuration with the given numbers of places and teams. Its only
// service is a model with targetsPerPlace targets in each place.
func newTestSet(t *testing.T, places, teams int) *catalog.Set {
	t.Helper()
	set := catalog.NewSet()
	set.Services["model"] = catalog.Service{Kind: catalog.KindModel}
	for p := range places {
		place := fmt.Sprintf("p%d", p+1)
		set.Places[place] = catalog.Place{}
		for n := range targetsPerPlace {
			name := fmt.Sprintf("%s-t%d", place, n+1)
			address := netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(1000+10*p+n))
			set.Targets[name] = catalog.Target{Service: "model", Place: place, Address: address, Slots: slotsPerTarget}
		}
	}
	for n := range teams {
		set.Teams[fmt.Sprintf("team%d", n+1)] = catalog.Team{}
	}
	require.NoError(t, set.CheckError())
	set.Seal(1)
	return set
}

// newSettledSimulation returns a simulation with two hosts in each place, five seconds after their
// start, when all of them are connected.
func newSettledSimulation(t *testing.T, seed uint64, places, teams int) *simulation {
	t.Helper()
	sim := newSimulation(seed, newTestSet(t, places, teams))
	for n := range 2 * places {
		sim.start(fmt.Sprintf("p%d", n%places+1), uint16(1+n))
	}
	sim.run(5 * time.Second)
	return sim
}

// TestRequestsCompleteDespiteHostFailures guards against requests that are lost or completed twice when
// hosts fail. It replaces, disconnects and pauses hosts at random while requests are submitted; each
// request at a host that is still alive at the end must have been completed once or refused.
func TestRequestsCompleteDespiteHostFailures(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSettledSimulation(t, seed, 3, 5)
			service := sim.set.Services["model"].Number
			port := uint16(100)
			for range 40 {
				sim.run(time.Duration(sim.rng.IntN(300)) * time.Millisecond)
				for range sim.rng.IntN(20) {
					n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
					team := sim.set.Teams[fmt.Sprintf("team%d", 1+sim.rng.IntN(5))].Number
					if n.running && !n.paused {
						sim.submit(n, team, service, uint8(sim.rng.IntN(3)), uint64(1+sim.rng.IntN(60)))
					}
				}
				switch n := sim.nodes[sim.rng.IntN(len(sim.nodes))]; sim.rng.IntN(6) {
				case 0:
					if n.running {
						sim.kill(n)
						port++
						sim.start(n.place, port)
					}
				case 1:
					other := sim.nodes[sim.rng.IntN(len(sim.nodes))]
					if other != n && n.running && other.running {
						sim.setPartitioned(n, other, true)
						sim.after(time.Duration(sim.rng.IntN(4000))*time.Millisecond, func() { sim.setPartitioned(n, other, false) })
					}
				case 2:
					n.paused = true
					sim.after(time.Duration(sim.rng.IntN(3000))*time.Millisecond, func() { n.paused = false })
				}
			}
			sim.run(60 * time.Second)
			require.Empty(t, sim.openRequests())
			require.Empty(t, sim.failures)
		})
	}
}
