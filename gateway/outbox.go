package gateway

import (
	"net/netip"

	"github.com/cassiachute/cassiachute/wire"
)

// outgoing is a message to another host.
type outgoing struct {
	to      uint64 // number of the host
	message wire.Message
}

// write adds a message that is sent when the lock is given back. The caller holds the lock.
func (c *core) write(to uint64, m wire.Message) {
	c.outbox = append(c.outbox, outgoing{to: to, message: m})
}

// unlock gives the lock back and sends what was decided for other hosts.
func (c *core) unlock() {
	pending := c.outbox
	c.outbox = nil
	c.mu.Unlock()
	for _, l := range pending {
		c.post(l.to, l.message)
	}
}

// post sends a message to a host. One that is lost is made good by the next list of leases.
func (g *Gateway) post(to uint64, m wire.Message) {
	if err := g.mesh.Post(hostAddress(to), m); err != nil {
		g.record.peerFailed(err)
	}
}

// take takes a message of another host.
func (g *Gateway) take(from netip.AddrPort, m wire.Message) {
	host := peerNumber(from)
	switch m := m.(type) {
	case *wire.Enquiry:
		g.core.enquire(host, m)
	case *wire.Verdict:
		g.core.verdict(host, m)
	case *wire.Progress:
		g.core.progress(host, m)
	case *wire.PromptPlaced:
		g.core.kept(m)
	case *wire.Departure:
		g.departed(from, m)
	case *wire.Leases:
		g.core.confirmLeases(host, m)
	}
}

// peerNumber returns a number for an address.
func peerNumber(address netip.AddrPort) uint64 {
	number := uint64(address.Port())
	for _, b := range address.Addr().As4() {
		number = number<<8 | uint64(b)
	}
	return number
}

// hostAddress returns the address that a number stands for.
func hostAddress(number uint64) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{byte(number >> 24), byte(number >> 16), byte(number >> 8), byte(number)})
	return netip.AddrPortFrom(ip, uint16(number>>32))
}
