package route_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// targetAt returns a target with one slot at an address.
func targetAt(id, address string) route.Target {
	return route.Target{ID: id, Address: netip.MustParseAddrPort(address), Slots: 1}
}

// heartbeat is the interval at which the targets of the tests renew their entries.
const heartbeat = time.Second

// TestLapsedEntriesAreKeptAfterAnOutage checks that entries that lapsed during an outage of the
// store are kept for a short time after it, unless another target has their address or they were
// leaving.
func TestLapsedEntriesAreKeptAfterAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	l := route.NewListing(heartbeat)
	a, b, c := targetAt("a", "10.0.0.1:1"), targetAt("b", "10.0.0.2:1"), targetAt("c", "10.0.0.3:1")
	c.Leaving = true
	require.Len(t, l.Read(now, []route.Target{a, b, c}), 3)
	l.ReadFailed()
	back := now.Add(2 * heartbeat)
	require.Len(t, l.Read(back, nil), 2, "the leaving target is gone")
	require.Len(t, l.Read(back.Add(time.Second), []route.Target{targetAt("d", "10.0.0.1:1")}), 2, "another target has the address of a")
	require.Len(t, l.Read(back.Add(3*time.Second), []route.Target{targetAt("d", "10.0.0.1:1")}), 1)
}

// TestFailedReadKeepsNothing checks that a single failed read does not count as an outage: no
// entry lapses in so short a time, so the target of a missing entry has left.
func TestFailedReadKeepsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	l := route.NewListing(heartbeat)
	a, b := targetAt("a", "10.0.0.1:1"), targetAt("b", "10.0.0.2:1")
	require.Len(t, l.Read(now, []route.Target{a, b}), 2)
	l.ReadFailed()
	require.Len(t, l.Read(now.Add(2*heartbeat-time.Millisecond), []route.Target{a}), 1)
	l.ReadFailed()
	require.Len(t, l.Relay(now.Add(3*heartbeat), []route.Target{a}), 1)
	require.Empty(t, l.Read(now.Add(4*heartbeat), nil), "another host read the store meanwhile")
}

// TestListThatOthersReadIsNoOutage checks that a store that only this host can't read does not
// count as down: no entry lapsed, whether the list that another host read was new or not.
func TestListThatOthersReadIsNoOutage(t *testing.T) {
	now := time.Unix(100, 0)
	l := route.NewListing(heartbeat)
	a, b := targetAt("a", "10.0.0.1:1"), targetAt("b", "10.0.0.2:1")
	require.Len(t, l.Read(now, []route.Target{a, b}), 2)
	l.ReadFailed()
	l.Confirm(now.Add(3 * heartbeat))
	l.Confirm(now.Add(heartbeat))
	back := now.Add(4 * heartbeat)
	require.Len(t, l.Read(back, []route.Target{a, b}), 2)
	require.Len(t, l.Read(back.Add(time.Second), []route.Target{a}), 1, "target b left by itself")
}

// TestMissingEntryIsGone checks that a missing entry is dropped at once if there was no outage.
func TestMissingEntryIsGone(t *testing.T) {
	l := route.NewListing(heartbeat)
	a := targetAt("a", "10.0.0.1:1")
	require.Len(t, l.Read(time.Unix(100, 0), []route.Target{a}), 1)
	require.Empty(t, l.Read(time.Unix(101, 0), nil))
	l.ReadFailed()
	require.Empty(t, l.Relay(time.Unix(102, 0), nil))
}

// TestPickFollowsWeights checks that services get requests in proportion to the weights of their
// shares.
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
