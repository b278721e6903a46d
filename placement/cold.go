package placement

import (
	"time"

	"github.com/cassiachute/cassiachute/warmup"
)

const (
	suspicionHeartbeats = 3                      // heartbeats that a target may take to say that it has started again
	maxTickGap          = 500 * time.Millisecond // between two ticks; after a longer one this host was suspended
	maxColdChanges      = 256                    // changes that are kept until they are taken
	maxSuspicions       = 64                     // suspected targets in one PeerState
	maxSuspicionDelay   = 500 * time.Millisecond // suspicions of a target that began within this time are the same one
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

// suspectCold records that a target may have started again at a time.
func (b *Board) suspectCold(r *targetRecord, at time.Time, reason warmup.Reason) {
	if r.warmup.Suspect(at, suspicionHeartbeats*b.heartbeat) {
		b.noteCold(r, reason)
	}
}

// recordAlive records that the process of a target which ran at a time still answers.
func (b *Board) recordAlive(now time.Time, r *targetRecord, ranAt time.Time) {
	if r.warmup.RecordAlive(now, ranAt) {
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

// resumeCold makes this host wait again before it sends to cold targets, if it was suspended since the last tick.
func (b *Board) resumeCold(now time.Time) {
	if !b.lastTick.IsZero() && now.Sub(b.lastTick) > maxTickGap {
		for _, r := range b.targets {
			r.warmup.Suspend()
		}
	}
	b.lastTick = now
}

// addSuspicions adds the targets that this host suspects to a PeerState.
func (b *Board) addSuspicions(now time.Time, n *PeerState) {
	for id, r := range b.targets {
		if left := r.warmup.Suspected(now); left > 0 && len(n.Suspicions) < maxSuspicions {
			n.Suspicions = append(n.Suspicions, Suspicion{Target: id, Since: r.warmup.SuspectedSince(), Until: now.Add(left)})
		}
	}
}

// applySuspicion takes over the suspicion of another host. Its times are late by the delay of the message. One that this
// host knows already keeps its times here, since hosts that tell each other would prolong it without end.
func (b *Board) applySuspicion(s Suspicion) {
	r := b.targets[s.Target]
	if r == nil {
		return
	}
	if late := s.Since.Sub(r.warmup.SuspectedSince()); late > 0 && late < maxSuspicionDelay {
		s.Since, s.Until = s.Since.Add(-late), s.Until.Add(-late)
	}
	if r.warmup.SuspectUntil(s.Since, s.Until) {
		b.noteCold(r, warmup.ReasonPeer)
	}
}

// MayBeCold reports whether a target is cold or suspected of it.
func (b *Board) MayBeCold(now time.Time, target string) bool {
	r := b.targets[target]
	return r != nil && r.warmup.Cold(now)
}

// ColdCounts holds the cold targets of a board, and what those owned by this host were granted and refused.
type ColdCounts struct {
	Cold, Suspected  int
	Granted, Refused uint64
}

// ColdCounts counts the targets that are cold or suspected, and the decisions of this host about them.
func (b *Board) ColdCounts(now time.Time) ColdCounts {
	var c ColdCounts
	for _, r := range b.targets {
		switch {
		case !r.warmup.Cold(now):
		case r.warmup.Suspected(now) > 0:
			c.Suspected++
		default:
			c.Cold++
		}
		granted, refused := r.warmup.Counts()
		c.Granted += granted
		c.Refused += refused
	}
	return c
}
