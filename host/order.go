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
	orderKeyPrefix   = "order/"               // of the keys of order records
	peerOrderTimeout = 800 * time.Millisecond // within which a peer's operation is answered
)

// OrderKey returns the key of the record of a team's order.
func OrderKey(team uint32, key string) string {
	return orderKeyPrefix + strconv.FormatUint(uint64(team), 10) + "/" + key
}

// WriteOrder queues a conditional write of an order's record. Its result is
// returned in Commands by the deadline.
func (h *Host) WriteOrder(now time.Time, id uint64, op order.Op, deadline time.Time) {
	h.setTime(now)
	op.Record.Holder, op.Record.Boot = h.config.Self.String(), h.config.Boot
	h.orders.Write(now, order.Ref{ID: id}, op, deadline)
}

// OrderCommitted takes the result of a conditional write.
func (h *Host) OrderCommitted(now time.Time, id uint64, result order.Result, version uint64, failed []string) {
	h.setTime(now)
	h.orders.Committed(now, id, result, version, failed)
}

// OrderRead takes the result of a read of an order's record.
func (h *Host) OrderRead(now time.Time, id uint64, record order.Record, version uint64, failed bool) {
	h.setTime(now)
	h.orders.ReadBack(now, id, record, version, failed)
}

// orderPeers returns the hosts that can be asked to reach the platform in place
// of this one: those of this place, then the heads of the other places.
func (h *Host) orderPeers() []netip.AddrPort {
	list := h.roster.Present()
	for _, r := range h.roster.Rosters() {
		if head, ok := h.ownerOf(wire.Shard{Place: r.Place}); ok {
			list = append(list, head)
		}
	}
	return list
}

// queueOrderCommands turns the pending output of the order table into commands
// and messages.
func (h *Host) queueOrderCommands() {
	commits, reads, forwards, answers := h.orders.Drain()
	h.commands.OrderCommits = append(h.commands.OrderCommits, commits...)
	h.commands.OrderReads = append(h.commands.OrderReads, reads...)
	for _, f := range forwards {
		body, err := json.Marshal(f.Op)
		if err == nil {
			h.send(f.Peer, &wire.OrderRequest{CallID: f.ID, Key: f.Op.Name, Body: body})
		}
	}
	for _, a := range answers {
		if !a.Ref.Peer.IsValid() {
			h.commands.OrderVerdicts = append(h.commands.OrderVerdicts, a)
			continue
		}
		body, err := json.Marshal(a.Verdict)
		if err == nil {
			h.send(a.Ref.Peer, &wire.OrderResponse{CallID: a.Ref.ID, Failed: a.Verdict.Unreached, Body: body})
		}
	}
}

// handleOrderRequest carries out an order operation for a peer that cannot reach the
// platform.
func (h *Host) handleOrderRequest(now time.Time, from netip.AddrPort, m *wire.OrderRequest) {
	var op order.Op
	if json.Unmarshal(m.Body, &op) != nil || op.Name != m.Key || !strings.HasPrefix(op.Name, orderKeyPrefix) {
		h.send(from, &wire.OrderResponse{CallID: m.CallID, Failed: true})
		return
	}
	h.orders.Write(now, order.Ref{ID: m.CallID, Peer: from}, op, now.Add(peerOrderTimeout))
}

// handleOrderResponse takes a peer's answer to an order operation that this host
// asked it to carry out. An answer that cannot be decoded counts as failed.
func (h *Host) handleOrderResponse(now time.Time, m *wire.OrderResponse) {
	v := order.Verdict{Unreached: true}
	if !m.Failed && json.Unmarshal(m.Body, &v) != nil {
		v = order.Verdict{Unreached: true}
	}
	h.orders.PeerAnswered(now, m.CallID, v)
}
