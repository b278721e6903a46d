package host

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/wire"
)

// Receive handles the messages of a peer. boot is the start time of the peer's
// process.
func (h *Host) Receive(now time.Time, from netip.AddrPort, boot uint64, messages []wire.Message) {
	h.setTime(now)
	h.roster.Touch(now, from, boot)
	for _, m := range messages {
		if beat, ok := m.(*wire.Heartbeat); ok {
			h.handleHeartbeat(now, from, boot, beat)
			continue
		}
		h.handleMessage(now, from, m)
	}
	h.deliverPending()
	h.grantSlots(now)
}

// handleMessage handles one message of a peer or of this host itself, other
// than a heartbeat.
func (h *Host) handleMessage(now time.Time, from netip.AddrPort, message wire.Message) {
	switch m := message.(type) {
	case *wire.Roster:
		h.handleRoster(now, from, m)
	case *wire.Ticket:
		h.handleTicket(now, from, m)
	case *wire.Grant:
		h.intake.HandleGrant(now, from, m)
	case *wire.Denial:
		h.intake.HandleDenial(m)
	case *wire.MoveTicket:
		h.intake.HandleMoveTicket(now, m)
	case *wire.PreemptStream:
		h.intake.HandlePreemptStream(now, m)
	case *wire.RequestEnd:
		if s := h.shards[m.Shard]; s != nil {
			s.End(now, from, m)
		}
	case *wire.ShardState:
		h.handleShardState(now, m)
	case *wire.PullTickets:
		if s := h.shards[m.Shard]; s != nil {
			s.HandlePullTickets(now, m)
		}
	case *wire.Resync:
		h.handleResync(now, from, m)
	case *wire.ConfigRequest:
		h.sendConfigSince(from, m)
	case *wire.ConfigSnapshot:
		h.applySnapshot(now, m)
	case *wire.ConfigSteps:
		h.applySteps(now, from, m)
	case *wire.TargetCrash, *wire.TraitsAnswered, *wire.TraitsProbed:
		h.handleTraitMessage(now, from, m)
	case *wire.TraitsHeld:
		h.mergeHeldTraits(now, m)
	case *wire.OrderRequest:
		h.handleOrderRequest(now, from, m)
	case *wire.OrderResponse:
		h.handleOrderResponse(now, m)
	}
}

// handleTicket submits a ticket to its shard. If this host does not own the
// shard, it tells the sender to present the ticket again.
func (h *Host) handleTicket(now time.Time, from netip.AddrPort, m *wire.Ticket) {
	s := h.shards[m.Shard]
	if s == nil {
		h.send(from, &wire.MoveTicket{ID: m.ID, Shard: m.Shard, Place: m.Shard.Place})
		return
	}
	s.Submit(now, from, m)
}

// handleResync handles a host's report of its running requests at a shard owned
// here. If the host knows of a higher incarnation, the shard first takes one
// above it, since hosts ignore grants of older incarnations.
func (h *Host) handleResync(now time.Time, from netip.AddrPort, m *wire.Resync) {
	s := h.shards[m.Shard]
	if s == nil {
		return
	}
	if m.Known > s.Incarnation() {
		h.intake.ObserveIncarnation(m.Shard, m.Known)
		s.RaiseIncarnation(h.nextIncarnation(now, m.Shard))
	}
	s.Resync(now, from, m)
}

// handleShardState handles the report of a shard's owner and balances the shard of
// the same service that this host owns. A higher incarnation of a shard owned
// here means that another host owned it meanwhile, so the shard takes one above
// it.
func (h *Host) handleShardState(now time.Time, m *wire.ShardState) {
	if s := h.shards[m.Shard]; s != nil {
		if m.Incarnation > s.Incarnation() {
			h.intake.ObserveIncarnation(m.Shard, m.Incarnation)
			s.RaiseIncarnation(h.nextIncarnation(now, m.Shard))
		}
		return
	}
	book := h.ledgerOf(m.Shard.Service)
	known := book.Account(m.Shard.Place)
	isNew := known == nil || known.Incarnation != m.Incarnation
	silent := time.Duration(0)
	if known != nil {
		silent = now.Sub(known.ReportedAt)
	}
	if !book.Merge(now, m) {
		return
	}
	h.intake.ObserveIncarnation(m.Shard, m.Incarnation)
	own := h.shards[wire.Shard{Service: m.Shard.Service, Place: h.roster.Place()}]
	if own == nil {
		return
	}
	own.HandleReport(now, m.Shard.Place, silent)
	own.Rebalance(now)
	if isNew {
		own.SendFullReport(now)
	}
}

// sortAddresses sorts a list of addresses in place and returns it.
func sortAddresses(list []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// sortShards sorts a list of shards by service and place, in place, and returns
// it.
func sortShards(list []wire.Shard) []wire.Shard {
	slices.SortFunc(list, func(a, b wire.Shard) int {
		if a.Service != b.Service {
			return int(a.Service) - int(b.Service)
		}
		return int(a.Place) - int(b.Place)
	})
	return list
}

// ownedShards returns the shards owned here, in a fixed order.
func (h *Host) ownedShards() []wire.Shard {
	if len(h.shards) == 0 {
		return nil
	}
	list := make([]wire.Shard, 0, len(h.shards))
	for shard := range h.shards {
		list = append(list, shard)
	}
	return sortShards(list)
}

// ShardStatus is the state of one shard that this host owns.
type ShardStatus struct {
	Shard       wire.Shard
	Incarnation uint64 // incarnation of this host as the owner
	Used        int    // slots in use
	Slots       int    // all slots of targets that take work
	Waiting     int    // waiting tickets
	Teams       []dispatch.TeamStatus
	Targets     []dispatch.TargetStatus
}

// Status returns the state of each shard owned here.
func (h *Host) Status(now time.Time) []ShardStatus {
	var list []ShardStatus
	for _, shard := range h.ownedShards() {
		s := h.shards[shard]
		used, slots := s.Slots()
		list = append(list, ShardStatus{
			Shard: shard, Incarnation: s.Incarnation(), Used: used, Slots: slots, Waiting: s.Waiting(),
			Teams: s.TeamStatus(now), Targets: s.TargetStatus(),
		})
	}
	return list
}

// Live returns the live hosts of this place that can own shards.
func (h *Host) Live() []netip.AddrPort { return h.roster.Live() }

// LinkCount returns the number of peers that this host has, or tries to open, a
// session with.
func (h *Host) LinkCount() int { return len(h.links) }
