// Package loopback hands out addresses of this machine for tests and stand-ins.
package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	network   = 127
	notCommon = 0x40  // keeps the addresses apart from 127.0.0.1
	hosts     = 250   // addresses that share a port
	firstPort = 17000 // below the ports that the system gives to outgoing connections
)

// given counts the addresses that were handed out.
var given atomic.Uint32

// Address returns an address and port that neither an outgoing connection nor
// another process of this package uses, and that is handed out once.
func Address() netip.AddrPort {
	n := given.Add(1) - 1
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{network, byte(pid>>8) | notCommon, byte(pid), byte(n%hosts + 1)})
	return netip.AddrPortFrom(host, firstPort+uint16(n/hosts))
}

// Together skips addresses so that the next ones, up to a number, share a port, unless others
// are handed out meanwhile.
func Together(count uint32) {
	for {
		n := given.Load()
		left := hosts - n%hosts
		if left >= count || given.CompareAndSwap(n, n+left) {
			return
		}
	}
}
