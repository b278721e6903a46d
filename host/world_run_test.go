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
	slotsPerTarget  = 4
	targetsPerPlace = 2
)

// newTestSet returns a sealed configuration with one model service and the
// given numbers of places and teams.
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

// newSettledSimulation returns a simulation with two hosts in each place, five seconds
// after their start, when all know one another.
func newSettledSimulation(t *testing.T, seed uint64, places, teams int) *simulation {
	t.Helper()
	w := newSimulation(seed, newTestSet(t, places, teams))
	for n := range 2 * places {
		w.start(fmt.Sprintf("p%d", n%places+1), uint16(1+n))
	}
	w.run(5 * time.Second)
	return w
}

// TestRequestsCompleteDespiteHostFailures kills, disconnects and pauses hosts
// at random while requests are submitted, and checks that each request of a
// live host is completed once or refused.
func TestRequestsCompleteDespiteHostFailures(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSettledSimulation(t, seed, 3, 5)
			service := w.set.Services["model"].Number
			port := uint16(100)
			for range 40 {
				w.run(time.Duration(w.rng.IntN(300)) * time.Millisecond)
				for range w.rng.IntN(20) {
					n := w.nodes[w.rng.IntN(len(w.nodes))]
					team := w.set.Teams[fmt.Sprintf("team%d", 1+w.rng.IntN(5))].Number
					if n.running && !n.paused {
						w.submit(n, team, service, uint8(w.rng.IntN(3)), uint64(1+w.rng.IntN(60)))
					}
				}
				switch n := w.nodes[w.rng.IntN(len(w.nodes))]; w.rng.IntN(6) {
				case 0:
					if n.running {
						w.kill(n)
						port++
						w.start(n.place, port)
					}
				case 1:
					other := w.nodes[w.rng.IntN(len(w.nodes))]
					if other != n && n.running && other.running {
						w.setPartitioned(n, other, true)
						w.after(time.Duration(w.rng.IntN(4000))*time.Millisecond, func() { w.setPartitioned(n, other, false) })
					}
				case 2:
					n.paused = true
					w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { n.paused = false })
				}
			}
			w.run(60 * time.Second)
			require.Empty(t, w.openRequests())
			require.Empty(t, w.failures)
		})
	}
}
