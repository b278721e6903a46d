package dispatch

import (
	"cmp"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// preempt frees a slot for an urgent ticket of a team that holds less than its
// share of the slots. It cancels the youngest stream of the least urgent class
// among the teams that hold more than their share.
func (s *Shard) preempt(now time.Time) {
	if !s.config.Policy.Fair || len(s.waiting) == 0 || s.preempts >= urgentPreempts {
		return
	}
	next := s.waiting[0]
	if next.queue[0].class != ClassUrgent || s.full(now, next, 1) {
		return
	}
	victim := s.victim(now)
	if victim == nil {
		return
	}
	victim.preempted = true
	s.preempts++
	s.send(victim.key.Host, &wire.Preempt{
		ID: victim.key.ID, Shard: s.config.Shard, Incarnation: s.config.Incarnation,
	})
}

// full returns whether a team with so many more slots holds more than its share
// of the slots of all places.
func (s *Shard) full(now time.Time, row *team, more int) bool {
	slots, held, total := s.slots, row.running+more, 0.0
	active := map[uint32]bool{}
	for number, other := range s.teams {
		active[number] = other.running > 0 || len(other.queue) > 0
	}
	for _, peer := range s.peers {
		a := s.account(now, peer.Place)
		if a == nil {
			continue
		}
		slots += a.Slots
		held += int(a.Rows[row.number].Running)
		for number, r := range a.Rows {
			active[number] = active[number] || r.Running > 0 || r.Waiting > 0
		}
	}
	for number, is := range active {
		if is {
			total += s.weight(number)
		}
	}
	return float64(held) > float64(slots)*row.weight/max(total, row.weight)
}

func (s *Shard) victim(now time.Time) *grant {
	over := map[*team]bool{}
	for _, row := range s.teams {
		over[row] = row.running > 0 && s.full(now, row, 0)
	}
	var best *grant
	for _, g := range s.grants {
		if g.fixed || g.preempted || !over[g.team] {
			continue
		}
		if best == nil || precedes(g, best) {
			best = g
		}
	}
	return best
}

// precedes orders grants for preemption: less urgent, then younger, then by key.
func precedes(a, b *grant) bool {
	return cmp.Or(
		cmp.Compare(b.class, a.class),
		b.since.Compare(a.since),
		cmp.Compare(a.key.ID, b.key.ID),
		a.key.Host.Compare(b.key.Host),
	) < 0
}
