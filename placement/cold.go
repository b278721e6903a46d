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

// ColdChange records that a target owned by this host counts as cold, or no longer as suspected.
type ColdChange struct {
	Target  string
	Reason  warmup.Reason
	Until   time.Time // when it will be warm
	Granted uint64    // requests that it got while it was cold, so far
}

// SetHeartbeat sets the interval at which targets renew their entries.
func (b *Board) SetHeartbeat(interval time.Duration) { b.heartbeat = interval }

// configureCold sets the cold start of a target from that of its service.
func (b *Board) configureCold(r *targetRecord) {
	p := b.pool(r.target.Service)
	r.warmup.Configure(p.coldStart, p.coldRate)
}

// updateCold takes over what the entry of a target says of its cold start, and reports whether a cold period began.
// The entry before it said that the period ends at another time, or came from another process.
func (b *Board) updateCold(r *targetRecord, before time.Time, restarted bool) bool {
	b.configureCold(r)
	return (restarted || !before.Equal(r.target.ColdUntil)) && r.warmup.SetCold(r.target.ColdUntil, restarted)
}

// KeepCold records that the list of targets was still current at a time. Targets that are cold by that list are cold for
// a while after it, whatever the list said of the end. Hosts do not pass on a list in which only the remaining times
// changed, as they do when a target becomes cold again before it was warm.
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
		b.noteCold(r, reason)
	}
}

// CredibleTime returns how long an answer took, as far as that may show to the owner of the target that the process of
// the target was there before. An answer that is read right after a suspension of this host may have come long before,
// and shows nothing.
func (b *Board) CredibleTime(now time.Time, took time.Duration) time.Duration {
	if b.justResumed(now) {
		return min(took, warmup.EvidenceMargin)
	}
	return took
}

// justResumed reports whether this host was suspended until shortly before.
func (b *Board) justResumed(now time.Time) bool {
	b.RecordRunning(now)
	return !b.resumedAt.IsZero() && now.Sub(b.resumedAt) < warmup.Window
}

// recordAlive records that the process of a target which ran at a time still answers.
func (b *Board) recordAlive(now time.Time, r *targetRecord, ranAt time.Time) {
	if !b.justResumed(now) && r.warmup.RecordAlive(now, ranAt) {
		b.noteCold(r, warmup.ReasonAlive)
	}
}

// noteCold keeps a change of a target that this host owns.
func (b *Board) noteCold(r *targetRecord, reason warmup.Reason) {
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
		b.resumeCold(now, gap)
	}
	b.lastRunning = now
}

// resumeCold tells the limiters of all targets that this host was suspended.
func (b *Board) resumeCold(now time.Time, gap time.Duration) {
	b.resumedAt = now
	for _, r := range b.targets {
		r.warmup.Suspend()
		if gap > warmup.Window {
			r.warmup.Distrust(now)
		}
	}
}

// addSuspicions adds the targets that this host itself has come to suspect to a PeerState.
func (b *Board) addSuspicions(now time.Time, n *PeerState) {
	for id, r := range b.targets {
		since, until, ok := r.warmup.OwnSuspicion(now)
		if ok && len(n.Suspicions) < maxSuspicions {
			n.Suspicions = append(n.Suspicions, Suspicion{Target: id, Since: since, Until: until})
		}
	}
}

// applySuspicion takes over the suspicion of another host.
func (b *Board) applySuspicion(s Suspicion) {
	r := b.targets[s.Target]
	if r != nil && r.warmup.SuspectUntil(s.Since, s.Until) {
		b.noteCold(r, warmup.ReasonPeer)
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

// ColdCounts holds the cold targets of a board, and what those owned by this host were granted and refused.
type ColdCounts struct {
	Cold, Suspected  int
	Granted, Refused uint64
}

// ColdCounts counts the targets that are cold or suspected, and the decisions of this host about them.
func (b *Board) ColdCounts(now time.Time) ColdCounts {
	c := b.formerCold
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
