package placement

import (
	"math"
	"time"

	"github.com/cassiachute/cassiachute/warmup"
)

const (
	suspicionHeartbeats = 3                      // heartbeats that a target may take to say that it has started again
	maxRunningGap       = 500 * time.Millisecond // between two signs that this host runs; after a longer one it was suspended
	maxColdChanges      = 256                    // changes that are kept until they are taken
	maxSuspicions       = 64                     // suspected targets in one PeerState
	coldListLifetime    = time.Second            // for which a list of targets shows that a target is still cold
)

// Suspicion tells that a host could not reach a target, which may have started again and be cold.
type Suspicion struct {
	Target string
	Since  time.Time
	Until  time.Time
}

// ColdChange is a change of a target owned by this host: it counts as cold or suspected from now on, or an answer ended
// the suspicion.
type ColdChange struct {
	Target  string
	Reason  warmup.Reason
	Until   time.Time // when it will be warm
	Granted uint64    // requests granted so far while it was cold or suspected
}

// SetHeartbeat sets the interval at which targets renew their entries.
func (b *Board) SetHeartbeat(interval time.Duration) { b.heartbeat = interval }

// configureCold sets the cold start of a target from that of its service.
func (b *Board) configureCold(r *targetRecord) {
	p := b.pool(r.target.Service)
	r.warmup.Configure(p.coldStart, p.coldRate)
}

// updateCold applies the cold start in the entry of a target, and reports whether a cold period began. previousUntil is the
// end of the cold start in the entry before; an entry that is listed again without a change is not new information.
func (b *Board) updateCold(r *targetRecord, previousUntil time.Time, restarted bool) bool {
	b.configureCold(r)
	return (restarted || !previousUntil.Equal(r.target.ColdUntil)) && r.warmup.SetCold(r.target.ColdUntil, restarted)
}

// KeepCold records that the list of targets was still current at a time. Targets that are cold according to it stay cold
// for coldListLifetime after that time, whatever end the list gave. Hosts do not pass on a list in which only the
// remaining times changed, which is the case if a target becomes cold again before it was warm.
func (b *Board) KeepCold(at time.Time) {
	for _, r := range b.targets {
		if r.target.Cold > 0 {
			r.warmup.KeepCold(at.Add(coldListLifetime))
		}
	}
}

// suspectCold records that a target may have started again at a time.
func (b *Board) suspectCold(r *targetRecord, at time.Time, reason warmup.Reason) {
	if r.warmup.Suspect(at, suspicionHeartbeats*b.heartbeat) {
		b.recordColdChange(r, reason)
	}
}

// ReportableDuration returns the duration of an answer as it is reported to the owner of the target, which takes it as
// proof that the target's process was running when the answer began. An answer that is read right after a suspension of
// this host may have arrived long before, so its duration is cut to one that proves nothing.
func (b *Board) ReportableDuration(now time.Time, took time.Duration) time.Duration {
	if b.justResumed(now) {
		return min(took, warmup.EvidenceMargin)
	}
	return took
}

// justResumed records that this host runs, and reports whether it was suspended until shortly before.
func (b *Board) justResumed(now time.Time) bool {
	b.RecordRunning(now)
	return !b.resumedAt.IsZero() && now.Sub(b.resumedAt) < warmup.Window
}

// recordAlive records an answer of a process of a target that ran at ranAt already.
func (b *Board) recordAlive(now time.Time, r *targetRecord, ranAt time.Time) {
	if !b.justResumed(now) && r.warmup.RecordAlive(now, ranAt) {
		b.recordColdChange(r, warmup.ReasonAlive)
	}
}

// recordColdChange keeps a change of a target for the log of its owner. Changes beyond maxColdChanges are dropped.
func (b *Board) recordColdChange(r *targetRecord, reason warmup.Reason) {
	if r.owner != b.self || !r.warmup.Limited() || len(b.coldChanges) >= maxColdChanges {
		return
	}
	granted, _ := r.warmup.Counts()
	b.coldChanges = append(b.coldChanges, ColdChange{Target: r.target.ID, Reason: reason, Until: r.warmup.Until(), Granted: granted})
}

