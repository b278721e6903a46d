package loopback_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/standin/loopback"
)

func TestAddressesAreUniqueAndFree(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 600 {
		address := loopback.Address()
		require.True(t, address.Addr().IsLoopback())
		require.False(t, seen[address])
		seen[address] = true
	}
	for address := range seen {
		l, err := net.Listen("tcp", address.String())
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}

func TestAddressesAfterSkippingShareAPort(t *testing.T) {
	for range 100 {
		loopback.SkipToSharedPort(7)
		first := loopback.Address()
		for range 6 {
			require.Equal(t, first.Port(), loopback.Address().Port())
		}
	}
}
