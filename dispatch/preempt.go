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
	if next.queue[0].class != ClassUrgent || s.full(next, 1) {
		return
	}
	victim := s.victim()
	if victim == nil {
		return
	}
	victim.preempted = true
	s.preempts++
	s.send(victim.key.Host, &wire.Preempt{
		ID: victim.key.ID, Shard: s.config.Shard, Incarnation: s.config.Incarnation,
	})
}

// full returns whether a team with so many more slots holds more than its share.
func (s *Shard) full(row *team, more int) bool {
	total := 0.0
	for _, other := range s.teams {
		if other.running > 0 || len(other.queue) > 0 {
			total += other.weight
		}
	}
	share := float64(s.slots) * row.weight / max(total, row.weight)
	return float64(row.running+more) > share
}

func (s *Shard) victim() *grant {
	over := map[*team]bool{}
	for _, row := range s.teams {
		over[row] = row.running > 0 && s.full(row, 0)
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
