package dispatch

import (
	"cmp"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// shareInputs holds what the share of each team of the slots of all places is computed from. It
// is recomputed each tick.
type shareInputs struct {
	slots         int            // slots of all places
	weight        float64        // sum of the weights of the teams with work
	remoteRunning map[uint32]int // slots held in other places, by team
}

// urgentBurstPart limits what a team may hold beyond its share for urgent tickets, as a part of
// the share.
const urgentBurstPart = 0.5

// minPreemptionLag is how far the first waiting team must lag behind another before streams of
// the other are preempted, in requests of the highest cost seen.
const minPreemptionLag = 1.0

// The first waiting team, if it holds less than its share by at least underSharePart of the share,
// has streams preempted of teams that exceed their shares by more than overSharePart of that same
// share, whatever their levels.
const (
	underSharePart = 0.5
	overSharePart  = 0.5
)

// updateShareInputs recomputes shareInputs and maxMeanDuration from the teams with work here and
// in the last reports of other places.
func (s *Shard) updateShareInputs(now time.Time) {
	v := shareInputs{slots: s.slots, remoteRunning: map[uint32]int{}}
	active := map[uint32]bool{}
	s.maxMeanDuration = s.meanEstimate.duration
	for number, tm := range s.teams {
		active[number] = tm.running > 0 || len(tm.queue) > 0
		if active[number] {
			s.maxMeanDuration = max(s.maxMeanDuration, s.estimateOf(tm).duration)
		}
	}
	for _, peer := range s.peers {
		a := s.freshAccount(now, peer.Place)
		if a == nil {
			continue
		}
		v.slots += a.Slots
		for number, r := range a.Teams {
			v.remoteRunning[number] += int(r.Running)
			active[number] = active[number] || r.Running > 0 || r.Waiting > 0
		}
	}
	for number, hasWork := range active {
		if hasWork {
			v.weight += s.teamWeight(number)
		}
	}
	s.shareInputs = v
}

// excessSlots returns by how many slots a team would exceed its share of the slots of all places
// if it held more slots in addition. The other owners are assumed to have changed its slots since
// the last report in the same proportion as this one.
func (s *Shard) excessSlots(tm *team, more int) float64 {
	remoteChange := float64(tm.running-tm.reportedRunning) * float64(s.shareInputs.slots-s.slots) / float64(max(1, s.slots))
	return float64(s.shareInputs.remoteRunning[tm.number]+tm.running+more) + remoteChange - s.fairShare(tm)
}

// fairShare returns the slots of all places that a team is entitled to by its weight.
func (s *Shard) fairShare(tm *team) float64 {
	return float64(s.shareInputs.slots) * tm.weight / max(s.shareInputs.weight, tm.weight)
}

// preempt frees slots for urgent tickets of teams that hold less than their share, and for the
// first waiting team if it lags far behind or holds few slots. It cancels streams of teams that
// hold more than their share, the least urgent and youngest first.
func (s *Shard) preempt(now time.Time) {
	if !s.config.Policy.Fair || len(s.waiting) == 0 || now.Sub(s.victimSearchedAt) < s.victimSearchInterval() {
		return
	}
	s.victimSearchedAt = now
	first := s.waiting[0]
	if pressing := s.countUrgentTeams(); pressing > 0 {
		s.preemptStreams(pressing, 0, 0)
	}
	lag := minPreemptionLag * max(s.maxCost, s.meanEstimate.cost)
	s.preemptStreams(len(first.queue), first.level+lag, max(0, s.excessSlots(first, 1)))
	if s.excessSlots(first, 1) <= -underSharePart*s.fairShare(first) {
		s.preemptStreams(len(first.queue), 0, overSharePart*s.fairShare(first))
	}
}

// victimSearchInterval returns the minimum time between two searches for a stream to preempt. It
// grows with the number of grants and teams that a search scans, so that the mean time that searches
// add to a grant stays the same.
func (s *Shard) victimSearchInterval() time.Duration {
	return minVictimSearchInterval + time.Duration(len(s.grants)+len(s.teams))*victimSearchPerRow
}

// preemptStreams preempts count streams, limited to maxPreemptions and less the preemptions under
// way, of teams above a level that hold more than excess slots beyond their share.
func (s *Shard) preemptStreams(count int, level, excess float64) {
	for range min(maxPreemptions, count) - s.pendingPreemptions {
		victim := s.victim(level, excess)
		if victim == nil {
			return
		}
		victim.preempting = true
		s.pendingPreemptions++
		s.send(victim.key.Host, &wire.PreemptStream{
			ID: victim.key.ID, Shard: s.config.Shard, Incarnation: s.config.Incarnation,
		})
	}
}

// countUrgentTeams returns the number of waiting teams for which mayUseUrgency holds.
func (s *Shard) countUrgentTeams() int {
	count := 0
	for _, tm := range s.waiting {
		if s.mayUseUrgency(tm) {
			count++
		}
	}
	return count
}

// mayUseUrgency returns whether the first ticket of a team is urgent and may be preferred: the
// team holds no more than its share and a short burst. A team with many waiting tickets is
// backlogged and waits for its turn.
func (s *Shard) mayUseUrgency(tm *team) bool {
	if len(tm.queue) == 0 || tm.queue[0].class != ClassUrgent {
		return false
	}
	if float64(len(tm.queue)) > max(1, underSharePart*s.fairShare(tm)) {
		return false
	}
	return s.excessSlots(tm, 1) <= urgentBurstPart*s.fairShare(tm)
}

// victim returns the stream to cancel, or nil if no team above a level holds more than excess
// slots beyond its share and has a stream that can be cancelled. The team furthest above its
// share by weight comes first, whatever the urgency of its streams.
func (s *Shard) victim(level, excess float64) *grant {
	above := map[*team]float64{}
	for _, tm := range s.teams {
		if over := s.excessSlots(tm, 0); tm.running > 0 && tm.level > level && over > excess {
			above[tm] = over / tm.weight
		}
	}
	var best *grant
	for _, g := range s.grants {
		over, ok := above[g.team]
		if !ok || g.nonPreemptible || g.preempting {
			continue
		}
		if best == nil || over > above[best.team] || over == above[best.team] && precedes(g, best) {
			best = g
		}
	}
	return best
}

// precedes orders grants for preemption: the least urgent first, then the youngest, then by key.
func precedes(a, b *grant) bool {
	return cmp.Or(
		cmp.Compare(b.class, a.class),
		b.grantedAt.Compare(a.grantedAt),
		cmp.Compare(a.key.ID, b.key.ID),
		a.key.Host.Compare(b.key.Host),
	) < 0
}
