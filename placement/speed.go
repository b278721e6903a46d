package placement

import (
	"math"
	"time"

	"github.com/cassiachute/cassiachute/speed"
)

const (
	sharedSpeedPerHost  = 25 * time.Millisecond // between two reports of speeds, for each host of the fleet
	sharedSpeedLifetime = 30 * time.Second      // for which the speed that an owner reported last is used
	stepKeepTime        = 15 * time.Second      // for which a step is kept without enough samples, so that no prompts move back and forth
	maxSharedSpeeds     = 256                   // targets in one PeerState
	maxSpeedChanges     = 64                    // changes that are kept until they are taken
	failureProbeTime    = 2 * time.Second       // after which a target that failed is tried again
	fewFailures         = 0.05                  // failure rate up to which a target may count as a fast one
	minSuccessRate      = 0.1                   // least fraction of requests that count as answered
	minSlowStep         = 2                     // step from which a request waits for another target: twice the mean time
	stepGoalFraction    = 0.9                   // fraction of the required interval between events up to which a target may slow
	plainStepFraction   = 0.3                   // fraction of the tightest goal of a plain service up to which a target may slow
)

// targetSpeed holds the speed of one target as this host measures it, and as its owner reports it.
type targetSpeed struct {
	estimate speed.Estimate
	knee     speed.Knee
	step     speed.Step // by the measurements of this host while it owns the target, else as its owner reported
	failedAt time.Time  // when a request failed there last
	knownAt  time.Time  // when there were enough samples last
	shared   SharedSpeed
	sharedAt time.Time // when its owner reported it, zero if the owner does not
	ratio    float64   // in decisions, as of the last refresh; 0 stands for 1
}

// SharedSpeed is the speed of a target that differs from the mean of its service, as its owner reports it.
type SharedSpeed struct {
	Target string
	Ratio  float64 // time that it takes, relative to the mean
	Step   int8    // speed.Step, for the choice of preferred engines
}

// SpeedChange records that this host believes something else about a target that it owns.
type SpeedChange struct {
	Target  string
	Ratio   float64
	Step    int8
	Slots   int // that it may have, as far as its speed is concerned
	Samples uint64
	Age     time.Duration // of the last sample
}

// SetLateness sets the mean lateness of this host, which is left out of the times that it measures itself.
func (b *Board) SetLateness(lateness time.Duration) { b.lateness = lateness }

// latenessOf returns the lateness of the host that measures the times of a request.
func (b *Board) latenessOf(a *Request) time.Duration {
	if a.Remote {
		return a.Lateness
	}
	return b.lateness
}

// speedRatio returns the time that a target takes relative to the mean of its service. A target that failed lately is
// never taken for a fast one, since failures are quick.
func (r *targetRecord) speedRatio() float64 {
	if r.speed.ratio == 0 || r.speed.ratio < 1 && r.failedLately() {
		return 1
	}
	return r.speed.ratio
}

// failedLately reports whether a request failed at a target and few were answered since.
func (r *targetRecord) failedLately() bool { return r.health.failures >= fewFailures }

// delayFactor returns the factor by which work at a target takes longer than the model of its service says. Without a
// speed of its own it is the slowdown, which also shows when all targets are slower than the model.
func (r *targetRecord) delayFactor() float64 {
	if ratio := r.speedRatio(); ratio != 1 {
		return ratio
	}
	return r.health.slowdown()
}

// tooSlowFor reports whether a target has taken twice the mean time of its service for some seconds, and the interval between its
// events is too long for the answer of a request to be complete in time. Both are needed: the interval alone also grows
// in short spells, and stays as it was when no streams run.
func (r *targetRecord) tooSlowFor(a *Request, tokensPerEvent int) bool {
	if r.speed.step.Value() < minSlowStep || r.speedRatio() <= 1 {
		return false
	}
	required := a.requiredEventGap(tokensPerEvent)
	return required > 0 && r.meanEventGap > required
}

// failureScore returns the score of a target in which the requests that fail there count: each one that is answered takes
// several. After a time without failures, the target gets requests again, which show whether it still fails.
func (r *targetRecord) failureScore(now time.Time, score time.Duration) time.Duration {
	if !r.health.failing() || now.Sub(r.speed.failedAt) > failureProbeTime {
		return score
	}
	return scale(score, 1/max(minSuccessRate, 1-r.health.failures))
}

// scaleTime returns the time that a target takes for what takes a time at the mean speed.
func (r *targetRecord) scaleTime(d time.Duration) time.Duration {
	if ratio := r.speedRatio(); ratio != 1 {
		return scale(d, ratio)
	}
	return d
}

// meanTime returns the time at the mean speed of what took a time at a target.
func (r *targetRecord) meanTime(took time.Duration) time.Duration {
	if ratio := r.speedRatio(); ratio != 1 {
		return scale(took, 1/ratio)
	}
	return took
}

