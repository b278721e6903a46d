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

// ticket is one waiting request.
type ticket struct {
	key            Key // host that submitted it and number there
	team           *team
	class          uint8     // urgency
	nonPreemptible bool      // may not be cancelled once it runs
	prefixBlocks   []uint32  // hashes of the blocks of the prompt, to find a target that has them cached
	avoidTarget    uint32    // target that the request is not sent to if there is another
	hops           uint8     // how often it was moved between places
	suspect        bool      // ran on a target that crashed
	arrivedAt      time.Time // arrival at the first host
	rank           time.Time // arrival plus the penalty of the class; the earliest goes first
	heapIndex      int       // index in the queue of its team
}

// grant is one slot in use.
type grant struct {
	key            Key
	team           *team
	target         *target
	class          uint8     // urgency
	nonPreemptible bool      // may not be cancelled
	preempting     bool      // the host that holds it was told to cancel it
	suspect        bool      // ran before on a target that crashed
	grantedAt      time.Time // when the slot was granted
}

// ticketHeap is a heap of the tickets of one team by rank. A rank does not change with time, so a
// bulk ticket overtakes urgent ones that arrive late enough.
type ticketHeap []*ticket

// Len implements heap.Interface.
func (h ticketHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ticketHeap) Less(i, j int) bool {
	return cmp.Or(h[i].rank.Compare(h[j].rank), cmp.Compare(h[i].key.ID, h[j].key.ID)) < 0
}

// Swap implements heap.Interface.
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	tk := x.(*ticket)
	tk.heapIndex = len(*h)
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

// classPenalty returns how much later than an urgent ticket a ticket of a class is ranked.
func classPenalty(class uint8) time.Duration {
	switch class {
	case ClassUrgent:
		return 0
	case ClassNormal:
		return normalPenalty
	default:
		return bulkPenalty
	}
}

// Submit queues a ticket of a host, or denies it. A ticket that waits already is ignored. One
// that was granted less than grantDeliveryTime ago is ignored too, as the grant is on its way;
// after that time the grant counts as lost and the ticket is queued again.
func (s *Shard) Submit(now time.Time, host netip.AddrPort, m *wire.Ticket) {
	key := Key{Host: host, ID: m.ID}
	if s.tickets[key] != nil {
		return
	}
	if g := s.grants[key]; g != nil {
		if now.Sub(g.grantedAt) < grantDeliveryTime {
			return
		}
		s.removeGrant(g)
	}
	tm := s.ensureTeam(m.Team)
	if reason := s.denyReason(tm); reason != 0 {
		s.send(host, &wire.Denial{
			ID: m.ID, Shard: s.config.Shard, Reason: reason, RetryAfter: uint32(retryDelay.Milliseconds()),
		})
		return
	}
	arrived := now.Add(-time.Duration(m.Age) * time.Millisecond)
	tk := &ticket{
		key: key, team: tm, class: m.Urgency, nonPreemptible: m.Fixed, prefixBlocks: m.Blocks, avoidTarget: m.AvoidTarget,
		hops: m.Hops, suspect: m.Suspect, arrivedAt: arrived, rank: arrived.Add(classPenalty(m.Urgency)),
	}
	s.tickets[key] = tk
	if len(tm.queue) == 0 && tm.heapIndex < 0 {
		s.limitCredit(now, tm, m)
		s.updateLevel(now, tm)
		heap.Push(&s.waiting, tm)
	}
	heap.Push(&tm.queue, tk)
	if tk.heapIndex == 0 {
		s.updateLevel(now, tm)
	}
}

// denyReason returns the Reason for which a further ticket of a team is denied, or 0 if it is
// taken.
func (s *Shard) denyReason(tm *team) uint8 {
	if s.service == nil || len(s.targets) == 0 && len(s.peers) == 0 {
		return ReasonNoTarget
	}
	limit := s.service.MaxWaitingPerTeam
	if t := s.view.Teams[tm.number]; t != nil && t.MaxWaiting > 0 {
		limit = t.MaxWaiting
	}
	if len(tm.queue) >= limit {
		return ReasonTeamLimit
	}
	if len(s.tickets) >= s.service.MaxWaiting {
		return ReasonQueueLimit
	}
	return 0
}

// dequeue removes a waiting ticket from the queue of its team.
func (s *Shard) dequeue(now time.Time, tk *ticket) {
	delete(s.tickets, tk.key)
	heap.Remove(&tk.team.queue, tk.heapIndex)
	if len(tk.team.queue) == 0 {
		heap.Remove(&s.waiting, tk.team.heapIndex)
		tk.team.heapIndex, tk.team.emptiedAt = -1, now
		return
	}
	s.updateLevel(now, tk.team)
}

// End records that a ticket was withdrawn, or that a running request ended.
func (s *Shard) End(now time.Time, host netip.AddrPort, m *wire.RequestEnd) {
	key := Key{Host: host, ID: m.ID}
	if tk := s.tickets[key]; tk != nil {
		s.dequeue(now, tk)
		return
	}
	g := s.grants[key]
	if g == nil {
		return
	}
	s.removeGrant(g)
	s.recordEnd(now, g, m)
	s.updateLevel(now, g.team)
}

// Resync replaces what the shard knows of the running requests of a host by the full list that
// the host sends. Grants to the host that the list does not name have ended.
func (s *Shard) Resync(now time.Time, host netip.AddrPort, m *wire.Resync) {
	named := map[uint64]bool{}
	for _, r := range m.Running {
		named[r.ID] = true
	}
	for _, key := range sortedKeys(s.grants) {
		if key.Host == host && !named[key.ID] {
			s.removeGrant(s.grants[key])
		}
	}
	for _, r := range m.Running {
		s.adoptRunning(now, Key{Host: host, ID: r.ID}, r)
	}
	delete(s.unsynced, host)
}

// adoptRunning enters a grant for a request that a host says is running, unless it is known
// already or the target is unknown.
func (s *Shard) adoptRunning(now time.Time, key Key, r wire.RunningRequest) {
	t := s.targets[r.Target]
	if t == nil || s.grants[key] != nil {
		return
	}
	if tk := s.tickets[key]; tk != nil {
		s.dequeue(now, tk)
	}
	since := now.Add(-time.Duration(r.Age) * time.Millisecond)
	s.addGrant(&grant{
		key: key, team: s.ensureTeam(r.Team), target: t, class: r.Urgency, grantedAt: since, nonPreemptible: r.Fixed, suspect: r.Suspect,
	})
}

// RemoveHost removes all tickets and grants of a host that is gone.
func (s *Shard) RemoveHost(now time.Time, host netip.AddrPort) {
	for _, key := range sortedKeys(s.tickets) {
		if key.Host == host {
			s.dequeue(now, s.tickets[key])
		}
	}
	for _, key := range sortedKeys(s.grants) {
		if key.Host == host {
			g := s.grants[key]
			s.removeGrant(g)
			s.updateLevel(now, g.team)
		}
	}
	delete(s.unsynced, host)
}

// sortedKeys returns the keys of a table, sorted so that runs are reproducible.
func sortedKeys[T any](rows map[Key]T) []Key {
	return slices.SortedFunc(maps.Keys(rows), func(a, b Key) int {
		return cmp.Or(a.Host.Compare(b.Host), cmp.Compare(a.ID, b.ID))
	})
}
