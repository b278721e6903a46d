package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// newBoardOfPlaces returns a board with one engine in each of the data centres place1 to place3, of which the first
// two are in the region r1 and the last one in none that is known.
func newBoardOfPlaces() (*placement.Board, []route.Target) {
	b, _ := newBoardWithTargets("model")
	targets := []route.Target{
		{ID: "a", Service: "model", Slots: 8, Place: "place1"}, {ID: "b", Service: "model", Slots: 8, Place: "place2"}, {ID: "c", Service: "model", Slots: 8, Place: "place3"},
	}
	b.SetRegions(map[string]string{"place1": "r1", "place2": "r1"})
	b.SetTargets(targets)
	return b, targets
}

// TestEvacuatedPlaceGetsNoNewRequests guards against requests that go to an evacuated data centre: new ones, those
// that wait in the queue, and those that a later list of targets or a restart of a target would let through.
func TestEvacuatedPlaceGetsNoNewRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name      string
		evacuated []string
		want      []string
	}{
		{"none", nil, []string{"a", "b", "c"}},
		{"one", []string{"place1"}, []string{"b", "c"}},
		{"two", []string{"place1", "place2"}, []string{"c"}},
		{"unknown", []string{"place9"}, []string{"a", "b", "c"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, targets := newBoardOfPlaces()
			b.SetEvacuated(now, c.evacuated)
			for i := range targets {
				targets[i].StartedAt = time.Unix(900, 0)
			}
			b.SetTargets(targets)
			sent := fill(b, now, "model")
			require.Len(t, sent, len(c.want))
			for _, id := range c.want {
				require.Positive(t, sent[id], id)
			}
			b.SetEvacuated(now, nil)
			if len(c.want) < len(targets) {
				require.NotEmpty(t, fill(b, now, "model"), "the data centre is used again")
			}
		})
	}
}

// TestQueueIsRefusedOnceAllPlacesAreEvacuated guards against requests that wait for targets which may not get them.
func TestQueueIsRefusedOnceAllPlacesAreEvacuated(t *testing.T) {
	now := time.Unix(1000, 0)
	b, _ := newBoardOfPlaces()
	fill(b, now, "model")
	require.True(t, b.Wait(now, 1, smallRequest("model")))
	b.SetEvacuated(now, []string{"place1", "place2", "place3"})
	require.Empty(t, b.ServeQueue(now, "model"))
	grants := b.ExpireQueued(now)
	require.Len(t, grants, 1)
	require.Equal(t, placement.ReasonNoTarget, grants[0].Choice.Reason)
	require.Positive(t, grants[0].Choice.RetryAfter)
}

// TestPreferredEngineMovesOutOfEvacuatedPlace guards against prompts that keep waiting for an engine which gets none.
func TestPreferredEngineMovesOutOfEvacuatedPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	b, targets := newBoardOfPlaces()
	request := smallRequest("model")
	request.Chain = placement.NewPrefixChain([]placement.Part{{ID: 7, Tokens: 900}, {ID: 8, Tokens: 100}}, 1000)
	home := b.PreferredEngine(request).Target
	for _, target := range targets {
		if target.ID == home {
			b.SetEvacuated(now, []string{target.Place})
		}
	}
	require.NotEmpty(t, b.PreferredEngine(request).Target)
	require.NotEqual(t, home, b.PreferredEngine(request).Target)
	b.SetEvacuated(now, nil)
	require.Equal(t, home, b.PreferredEngine(request).Target)
}

// TestRequestStaysInAllowedRegions guards against requests that leave the regions to which their route and team are
// bound.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	one := 1
	table := route.NewTable(route.Table{
		Routes: []route.Route{{Name: "free"}, {Name: "bound", Regions: []string{"r1", "r2"}}},
		Teams:  []route.Team{{Name: "free", Priority: &one}, {Name: "r2", Regions: []string{"r2"}}, {Name: "r3", Regions: []string{"r3"}}},
	})
	free, bound := &table.Routes[0], &table.Routes[1]
	require.Empty(t, table.AllowedRegions(free, "free"))
	require.Equal(t, []string{"r1", "r2"}, table.AllowedRegions(bound, "free"))
	require.Equal(t, []string{"r2"}, table.AllowedRegions(bound, "r2"), "both bind")
	for _, c := range []struct {
		regions []string
		want    []string
	}{
		{nil, []string{"a", "b", "c"}},
		{[]string{"r1"}, []string{"a", "b"}},
		{table.AllowedRegions(bound, "r3"), nil},
	} {
		b, _ := newBoardOfPlaces()
		var used []string
		for range 100 {
			request := smallRequest("model")
			request.Regions = c.regions
			choice := b.Choose(now, request)
			if choice.Target == "" {
				break
			}
			b.RecordSent(now, request, &choice)
			used = append(used, choice.Target)
		}
		require.Subset(t, c.want, used, "regions %v", c.regions)
		require.Subset(t, used, c.want, "regions %v", c.regions)
	}
}

// TestQueuedRequestIsRefusedOnceItsRegionIsEvacuated guards against a request that waits to its end for a region whose
// targets get no new requests, since other regions still have some.
func TestQueuedRequestIsRefusedOnceItsRegionIsEvacuated(t *testing.T) {
	now := time.Unix(1000, 0)
	b, _ := newBoardOfPlaces()
	fill(b, now, "model")
	bound, free := smallRequest("model"), smallRequest("model")
	bound.Regions = []string{"r1"}
	require.True(t, b.Wait(now, 1, bound))
	require.True(t, b.Wait(now, 2, free))
	b.SetEvacuated(now, []string{"place1", "place2"})
	grants := b.ExpireQueued(now)
	require.Len(t, grants, 1)
	require.Equal(t, uint64(1), grants[0].ID)
	require.Equal(t, placement.ReasonNoTarget, grants[0].Choice.Reason)
}

// TestRequestsOfFullRegionDoNotBlockQueue guards against requests that wait for a full region and, being first in the
// queue, keep those behind them from free slots elsewhere.
func TestRequestsOfFullRegionDoNotBlockQueue(t *testing.T) {
	const bound = 20
	now := time.Unix(1000, 0)
	b, _ := newBoardOfPlaces()
	fill(b, now, "model")
	for id := range uint64(bound) {
		request := smallRequest("model")
		request.Regions = []string{"r1"}
		require.True(t, b.Wait(now, id, request))
	}
	require.True(t, b.Wait(now.Add(time.Millisecond), bound, smallRequest("model")))
	b.RecordEnd(now, smallRequest("model"), "c", placement.Load{Running: 1}, placement.Done, time.Second)
	grants := b.ServeQueue(now.Add(time.Millisecond), "model")
	require.Len(t, grants, 1)
	require.Equal(t, uint64(bound), grants[0].ID)
	require.Equal(t, "c", grants[0].Choice.Target)
}