// observeSpeed records the time that a target took, compared with what the service's mean leads to expect.
func (p *pool) observeSpeed(now time.Time, r *targetRecord, took, expected, lateness time.Duration) {
	if sample, ok := speed.Sample(took-min(lateness, took/2), expected); ok {
		p.speeds.Observe(now, &r.speed.estimate, sample, r.load().Running, p.slotsOf(r))
	}
}

// observeStep records the time of one step of a target's work while a number of requests ran: the interval between two
// events, or a whole answer.
func (r *targetRecord) observeStep(now time.Time, p *pool, running int, took time.Duration) {
	r.speed.knee.Observe(now, running, p.slotsOf(r), took)
}

// slotsOf returns the slots of a target by its configuration.
func (p *pool) slotsOf(r *targetRecord) int {
	if p.engine != nil {
		return p.engine.Slots
	}
	return r.target.Slots
}

// refreshSpeeds computes the ratios of all targets.
func (b *Board) refreshSpeeds(now time.Time) {
	for _, p := range b.pools {
		if !p.speeds.Due(now, len(p.targets)) {
			continue
		}
		p.speeds.Begin(now)
		for _, r := range p.targets {
			p.speeds.Add(now, &r.speed.estimate)
		}
		p.speeds.Finish()
		weighted, moved := false, false
		for _, r := range p.targets {
			moved = b.refreshSpeed(now, p, r) || moved
			weighted = weighted || r.speed.step.Value() != 0
		}
		p.weighted = weighted
		if moved {
			p.epoch++
		}
	}
}

// refreshKnees finds out which of the targets that this host decides about slow before all their slots are taken.
func (b *Board) refreshKnees(now time.Time) {
	for _, p := range b.pools {
		goal, wanted := p.stepGoal()
		if !wanted || !p.knees.Due(now) {
			continue
		}
		p.knees.Begin(now)
		for _, r := range p.targets {
			p.knees.Add(now, &r.speed.knee)
		}
		for _, r := range p.targets {
			switch {
			case !b.measures(p, r):
				r.speed.knee.Release()
			case p.knees.Update(now, &r.speed.knee, goal):
				b.noteSpeed(now, r)
			}
		}
	}
}

// stepGoal returns the time of a step up to which no caller minds that a target slows, and false if no caller minds at
// all. The answers of a plain target are its steps; the queue takes a part of their goal.
func (p *pool) stepGoal() (time.Duration, bool) {
	if p.engine != nil {
		return scale(p.requiredEventGap, stepGoalFraction), p.requiredEventGap > 0
	}
	return scale(p.tightestGoal, plainStepFraction), p.tightestGoal > 0
}

// measures reports whether this host decides about a target by its own measurements. Hosts that choose plain targets for
// themselves do, unless host states are too old to show who uses a slot: a full target would look slow.
func (b *Board) measures(p *pool, r *targetRecord) bool {
	if p.engine == nil && !p.central.enabled {
		return len(b.peers)+1 < minCentralHosts
	}
	return r.owner == b.self
}

// refreshSpeed updates the ratio and the step of a target, and reports whether its step changed.
func (b *Board) refreshSpeed(now time.Time, p *pool, r *targetRecord) bool {
	s := &r.speed
	if !b.measures(p, r) {
		return s.follow(now)
	}
	p.speeds.Update(now, &s.estimate)
	s.ratio = s.estimate.Ratio()
	if s.estimate.Known() {
		s.knownAt = now
	} else if now.Sub(s.knownAt) < stepKeepTime {
		return false
	}
	if !s.step.Follow(now, math.Log(r.steadyRatio())) {
		return false
	}
	b.stepsChanged = true
	b.noteSpeed(now, r)
	return true
}

// follow uses what the owner of a target reported of it, and reports whether that changed the step.
func (s *targetSpeed) follow(now time.Time) bool {
	before := s.step.Value()
	if s.sharedAt.IsZero() || now.Sub(s.sharedAt) > sharedSpeedLifetime {
		s.ratio = 1
		s.step.Set(now, 0)
	} else {
		s.ratio, s.knownAt = s.shared.Ratio, now
		s.step.Set(now, s.shared.Step)
	}
	return s.step.Value() != before
}

// noteSpeed keeps a change of a target that this host owns.
func (b *Board) noteSpeed(now time.Time, r *targetRecord) {
	if len(b.speedChanges) >= maxSpeedChanges {
		return
	}
	s := &r.speed
	b.speedChanges = append(b.speedChanges, SpeedChange{
		Target: r.target.ID, Ratio: r.speedRatio(), Step: s.step.Value(), Slots: s.knee.Limit(b.pool(r.target.Service).slotsOf(r)),
		Samples: s.estimate.Samples(), Age: s.estimate.Age(now),
	})
}

// TakeSpeedChanges returns the changes since the last call.
func (b *Board) TakeSpeedChanges() []SpeedChange {
	changes := b.speedChanges
	b.speedChanges = nil
	return changes
}

