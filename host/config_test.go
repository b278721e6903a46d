package host_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/wire"
)

// TestRevisionNeverFalls guards against a host that goes back to an older configuration. It offers
// a host configurations late and out of order, from the platform and from a peer, as snapshots and as
// steps from one revision to the next: the revision in use must never decrease.
func TestRevisionNeverFalls(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	peer := netip.MustParseAddrPort("10.0.0.2:1")
	h := host.New(host.NewConfig(netip.MustParseAddrPort("10.0.0.1:1"), 1, "p1"))
	revisions := []*catalog.Set{newTestSet(t, 1, 1)}
	for range 5 {
		next := revisions[len(revisions)-1].Clone()
		require.NoError(t, next.Put(catalog.Teams, "team1", []byte(`{"weight": 2}`)))
		next.Seal(revisions[len(revisions)-1].Revision + 1)
		revisions = append(revisions, next)
	}
	last := uint64(0)
	check := func(want uint64) {
		t.Helper()
		revision := h.View().Set.Revision
		require.GreaterOrEqual(t, revision, last)
		require.Equal(t, want, revision)
		last = revision
	}
	require.True(t, h.Apply(now, revisions[2]))
	check(3)
	require.False(t, h.Apply(now, revisions[0]))
	check(3)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSnapshot{Revision: 2, Body: revisions[1].Encode()}})
	check(3)
	step, err := json.Marshal(catalog.Diff(revisions[1], revisions[2]))
	require.NoError(t, err)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSteps{From: 2, Bodies: [][]byte{step}}})
	check(3)
	step, err = json.Marshal(catalog.Diff(revisions[2], revisions[3]))
	require.NoError(t, err)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSteps{From: 3, Bodies: [][]byte{step}}})
	check(4)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSnapshot{Revision: 6, Body: revisions[4].Encode()}})
	check(4)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSnapshot{Revision: 6, Body: revisions[5].Encode()}})
	check(6)
}

// TestLinksOfReplacedHostsArePruned guards against a leak: hosts that are replaced again and again come
// back under new addresses, and each remaining host must drop its links to the old ones. It may keep
// the links to its seeds.
func TestLinksOfReplacedHostsArePruned(t *testing.T) {
	sim := newSettledSimulation(t, 1, 2, 1)
	port := uint16(1000)
	for range 50 {
		old := sim.nodes[len(sim.nodes)-1]
		port++
		sim.start(old.place, port)
		sim.run(5 * time.Second)
		sim.kill(old)
		sim.run(5 * time.Second)
	}
	sim.run(5 * time.Minute)
	live := 0
	for _, n := range sim.nodes {
		if n.running {
			live++
		}
	}
	for _, n := range sim.nodes {
		if n.running {
			require.LessOrEqual(t, n.LinkCount(), live+len(n.seeds))
		}
	}
}
