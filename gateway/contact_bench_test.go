package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// newFleetTable returns the table of a host in a fleet of a number of hosts.
func newFleetTable(hosts int) *peerTable {
	c := newPeerTable(netip.MustParseAddrPort("10.9.0.1:1"))
	for n := range hosts - 1 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
		c.update(address, &wire.HostState{Boot: 1, Number: 1, Place: fmt.Sprint("place", n%5)}, time.Now())
	}
	return c
}

// BenchmarkOwners measures listing the hosts that may own targets.
func BenchmarkOwners(b *testing.B) {
	for _, hosts := range []int{30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := newFleetTable(hosts)
			b.ReportAllocs()
			for b.Loop() {
				c.owners()
			}
		})
	}
}

// BenchmarkStoreRole measures the decision whether a host reads the store or asks other hosts.
func BenchmarkStoreRole(b *testing.B) {
	for _, hosts := range []int{30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := newFleetTable(hosts)
			b.ReportAllocs()
			for b.Loop() {
				storeRoleOf(c.self, time.Second, c.livePeers())
			}
		})
	}
}
