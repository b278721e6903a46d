package gateway

import (
	"net/netip"

	"github.com/cassiachute/cassiachute/wire"
)

// outgoing is a message that waits to be sent to another host.
type outgoing struct {
	to      uint64 // number of the receiving host, see hostNumber
	message wire.Message
}

// enqueue queues a message for a host, which unlockAndSend sends. The caller holds the lock.
func (c *core) enqueue(to uint64, m wire.Message) {
	c.outbox = append(c.outbox, outgoing{to: to, message: m})
}

// unlockAndSend releases the lock and sends the messages that were queued while it was held.
func (c *core) unlockAndSend() {
	pending := c.outbox
	c.outbox = nil
	c.mu.Unlock()
	for _, l := range pending {
		c.post(l.to, l.message)
	}
}

// post sends a message to a host. Lost messages are not repeated; the next list of leases corrects the state.
func (g *Gateway) post(to uint64, m wire.Message) {
	if err := g.mesh.SendTo(hostAddress(to), m); err != nil {
		g.record.peerFailed(err)
	}
}

// broadcast sends a message to all other hosts.
func (g *Gateway) broadcast(m wire.Message) {
	if err := g.mesh.Send(m, g.peers.addresses()); err != nil {
		g.record.peerFailed(err)
	}
}

// handleMessage handles a message from another host.
func (g *Gateway) handleMessage(from netip.AddrPort, m wire.Message) {
	host := hostNumber(from)
	switch m := m.(type) {
	case *wire.SlotRequest:
		g.core.receiveSlotRequest(host, m)
	case *wire.VersionSlotRequest:
		g.core.receiveVersionSlotRequest(host, m)
	case *wire.SlotResponse:
		g.core.receiveSlotResponse(host, m)
	case *wire.LeaseUpdate:
		g.core.receiveLeaseUpdate(host, m)
	case *wire.PromptPlaced:
		g.core.receivePromptPlaced(m)
	case *wire.Departure:
		g.handleDeparture(from, m)
	case *wire.LeaseList:
		g.core.receiveLeaseList(host, m)
	case *wire.TargetCrash:
		g.receiveTargetCrash(from, m)
	case *wire.TraitsAnswered:
		g.receiveTraitsAnswered(from, m)
	case *wire.TraitsProbed:
		g.core.receiveTraitsProbed(m)
	case *wire.TraitsKnown:
		g.core.receiveTraitsKnown(m)
	}
}

// hostNumber encodes an IPv4 address and port as one number, which identifies a host.
func hostNumber(address netip.AddrPort) uint64 {
	number := uint64(address.Port())
	for _, b := range address.Addr().As4() {
		number = number<<8 | uint64(b)
	}
	return number
}

// hostAddress returns the address that hostNumber encoded.
func hostAddress(number uint64) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{byte(number >> 24), byte(number >> 16), byte(number >> 8), byte(number)})
	return netip.AddrPortFrom(ip, uint16(number>>32))
}
