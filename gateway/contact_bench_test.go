package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// benchFleet are the contacts of a host in a fleet of so many.
func benchFleet(hosts int) *peerTable {
	c := newPeerTable(netip.MustParseAddrPort("10.9.0.1:1"))
	for n := range hosts - 1 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
		c.update(address, &wire.News{Boot: 1, Number: 1, Place: fmt.Sprint("place", n%5)}, time.Now())
	}
	return c
}

// BenchmarkOwners measures the list of the hosts that may own engines.
func BenchmarkOwners(b *testing.B) {
	for _, hosts := range []int{30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := benchFleet(hosts)
			b.ReportAllocs()
			for b.Loop() {
				c.owners()
			}
		})
	}
}

// BenchmarkDuty measures the decision how a host learns what the store tells.
func BenchmarkDuty(b *testing.B) {
	for _, hosts := range []int{30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := benchFleet(hosts)
			b.ReportAllocs()
			for b.Loop() {
				dutyOf(c.self, time.Second, c.sightings())
			}
		})
	}
}
