package dispatch

import (
	"cmp"
	"container/heap"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// ticket is a row for one waiting request.
type ticket struct {
	key     Key
	team    *team
	class   uint8
	fixed   bool
	blocks  []uint32
	avoid   uint32
	hops    uint8
	suspect bool
	arrived time.Time
	rank    time.Time // arrival plus the penalty of the class; the earliest goes first
	index   int
}

// grant is a row for one slot in use.
type grant struct {
	key       Key
	team      *team
	target    *target
	class     uint8
	fixed     bool
	preempted bool
	suspect   bool
	since     time.Time
}

// ticketHeap orders the tickets of one team. Because the rank does not change
// with time, a bulk ticket overtakes urgent ones that arrive late enough.
type ticketHeap []*ticket

func (h ticketHeap) Len() int { return len(h) }
func (h ticketHeap) Less(i, j int) bool {
	return cmp.Or(h[i].rank.Compare(h[j].rank), cmp.Compare(h[i].key.ID, h[j].key.ID)) < 0
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	tk := x.(*ticket)
	tk.index = len(*h)
	*h = append(*h, tk)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	tk := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return tk
}

func penalty(class uint8) time.Duration {
	switch class {
	case ClassUrgent:
		return 0
	case ClassNormal:
		return normalPenalty
	default:
		return bulkPenalty
	}
}

// Submit takes a ticket of an entry. A ticket that is known already is not
// entered twice. A ticket that was granted a while ago is entered again, as its
// entry does not have the grant.
func (s *Shard) Submit(now time.Time, host netip.AddrPort, m *wire.Ticket) {
	key := Key{Host: host, ID: m.ID}
	if s.tickets[key] != nil {
		return
	}
	if g := s.grants[key]; g != nil {
		if now.Sub(g.since) < grantAnswer {
			return
		}
		s.drop(g)
	}
	row := s.team(m.Team)
	if reason := s.refusal(row); reason != 0 {
		s.send(host, &wire.Deny{
			ID: m.ID, Shard: s.config.Shard, Reason: reason, RetryAfter: uint32(retryDelay.Milliseconds()),
		})
		return
	}
	arrived := now.Add(-time.Duration(m.Age) * time.Millisecond)
	tk := &ticket{
		key: key, team: row, class: m.Urgency, fixed: m.Fixed, blocks: m.Blocks, avoid: m.AvoidTarget,
		hops: m.Hops, suspect: m.Suspect, arrived: arrived, rank: arrived.Add(penalty(m.Urgency)),
	}
	s.tickets[key] = tk
	if len(row.queue) == 0 && row.index < 0 {
		s.raise(now, row, m)
		s.refresh(now, row)
		heap.Push(&s.waiting, row)
	}
	heap.Push(&row.queue, tk)
	if tk.index == 0 {
		s.refresh(now, row)
	}
}

// refusal returns the reason why no further ticket of a team is taken, or 0.
func (s *Shard) refusal(row *team) uint8 {
	if s.service == nil || len(s.targets) == 0 && len(s.peers) == 0 {
		return ReasonNoTarget
	}
	limit := s.service.Waiting
	if t := s.view.Teams[row.number]; t != nil && t.Waiting > 0 {
		limit = t.Waiting
	}
	if len(row.queue) >= limit {
		return ReasonTeamLimit
	}
	if len(s.tickets) >= s.service.Queue {
		return ReasonQueueLimit
	}
	return 0
}

// unqueue removes a waiting ticket.
func (s *Shard) unqueue(now time.Time, tk *ticket) {
	delete(s.tickets, tk.key)
	heap.Remove(&tk.team.queue, tk.index)
	if len(tk.team.queue) == 0 {
		heap.Remove(&s.waiting, tk.team.index)
		tk.team.index, tk.team.waited = -1, now
		return
	}
	s.refresh(now, tk.team)
}

// End takes the report that a ticket no longer waits or runs.
func (s *Shard) End(now time.Time, host netip.AddrPort, m *wire.End) {
	key := Key{Host: host, ID: m.ID}
	if tk := s.tickets[key]; tk != nil {
		s.unqueue(now, tk)
		return
	}
	g := s.grants[key]
	if g == nil {
		return
	}
	s.drop(g)
	s.learn(now, g, m)
	s.refresh(now, g.team)
}

// Resync takes all that an entry has running at the shard. Former grants to
// the entry that it does not name have ended.
func (s *Shard) Resync(now time.Time, host netip.AddrPort, m *wire.Resync) {
	named := map[uint64]bool{}
	for _, r := range m.Running {
		named[r.ID] = true
	}
	for _, key := range sortedKeys(s.grants) {
		if key.Host == host && !named[key.ID] {
			s.drop(s.grants[key])
		}
	}
	for _, r := range m.Running {
		s.adopt(now, Key{Host: host, ID: r.ID}, r)
	}
	delete(s.expected, host)
}

func (s *Shard) adopt(now time.Time, key Key, r wire.Running) {
	t := s.targets[r.Target]
	if t == nil || s.grants[key] != nil {
		return
	}
	if tk := s.tickets[key]; tk != nil {
		s.unqueue(now, tk)
	}
	since := now.Add(-time.Duration(r.Age) * time.Millisecond)
	s.hold(&grant{
		key: key, team: s.team(r.Team), target: t, class: r.Urgency, since: since, fixed: r.Fixed, suspect: r.Suspect,
	})
}

// Drop removes all tickets and grants of a host that is gone.
func (s *Shard) Drop(now time.Time, host netip.AddrPort) {
	for _, key := range sortedKeys(s.tickets) {
		if key.Host == host {
			s.unqueue(now, s.tickets[key])
		}
	}
	for _, key := range sortedKeys(s.grants) {
		if key.Host == host {
			g := s.grants[key]
			s.drop(g)
			s.refresh(now, g.team)
		}
	}
	delete(s.expected, host)
}

// sortedKeys returns the keys of a table in a fixed order.
func sortedKeys[T any](rows map[Key]T) []Key {
	return slices.SortedFunc(maps.Keys(rows), func(a, b Key) int {
		return cmp.Or(a.Host.Compare(b.Host), cmp.Compare(a.ID, b.ID))
	})
}
