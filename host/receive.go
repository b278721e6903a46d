package host

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/wire"
)

// Receive takes the messages of a peer.
func (h *Host) Receive(now time.Time, from netip.AddrPort, boot uint64, messages []wire.Message) {
	h.tickAt(now)
	h.roster.Touch(now, from, boot)
	for _, m := range messages {
		if beat, ok := m.(*wire.Beat); ok {
			h.heard(now, from, boot, beat)
			continue
		}
		h.receive(now, from, m)
	}
	h.settle()
	h.pick(now)
}

func (h *Host) receive(now time.Time, from netip.AddrPort, message wire.Message) {
	switch m := message.(type) {
	case *wire.Roster:
		h.learnRoster(now, from, m)
	case *wire.Ticket:
		h.ticket(now, from, m)
	case *wire.Grant:
		h.intake.HandleGrant(now, from, m)
	case *wire.Deny:
		h.intake.HandleDeny(m)
	case *wire.Move:
		h.intake.HandleMove(now, m)
	case *wire.Preempt:
		h.intake.HandlePreempt(now, m)
	case *wire.End:
		if s := h.shards[m.Shard]; s != nil {
			s.End(now, from, m)
		}
	case *wire.Totals:
		h.totals(now, m)
	case *wire.Pull:
		if s := h.shards[m.Shard]; s != nil {
			s.Pulled(now, m)
		}
	case *wire.Resync:
		h.resync(now, from, m)
	case *wire.Ask:
		h.answerAsk(from, m)
	case *wire.Snapshot:
		h.takeSnapshot(now, m)
	case *wire.Steps:
		h.takeSteps(now, from, m)
	case *wire.Suspect:
		h.takeSuspect(now, from, m)
	case *wire.Claim:
		h.claim(now, from, m)
	case *wire.Claimed:
		h.claimed(now, m)
	}
}

// ticket hands a ticket to the shard, or returns it if the shard is not owned
// here.
func (h *Host) ticket(now time.Time, from netip.AddrPort, m *wire.Ticket) {
	s := h.shards[m.Shard]
	if s == nil {
		h.send(from, &wire.Move{ID: m.ID, Shard: m.Shard, Place: m.Shard.Place})
		return
	}
	s.Submit(now, from, m)
}

func (h *Host) resync(now time.Time, from netip.AddrPort, m *wire.Resync) {
	s := h.shards[m.Shard]
	if s == nil {
		return
	}
	if m.Known > s.Incarnation() {
		h.intake.ObserveIncarnation(m.Shard, m.Known)
		s.Renew(h.incarnation(now, m.Shard))
	}
	s.Resync(now, from, m)
}

// totals takes the report of a shard's owner.
func (h *Host) totals(now time.Time, m *wire.Totals) {
	if s := h.shards[m.Shard]; s != nil {
		if m.Incarnation > s.Incarnation() {
			h.intake.ObserveIncarnation(m.Shard, m.Incarnation)
			s.Renew(h.incarnation(now, m.Shard))
		}
		return
	}
	book := h.book(m.Shard.Service)
	known := book.Account(m.Shard.Place)
	isNew := known == nil || known.Incarnation != m.Incarnation
	silent := time.Duration(0)
	if known != nil {
		silent = now.Sub(known.Heard)
	}
	if !book.Merge(now, m) {
		return
	}
	h.intake.ObserveIncarnation(m.Shard, m.Incarnation)
	own := h.shards[wire.Shard{Service: m.Shard.Service, Place: h.roster.Place()}]
	if own == nil {
		return
	}
	own.Merged(now, m.Shard.Place, silent)
	own.Balance(now)
	if isNew {
		own.Introduce(now)
	}
}

func sortAddresses(list []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

func sortShards(list []wire.Shard) []wire.Shard {
	slices.SortFunc(list, func(a, b wire.Shard) int {
		if a.Service != b.Service {
			return int(a.Service) - int(b.Service)
		}
		return int(a.Place) - int(b.Place)
	})
	return list
}

// ownShards returns the shards owned here in a fixed order.
func (h *Host) ownShards() []wire.Shard {
	if len(h.shards) == 0 {
		return nil
	}
	list := make([]wire.Shard, 0, len(h.shards))
	for shard := range h.shards {
		list = append(list, shard)
	}
	return sortShards(list)
}

// Status is the state of a shard that this host owns.
type Status struct {
	Shard       wire.Shard
	Incarnation uint64
	Used        int
	Slots       int
	Waiting     int
	Teams       []dispatch.TeamStatus
	Targets     []dispatch.TargetStatus
}

// Status returns the state of the shards owned here.
func (h *Host) Status(now time.Time) []Status {
	var list []Status
	for _, shard := range h.ownShards() {
		s := h.shards[shard]
		used, slots := s.Slots()
		list = append(list, Status{
			Shard: shard, Incarnation: s.Incarnation(), Used: used, Slots: slots, Waiting: s.Waiting(),
			Teams: s.TeamStatus(now), Targets: s.TargetStatus(),
		})
	}
	return list
}

// Live returns the live hosts of this place that can own shards.
func (h *Host) Live() []netip.AddrPort { return h.roster.Live() }

// Links returns the number of hosts that this host has or tries to have a session
// with.
func (h *Host) Links() int { return len(h.links) }
