package placement

import (
	"cmp"
	"time"
)

// choosePlain picks the target with the lowest share of busy slots. A burst on a service with few
// slots waits in this host's queue and not in that of the target. If peers report less often than
// answers take, hosts that relied on the reports would all send to the same target. Each host then
// counts only its own requests and adds a hash that spreads them.
func (b *Board) choosePlain(now time.Time, p *pool, a *Request) Choice {
	var best *targetRecord
	bestScore := 0.0
	usable := 0
	stale := StatePeriod(len(b.peers)+1) > scale(p.answerTime, staleAnswerTimes) && !b.ownsQueue(p)
	score := plainScoring{seed: a.Seed, stale: stale, place: cmp.Or(a.Place, b.place)}
	for _, r := range p.targets {
		if !r.usable(now, a) {
			continue
		}
		usable++
		if !r.warmup.Allows(now) { // a cold target whose rate is used up counts as full
			continue
		}
		if score.load(r).Running >= b.plainSlots(now, p, r) {
			continue
		}
		if s := score.of(r); best == nil || s < bestScore {
			best, bestScore = r, s
		}
	}
	if best == nil {
		if usable == 0 {
			return p.noTargetChoice(now, a)
		}
		return b.refusePlain(now, p)
	}
	return Choice{Target: best.target.ID, Load: Load{Running: 1}, ExpectedTime: best.scaleTime(p.answerTime)}
}

// plainScoring rates plain targets for one request.
type plainScoring struct {
	seed  uint64 // of the request
	stale bool   // the loads that other hosts report are too old to use
	place string // data centre of the caller's host
}

// load returns the load of a target that counts.
func (p plainScoring) load(r *targetRecord) Load {
	if p.stale {
		return r.ownLoad
	}
	return r.load()
}

// of returns the score of a target, the lower the better: its share of busy slots and its failures, and a hash of the
// request if reported loads are stale. Otherwise, among equal targets, one in the caller's data centre is preferred.
func (p plainScoring) of(r *targetRecord) float64 {
	score := r.occupancyScore(p.load(r).Running) + r.health.failures
	switch {
	case p.stale:
		score += hashFraction(hashPair(p.seed, r.key)) * r.speedRatio()
	case r.target.Place != p.place:
		score += 1 / float64(otherPlaceDivisor*r.target.Slots)
	}
	return score
}
