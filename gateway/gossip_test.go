package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// Reports of a host's state may arrive out of order, twice or from a process that has since restarted;
// such stale reports must be ignored. Processes are told apart by their start time. If the clock was
// set back before a restart, the new process looks older than the earlier one; its reports are accepted
// once the earlier process has been silent so long that it has expired.
func TestStaleHostStateIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	host := netip.MustParseAddrPort("10.0.0.2:1")
	table := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"))
	update := func(boot, number uint64) bool {
		fresh, _ := table.update(host, &wire.HostState{Boot: boot, Number: number}, now)
		return fresh
	}
	require.True(t, update(8000, 1))
	require.True(t, update(8000, 2))
	require.False(t, update(8000, 2), "twice")
	require.False(t, update(8000, 1), "late")
	require.False(t, update(5000, 9), "of an earlier process")
	now = now.Add(placement.PeerStateLifetime(2) + time.Millisecond)
	require.Equal(t, []netip.AddrPort{host}, table.expireSilent(now))
	require.True(t, update(5000, 1))
	require.False(t, update(5000, 1))
}

// Most state reports go only to hosts of the same data centre. A host whose data centre is not known yet
// may be in the same one, so it must get them as well.
func TestAddressesNearIncludesHostsOfUnknownPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"))
	near, far, unknown := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1")
	table.update(near, &wire.HostState{Boot: 1, Number: 1, Place: "place1"}, now)
	table.update(far, &wire.HostState{Boot: 1, Number: 1, Place: "place2"}, now)
	table.add(unknown, now)
	require.ElementsMatch(t, []netip.AddrPort{near, unknown}, table.addressesNear("place1"))
	require.ElementsMatch(t, []netip.AddrPort{near, far, unknown}, table.addresses())
}
