package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// State reports that come late, twice or from an earlier process are ignored. If the clock of a host
// was set back before a restart, the new process has a lower start time than the earlier one,
// and counts once that one has gone silent.
func TestStaleHostStateIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	host := netip.MustParseAddrPort("10.0.0.2:1")
	c := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"))
	hear := func(boot, number uint64) bool {
		fresh, _ := c.update(host, &wire.HostState{Boot: boot, Number: number}, now)
		return fresh
	}
	require.True(t, hear(8000, 1))
	require.True(t, hear(8000, 2))
	require.False(t, hear(8000, 2), "twice")
	require.False(t, hear(8000, 1), "late")
	require.False(t, hear(5000, 9), "of an earlier process")
	now = now.Add(placement.PeerStateLifetime(2) + time.Millisecond)
	require.Equal(t, []netip.AddrPort{host}, c.expireSilent(now))
	require.True(t, hear(5000, 1))
	require.False(t, hear(5000, 1))
}

// Most state reports stay within the data centre. Hosts whose data centre is not known yet get
// all of them.
func TestAddressesNearIncludesHostsOfUnknownPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"))
	near, far, unknown := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1")
	c.update(near, &wire.HostState{Boot: 1, Number: 1, Place: "place1"}, now)
	c.update(far, &wire.HostState{Boot: 1, Number: 1, Place: "place2"}, now)
	c.add(unknown, now)
	require.ElementsMatch(t, []netip.AddrPort{near, unknown}, c.addressesNear("place1"))
	require.ElementsMatch(t, []netip.AddrPort{near, far, unknown}, c.addresses())
}
