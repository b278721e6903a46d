// Package loopback hands out loopback addresses with ports for tests and stand-ins.
package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	firstOctet     = 127
	secondOctetBit = 0x40  // keeps the addresses distinct from 127.0.0.1
	hostsPerPort   = 250   // IP addresses handed out with a port before the next port is used
	firstPort      = 17000 // below the ports that the system assigns to outgoing connections
)

// handedOut counts the addresses that were handed out.
var handedOut atomic.Uint32

// Address returns an IP address and port that neither an outgoing connection nor
// another process with this package uses. It returns none twice. The IP address
// contains low bits of the process ID to keep processes apart.
func Address() netip.AddrPort {
	n := handedOut.Add(1) - 1
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{firstOctet, byte(pid>>8) | secondOctetBit, byte(pid), byte(n%hostsPerPort + 1)})
	return netip.AddrPortFrom(ip, firstPort+uint16(n/hostsPerPort))
}

// SkipToSharedPort skips addresses so that the next count ones share a port, unless other callers take
// addresses meanwhile.
func SkipToSharedPort(count uint32) {
	for {
		n := handedOut.Load()
		remaining := hostsPerPort - n%hostsPerPort
		if remaining >= count || handedOut.CompareAndSwap(n, n+remaining) {
			return
		}
	}
}
