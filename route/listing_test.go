package route_test

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// targetAt returns a target with an ID, an address and one slot.
func targetAt(id, address string) route.Target {
	return route.Target{ID: id, Address: netip.MustParseAddrPort(address), Slots: 1}
}

// heartbeat is the interval at which the targets of the tests renew their entries.
const heartbeat = time.Second

// TestLapsedEntriesAreKeptAfterAnOutage guards against losing all targets after an outage of the
// store, during which they could not renew their entries. Lapsed entries are kept for a short time,
// except those of targets that were leaving or whose address another target has now.
func TestLapsedEntriesAreKeptAfterAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	listing := route.NewListing(heartbeat)
	a, b, c := targetAt("a", "10.0.0.1:1"), targetAt("b", "10.0.0.2:1"), targetAt("c", "10.0.0.3:1")
	c.Leaving = true
	require.Len(t, listing.Read(now, []route.Target{a, b, c}), 3)
	listing.ReadFailed()
	back := now.Add(2 * heartbeat)
	require.Len(t, listing.Read(back, nil), 2, "the leaving target is gone")
	require.Len(t, listing.Read(back.Add(time.Second), []route.Target{targetAt("d", "10.0.0.1:1")}), 2, "another target has the address of a")
	require.Len(t, listing.Read(back.Add(3*time.Second), []route.Target{targetAt("d", "10.0.0.1:1")}), 1)
}

// TestFailedReadKeepsNothing checks that a single failed read does not count as an outage of the
// store. No entry lapses in so short a time, so a target whose entry is missing has left.
func TestFailedReadKeepsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	listing := route.NewListing(heartbeat)
	a, b := targetAt("a", "10.0.0.1:1"), targetAt("b", "10.0.0.2:1")
	require.Len(t, listing.Read(now, []route.Target{a, b}), 2)
	listing.ReadFailed()
	require.Len(t, listing.Read(now.Add(2*heartbeat-time.Millisecond), []route.Target{a}), 1)
	listing.ReadFailed()
	require.Len(t, listing.Relay(now.Add(3*heartbeat), []route.Target{a}), 1)
	require.Empty(t, listing.Read(now.Add(4*heartbeat), nil), "another host read the store meanwhile")
}

// TestListThatOthersReadIsNoOutage checks that the store does not count as down if only this host
// can't read it. Targets can still renew their entries then, so a target whose entry is missing has
// left. A confirmation that arrives late changes nothing.
func TestListThatOthersReadIsNoOutage(t *testing.T) {
	now := time.Unix(100, 0)
	listing := route.NewListing(heartbeat)
	a, b := targetAt("a", "10.0.0.1:1"), targetAt("b", "10.0.0.2:1")
	require.Len(t, listing.Read(now, []route.Target{a, b}), 2)
	listing.ReadFailed()
	listing.Confirm(now.Add(3 * heartbeat))
	listing.Confirm(now.Add(heartbeat))
	back := now.Add(4 * heartbeat)
	require.Len(t, listing.Read(back, []route.Target{a, b}), 2)
	require.Len(t, listing.Read(back.Add(time.Second), []route.Target{a}), 1, "target b left by itself")
}

// TestMissingEntryIsGone checks that a target is dropped as soon as its entry is missing, if there
// was no outage.
func TestMissingEntryIsGone(t *testing.T) {
	listing := route.NewListing(heartbeat)
	a := targetAt("a", "10.0.0.1:1")
	require.Len(t, listing.Read(time.Unix(100, 0), []route.Target{a}), 1)
	require.Empty(t, listing.Read(time.Unix(101, 0), nil))
	listing.ReadFailed()
	require.Empty(t, listing.Relay(time.Unix(102, 0), nil))
}

// TestCopyOfTheStoreDoesNotChangeWhichTargetsAreUsed guards against what a copy of the store lacks or shows though it is
// over: a target that it lacks is kept, even if the store was hardly away; one that was leaving still is; one that had
// gone is not used, until its entry changes, is written again or had the time to lapse. Another start under the same
// identity is used at once.
func TestCopyOfTheStoreDoesNotChangeWhichTargetsAreUsed(t *testing.T) {
	now := time.Unix(100, 0)
	after := now.Add
	a, leaving, gone := targetAt("a", "10.0.0.1:1"), targetAt("b", "10.0.0.2:1"), targetAt("c", "10.0.0.3:1")
	ready := leaving
	leaving.Leaving = true
	newStart := gone
	newStart.StartedAt = now
	moved := gone
	moved.Slots++
	ids := func(list []route.Target) string {
		text := []string{}
		for _, t := range list {
			mark := ""
			if t.Leaving {
				mark = " leaves"
			}
			text = append(text, t.ID+mark)
		}
		slices.Sort(text)
		return strings.Join(text, ", ")
	}
	newRestored := func() *route.Listing {
		l := route.NewListing(heartbeat)
		l.ReadIn(now, 1)
		l.Read(now, []route.Target{a, ready, gone})
		l.Read(now, []route.Target{a, leaving})
		l.ReadIn(after(time.Second), 2)
		require.Equal(t, "a, b leaves", ids(l.Read(after(time.Second), []route.Target{ready, gone})))
		return l
	}
	for name, c := range map[string]struct {
		at      time.Duration
		targets []route.Target
		want    string
	}{
		"same entries":              {2 * time.Second, []route.Target{a, ready, gone}, "a, b leaves"},
		"entry of the gone changed": {2 * time.Second, []route.Target{a, ready, moved}, "a, b leaves, c"},
		"gone started again":        {2 * time.Second, []route.Target{a, ready, newStart}, "a, b leaves, c"},
		"entries had time to lapse": {time.Second + 3*heartbeat + time.Second, []route.Target{a, ready, gone}, "a, b, c"},
	} {
		require.Equal(t, c.want, ids(newRestored().Read(after(c.at), c.targets)), name)
	}
	l := newRestored()
	l.Read(after(1500*time.Millisecond), []route.Target{a, ready})
	require.Equal(t, "a, b leaves, c", ids(l.Read(after(2*time.Second), []route.Target{a, ready, gone})), "written again")
}

// TestPickFollowsWeights checks that a route sends requests to services in proportion to the
// weights of their shares.
func TestPickFollowsWeights(t *testing.T) {
	r := route.Route{Shares: []route.Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[r.Pick(draw)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Equal(t, "a", (&route.Route{Shares: []route.Share{{Service: "a"}}}).Pick(7))
	require.Empty(t, (&route.Route{}).Pick(7))
}
