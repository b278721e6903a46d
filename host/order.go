package host

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cassiachute/cassiachute/order"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	orderPrefix   = "order/"
	peerOrderWait = 800 * time.Millisecond // within which a peer's operation is answered
)

// OrderName returns the key of the record of a team's order.
func OrderName(team uint32, key string) string {
	return orderPrefix + strconv.FormatUint(uint64(team), 10) + "/" + key
}

// WriteOrder queues a conditional write of an order's record. The answer comes
// as a command by the deadline.
func (h *Host) WriteOrder(now time.Time, id uint64, op order.Op, deadline time.Time) {
	h.tickAt(now)
	op.Record.Holder, op.Record.Boot = h.config.Self.String(), h.config.Boot
	h.orders.Write(now, order.Ref{ID: id}, op, deadline)
}

// OrderCommitted takes the result of a commit.
func (h *Host) OrderCommitted(now time.Time, id uint64, result order.Result, version uint64, failed []string) {
	h.tickAt(now)
	h.orders.Committed(now, id, result, version, failed)
}

// OrderRead takes the result of a read.
func (h *Host) OrderRead(now time.Time, id uint64, record order.Record, version uint64, failed bool) {
	h.tickAt(now)
	h.orders.ReadBack(now, id, record, version, failed)
}

// orderPeers returns the hosts to ask where the platform is out of reach: those
// of this place, then the heads of the others.
func (h *Host) orderPeers() []netip.AddrPort {
	list := h.roster.Present()
	for _, r := range h.roster.Rosters() {
		if head, ok := h.ownerOf(wire.Shard{Place: r.Place}); ok {
			list = append(list, head)
		}
	}
	return list
}

// drainOrders turns what the orders' table wants into commands and messages.
func (h *Host) drainOrders() {
	commits, reads, forwards, answers := h.orders.Drain()
	h.out.Commits = append(h.out.Commits, commits...)
	h.out.Reads = append(h.out.Reads, reads...)
	for _, f := range forwards {
		body, err := json.Marshal(f.Op)
		if err == nil {
			h.send(f.Peer, &wire.Claim{Call: f.ID, Name: f.Op.Name, Body: body})
		}
	}
	for _, a := range answers {
		if !a.Ref.Peer.IsValid() {
			h.out.Verdicts = append(h.out.Verdicts, a)
			continue
		}
		body, err := json.Marshal(a.Verdict)
		if err == nil {
			h.send(a.Ref.Peer, &wire.Claimed{Call: a.Ref.ID, Failed: a.Verdict.Unreached, Body: body})
		}
	}
}

// claim carries out an operation for a peer that does not reach the platform.
func (h *Host) claim(now time.Time, from netip.AddrPort, m *wire.Claim) {
	var op order.Op
	if json.Unmarshal(m.Body, &op) != nil || op.Name != m.Name || !strings.HasPrefix(op.Name, orderPrefix) {
		h.send(from, &wire.Claimed{Call: m.Call, Failed: true})
		return
	}
	h.orders.Write(now, order.Ref{ID: m.Call, Peer: from}, op, now.Add(peerOrderWait))
}

func (h *Host) claimed(now time.Time, m *wire.Claimed) {
	v := order.Verdict{Unreached: true}
	if !m.Failed && json.Unmarshal(m.Body, &v) != nil {
		v = order.Verdict{Unreached: true}
	}
	h.orders.PeerAnswered(now, m.Call, v)
}
