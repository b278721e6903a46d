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

// TestRevisionNeverFalls gives a host configurations late, out of order and in
// every way that it accepts them, and checks that its revision never falls.
func TestRevisionNeverFalls(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	peer := netip.MustParseAddrPort("10.0.0.2:1")
	h := host.New(host.NewConfig(netip.MustParseAddrPort("10.0.0.1:1"), 1, "p1"))
	sets := []*catalog.Set{newTestSet(t, 1, 1)}
	for range 5 {
		next := sets[len(sets)-1].Clone()
		require.NoError(t, next.Put(catalog.Teams, "team1", []byte(`{"weight": 2}`)))
		next.Seal(sets[len(sets)-1].Revision + 1)
		sets = append(sets, next)
	}
	last := uint64(0)
	check := func(want uint64) {
		t.Helper()
		revision := h.View().Set.Revision
		require.GreaterOrEqual(t, revision, last)
		require.Equal(t, want, revision)
		last = revision
	}
	require.True(t, h.Apply(now, sets[2]))
	check(3)
	require.False(t, h.Apply(now, sets[0]))
	check(3)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSnapshot{Revision: 2, Body: sets[1].Encode()}})
	check(3)
	step, err := json.Marshal(catalog.Diff(sets[1], sets[2]))
	require.NoError(t, err)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSteps{From: 2, Bodies: [][]byte{step}}})
	check(3)
	step, err = json.Marshal(catalog.Diff(sets[2], sets[3]))
	require.NoError(t, err)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSteps{From: 3, Bodies: [][]byte{step}}})
	check(4)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSnapshot{Revision: 6, Body: sets[4].Encode()}})
	check(4)
	h.Receive(now, peer, 1, []wire.Message{&wire.ConfigSnapshot{Revision: 6, Body: sets[5].Encode()}})
	check(6)
}

// TestLinksOfReplacedHostsArePruned replaces a host many times and checks that
// the remaining hosts drop their links with the replaced ones.
func TestLinksOfReplacedHostsArePruned(t *testing.T) {
	w := newSettledSimulation(t, 1, 2, 1)
	port := uint16(1000)
	for range 50 {
		old := w.nodes[len(w.nodes)-1]
		port++
		w.start(old.place, port)
		w.run(5 * time.Second)
		w.kill(old)
		w.run(5 * time.Second)
	}
	w.run(5 * time.Minute)
	live := 0
	for _, n := range w.nodes {
		if n.running {
			live++
		}
	}
	for _, n := range w.nodes {
		if n.running {
			require.LessOrEqual(t, n.LinkCount(), live+len(n.seeds))
		}
	}
}