// steadyRatio returns the ratio of a target over some seconds. Others use it for longer than a spell lasts.
func (r *targetRecord) steadyRatio() float64 {
	steady := r.speed.estimate.Steady()
	if r.failedLately() {
		steady = max(0, steady)
	}
	return math.Exp(steady)
}

// addSpeeds adds the owned targets that differ from the mean of their service to a PeerState. Since they change slowly, a
// large fleet has them in few of its reports, and when a step changes.
func (b *Board) addSpeeds(now time.Time, n *PeerState) {
	if !b.stepsChanged && now.Sub(b.speedsSentAt) < time.Duration(len(b.peers)+1)*sharedSpeedPerHost {
		return
	}
	b.speedsSentAt, b.stepsChanged, n.Speeds = now, false, []SharedSpeed{}
	for _, p := range b.pools {
		for _, r := range p.owned {
			ratio, step := r.steadyRatio(), r.speed.step.Value()
			if (ratio != 1 || step != 0) && len(n.Speeds) < maxSharedSpeeds {
				n.Speeds = append(n.Speeds, SharedSpeed{Target: r.target.ID, Ratio: ratio, Step: step})
			}
		}
	}
}

// applySpeeds takes over the speeds that the owner of targets reports. Targets that it reported before and does not
// report any more are like the others again. It returns the speeds that are in force; a report without speeds leaves
// them as they are.
func (b *Board) applySpeeds(now time.Time, from uint64, speeds []SharedSpeed) []SharedSpeed {
	before := b.sharedSpeeds(from)
	if speeds == nil {
		return before
	}
	for _, s := range before {
		if r := b.targets[s.Target]; r != nil && r.owner == from {
			r.speed.sharedAt = time.Time{}
		}
	}
	for _, s := range speeds {
		r := b.targets[s.Target]
		if r == nil || r.owner != from || math.IsNaN(s.Ratio) || s.Ratio <= 0 {
			continue
		}
		r.speed.shared, r.speed.sharedAt = s, now
	}
	return speeds
}

// sharedSpeeds returns the speeds that a host reported last.
func (b *Board) sharedSpeeds(from uint64) []SharedSpeed {
	if p := b.peers[from]; p != nil {
		return p.speeds
	}
	return nil
}

// ranked is a target and its hash with a prompt.
type ranked struct {
	target *targetRecord
	hash   uint64
}

// topTwo holds the two targets with the highest hashes.
type topTwo [2]ranked

// add adds a target.
func (t *topTwo) add(r *targetRecord, hash uint64) {
	switch {
	case t[0].target == nil || hash > t[0].hash:
		t[0], t[1] = ranked{target: r, hash: hash}, t[0]
	case t[1].target == nil || hash > t[1].hash:
		t[1] = ranked{target: r, hash: hash}
	}
}

// weightedRendezvous is rendezvous for a service of which some targets are faster or slower than others by a step. Only
// the best two of each step are ranked, which saves a logarithm for each target.
func (p *pool) weightedRendezvous(a *Request, prefix uint64) (first, second *targetRecord) {
	var best [speed.Steps]topTwo
	for _, r := range p.targets {
		if !r.closed() && a.allows(r.region) && a.AllowsVersion(r.target.Version) {
			best[r.speed.step.Value()-speed.MinStep].add(r, hashPair(prefix, r.key))
		}
	}
	firstRank, secondRank := 0.0, 0.0
	for step := range best {
		for _, t := range best[step] {
			if t.target == nil {
				break
			}
			rank := speed.Rank(t.hash, int8(step+speed.MinStep))
			switch {
			case first == nil || rank > firstRank:
				second, secondRank = first, firstRank
				first, firstRank = t.target, rank
			case second == nil || rank > secondRank:
				second, secondRank = t.target, rank
			}
		}
	}
	return first, second
}

// occupancyScore returns the work at a plain target with one more request, in slots at the mean speed and less the share of
// one request, so that it is the fraction of busy slots if all targets are alike.
func (r *targetRecord) occupancyScore(running int) float64 {
	slots := float64(r.target.Slots)
	if ratio := r.speedRatio(); ratio != 1 {
		return (float64(running+1)*ratio - 1) / slots
	}
	return float64(running) / slots
}

// plainCapacity returns the slots of a plain target that may be used, in slots at the mean speed.
func (r *targetRecord) plainCapacity() float64 {
	return float64(r.speed.knee.Limit(r.target.Slots)) / r.speedRatio()
}

// SpeedCounts counts the targets that this host takes for slower or faster than the mean of their service.
type SpeedCounts struct{ Slower, Faster, Limited int }

// SpeedCounts counts the targets that differ from the mean of their service.
func (b *Board) SpeedCounts() SpeedCounts {
	var c SpeedCounts
	for _, r := range b.targets {
		if r.speed.knee.Limited() {
			c.Limited++
		}
		switch ratio := r.speedRatio(); {
		case ratio > 1:
			c.Slower++
		case ratio < 1:
			c.Faster++
		}
	}
	return c
}
