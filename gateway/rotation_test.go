package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/rotation"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/wire"
)

// A host whose lag approaches its limit leaves the rotation of the load balancer before the limit is reached
// and it refuses requests.
func TestLaggingHostLeavesRotationBeforeRefusing(t *testing.T) {
	const maxLag = 40 * time.Millisecond
	c := newCore(Settings{MaxLag: settings.OptionalDuration{Duration: maxLag}})
	now := time.Unix(1000, 0)
	others := func() rotation.OtherHosts { return rotation.OtherHosts{Place: 26, Fleet: 80} }
	for !c.lag.Overloaded() {
		c.lag.ExpectTick(now, tickInterval)
		now = now.Add(tickInterval + maxLag/2)
		c.lag.Tick(now)
		if changed, away, _ := c.updateRotation(now, others); changed {
			require.True(t, away)
			break
		}
	}
	require.True(t, c.outOfRotation())
	require.False(t, c.lag.Overloaded())
}

// From the state reports of other hosts, a host counts how many of them, in its place and in the fleet, are out of
// rotation.
func TestHostsOutOfRotationAreCounted(t *testing.T) {
	self := netip.MustParseAddrPort("10.0.0.5:7400")
	peers := newPeerTable(self)
	for n := range 9 {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7400", n+1))
		place := "place1"
		if n > 5 {
			place = "place2"
		}
		peers.update(address, &wire.HostState{Boot: 1, Number: 1, Place: place, NotReady: n%2 == 1}, time.Unix(1000, 0))
	}
	delete(peers.byAddress, self)
	require.Equal(t, rotation.OtherHosts{Place: 5, PlaceAway: 3, Fleet: 8, FleetAway: 4, Ahead: 2}, peers.others("place1"))
}

// A caller that an overloaded host refuses is told to retry once the load balancer sends new connections to
// other hosts.
func TestRefusedCallersRetryAtAnotherHost(t *testing.T) {
	c := newCore(Settings{MaxLag: settings.OptionalDuration{Duration: 40 * time.Millisecond}})
	now := time.Unix(1000, 0)
	require.Equal(t, overloadRetry, c.overloadWait(now), "a host in rotation can serve soon")
	c.rotation.Tick(now, time.Second, func() rotation.OtherHosts { return rotation.OtherHosts{Place: 26, Fleet: 80} })
	require.Equal(t, 1500*time.Millisecond, c.overloadWait(now.Add(500*time.Millisecond)))
	require.Equal(t, time.Second, c.overloadWait(now.Add(3*time.Second)), "time to the next check of the balancer")
}

// Requests at all hosts waited for an overloaded host to grant them slots of the engines that it owned. A host
// out of rotation must own no engines, unless all hosts are out of rotation.
func TestLaggingHostOwnsNoEngines(t *testing.T) {
	const prompts = 40
	self, other := netip.MustParseAddrPort("10.0.0.1:7400"), netip.MustParseAddrPort("10.0.0.2:7400")
	c := newCore(Settings{Place: "place1", MaxLag: settings.OptionalDuration{Duration: 40 * time.Millisecond}})
	c.self = hostNumber(self)
	c.board.Configure(route.NewTable(route.Table{
		Version: 1, Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 8, TokenCapacity: 1000}}},
	}))
	var targets []route.Target
	for n := range 20 {
		targets = append(targets, route.Target{ID: fmt.Sprint("engine", n), Service: "model", Slots: 8, Place: "place1"})
	}
	c.board.SetTargets(targets)
	peers := newPeerTable(self)
	number := uint64(0)
	owners := func(otherNotReady bool) map[uint64]int {
		number++
		peers.update(other, &wire.HostState{Boot: 1, Number: number, Place: "place1", NotReady: otherNotReady}, time.Now())
		c.updateOwners(time.Now(), peers.owners())
		found := map[uint64]int{}
		for n := range uint64(prompts) {
			parts := []placement.Part{{ID: n, Tokens: 100}, {ID: 1 << 40, Tokens: 10}}
			found[c.board.PreferredEngine(&placement.Request{Service: "model", Chain: placement.NewPrefixChain(parts, 110)}).Host]++
		}
		return found
	}
	require.Len(t, owners(false), 2)
	require.Equal(t, map[uint64]int{c.self: prompts}, owners(true), "the other host is out of rotation")
	c.rotation.Tick(time.Now(), time.Second, func() rotation.OtherHosts { return rotation.OtherHosts{Place: 26, Fleet: 80} })
	require.Equal(t, map[uint64]int{hostNumber(other): prompts}, owners(false), "this host is out of rotation")
	require.Equal(t, map[uint64]int{c.self: prompts}, owners(true), "no host in rotation is left")
}
