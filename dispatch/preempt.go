package dispatch

import (
	"cmp"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// survey is what the shares of the slots of all places are worked out from. It
// is renewed each tick.
type survey struct {
	slots  int            // slots of all places
	weight float64        // of the teams with work
	held   map[uint32]int // slots held in other places, by team
}

// burstPart is the part of its share that a team may hold beyond it for urgent
// tickets, as long as it has received less than others.
const burstPart = 0.5

// lagRequests is how far the first team may lag behind another, in costliest
// requests, before streams of the other are preempted.
const lagRequests = 1.0

// A team that holds less than its share by fewPart of it may have streams
// preempted at once of teams that hold more than theirs by manyPart of it.
const (
	fewPart  = 0.5
	manyPart = 0.5
)

// takeSurvey renews the survey.
func (s *Shard) takeSurvey(now time.Time) {
	v := survey{slots: s.slots, held: map[uint32]int{}}
	active := map[uint32]bool{}
	s.longest = s.mean.duration
	for number, row := range s.teams {
		active[number] = row.running > 0 || len(row.queue) > 0
		if active[number] {
			s.longest = max(s.longest, s.estimateOf(row).duration)
		}
	}
	for _, peer := range s.peers {
		a := s.account(now, peer.Place)
		if a == nil {
			continue
		}
		v.slots += a.Slots
		for number, r := range a.Rows {
			v.held[number] += int(r.Running)
			active[number] = active[number] || r.Running > 0 || r.Waiting > 0
		}
	}
	for number, is := range active {
		if is {
			v.weight += s.weight(number)
		}
	}
	s.survey = v
}

// over returns by how many slots a team with so many more holds more than its
// share of the slots of all places. The other owners are taken to have changed its
// slots since the last report as this one has.
func (s *Shard) over(row *team, more int) float64 {
	alike := float64(row.running-row.told) * float64(s.survey.slots-s.slots) / float64(max(1, s.slots))
	return float64(s.survey.held[row.number]+row.running+more) + alike - s.fairShare(row)
}

// fairShare returns the share of a team of the slots of all places.
func (s *Shard) fairShare(row *team) float64 {
	return float64(s.survey.slots) * row.weight / max(s.survey.weight, row.weight)
}

// preempt frees slots for urgent tickets of teams that hold less than their
// share of the slots, and for the first team if it lags far behind or holds few
// slots. It cancels the youngest streams of the least urgent class of the teams
// that hold more than their share.
func (s *Shard) preempt(now time.Time) {
	if !s.config.Policy.Fair || len(s.waiting) == 0 || now.Sub(s.searched) < s.searchPause() {
		return
	}
	s.searched = now
	first := s.waiting[0]
	if pressing := s.pressing(); pressing > 0 {
		s.cancel(pressing, 0, 0)
	}
	lag := lagRequests * max(s.costly, s.mean.cost)
	s.cancel(len(first.queue), first.level+lag, max(0, s.over(first, 1)))
	if s.over(first, 1) <= -fewPart*s.fairShare(first) {
		s.cancel(len(first.queue), 0, manyPart*s.fairShare(first))
	}
}

// searchPause returns the least time between two searches for a stream to preempt.
// It grows with the rows that a search looks at, so that the cost of a grant does
// not.
func (s *Shard) searchPause() time.Duration {
	return searchEvery + time.Duration(len(s.grants)+len(s.teams))*searchPerRow
}

// cancel preempts so many streams, less those under way, of teams above a level
// that hold so many slots more than their share.
func (s *Shard) cancel(count int, level, excess float64) {
	for range min(urgentPreempts, count) - s.preempts {
		victim := s.victim(level, excess)
		if victim == nil {
			return
		}
		victim.preempted = true
		s.preempts++
		s.send(victim.key.Host, &wire.Preempt{
			ID: victim.key.ID, Shard: s.config.Shard, Incarnation: s.config.Incarnation,
		})
	}
}

// pressing returns the number of teams that may have a stream preempted.
func (s *Shard) pressing() int {
	count := 0
	for _, row := range s.waiting {
		if s.mayPress(row) {
			count++
		}
	}
	return count
}

// mayPress returns whether the first ticket of a team is urgent and the team
// holds less than its share and what a short burst may take beyond it. A team
// with many tickets is backlogged and waits for its turn.
func (s *Shard) mayPress(row *team) bool {
	if len(row.queue) == 0 || row.queue[0].class != ClassUrgent {
		return false
	}
	if float64(len(row.queue)) > max(1, fewPart*s.fairShare(row)) {
		return false
	}
	return s.over(row, 1) <= burstPart*s.fairShare(row)
}

// victim returns the stream to cancel, or nil if no team above a level holds so
// many slots more than its share and has a stream that can be cancelled. The team
// furthest above its share comes first, whatever the urgency of its streams.
func (s *Shard) victim(level, excess float64) *grant {
	above := map[*team]float64{}
	for _, row := range s.teams {
		if over := s.over(row, 0); row.running > 0 && row.level > level && over > excess {
			above[row] = over / row.weight
		}
	}
	var best *grant
	for _, g := range s.grants {
		over, ok := above[g.team]
		if !ok || g.fixed || g.preempted {
			continue
		}
		if best == nil || over > above[best.team] || over == above[best.team] && precedes(g, best) {
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
