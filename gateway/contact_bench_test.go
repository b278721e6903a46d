package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// newFleetTable returns the peer table of a host in a fleet of so many hosts, spread over five places.
func newFleetTable(hosts int) *peerTable {
	table := newPeerTable(netip.MustParseAddrPort("10.9.0.1:1"))
	for n := range hosts - 1 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
		table.update(address, &wire.HostState{Boot: 1, Number: 1, Place: fmt.Sprint("place", n%5)}, time.Now())
	}
	return table
}

// BenchmarkOwners measures how long it takes to list the hosts that may own targets.
func BenchmarkOwners(b *testing.B) {
	for _, hosts := range []int{30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			table := newFleetTable(hosts)
			b.ReportAllocs()
			for b.Loop() {
				table.owners()
			}
		})
	}
}

// BenchmarkStoreRole measures how long a host takes to decide whether it reads the store itself or asks
// other hosts.
func BenchmarkStoreRole(b *testing.B) {
	for _, hosts := range []int{30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			table := newFleetTable(hosts)
			b.ReportAllocs()
			for b.Loop() {
				storeRoleOf(table.self, time.Second, table.livePeers())
			}
		})
	}
}