// TakeColdChanges returns the changes since the last call.
func (b *Board) TakeColdChanges() []ColdChange {
	changes := b.coldChanges
	b.coldChanges = nil
	return changes
}

// RecordRunning records that this host runs at a time. If it was suspended since the last time, it waits again before it
// sends to cold targets. After a long suspension, all targets that may be cold count as cold for a moment, until this
// host has heard of them again.
func (b *Board) RecordRunning(now time.Time) {
	gap := now.Sub(b.lastRunning)
	if gap <= 0 {
		return
	}
	if gap > maxRunningGap && !b.lastRunning.IsZero() {
		b.resumeAfter(now, gap)
	}
	b.lastRunning = now
}

// resumeAfter applies a suspension of this host to the limiters of all targets.
func (b *Board) resumeAfter(now time.Time, gap time.Duration) {
	b.resumedAt = now
	for _, r := range b.targets {
		r.warmup.Suspend()
		if gap > warmup.Window {
			r.warmup.Distrust(now)
		}
	}
}

// addSuspicions adds the suspicions that this host found itself to a PeerState.
func (b *Board) addSuspicions(now time.Time, s *PeerState) {
	for id, r := range b.targets {
		since, until, ok := r.warmup.OwnSuspicion(now)
		if ok && len(s.Suspicions) < maxSuspicions {
			s.Suspicions = append(s.Suspicions, Suspicion{Target: id, Since: since, Until: until})
		}
	}
}

// applySuspicion applies the suspicion of another host.
func (b *Board) applySuspicion(s Suspicion) {
	r := b.targets[s.Target]
	if r != nil && r.warmup.SuspectUntil(s.Since, s.Until) {
		b.recordColdChange(r, warmup.ReasonPeer)
	}
}

// MayBeCold reports whether a target is cold or suspected of it.
func (b *Board) MayBeCold(now time.Time, target string) bool {
	b.RecordRunning(now)
	r := b.targets[target]
	return r != nil && r.warmup.Cold(now)
}

// coldWait returns how long a request waits behind a number of others while all targets of a service are cold: until the
// targets of this host took the others, or until one is warm. It returns 0 if one is warm, or none is usable.
func (b *Board) coldWait(now time.Time, p *pool, ahead int) time.Duration {
	perSecond := 0.0
	untilWarm := time.Duration(math.MaxInt64)
	for _, r := range p.targets {
		switch {
		case r.closed() || r.isPaused(now, false) || !r.health.usable(now):
			continue
		case !r.warmup.Cold(now):
			return 0
		case r.owner == b.self:
			perSecond += p.coldRate
		}
		untilWarm = min(untilWarm, r.warmup.Until().Sub(now))
	}
	switch {
	case untilWarm == math.MaxInt64:
		return 0
	case perSecond == 0:
		return untilWarm
	}
	return min(untilWarm, seconds(float64(ahead)/perSecond))
}

// ColdCounts holds the numbers of cold and suspected targets, and of the requests that this host granted and refused them.
type ColdCounts struct {
	Cold, Suspected  int
	Granted, Refused uint64
}

// ColdCounts counts the targets that are cold or suspected, and the decisions of this host about them.
func (b *Board) ColdCounts(now time.Time) ColdCounts {
	c := b.unlistedCold
	for _, r := range b.targets {
		switch {
		case !r.warmup.Cold(now):
		case r.warmup.Suspected(now) > 0:
			c.Suspected++
		default:
			c.Cold++
		}
		c.addDecisions(r)
	}
	return c
}

// addDecisions adds what a target was granted and refused while it was cold.
func (c *ColdCounts) addDecisions(r *targetRecord) {
	granted, refused := r.warmup.Counts()
	c.Granted += granted
	c.Refused += refused
}
