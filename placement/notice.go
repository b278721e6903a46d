package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/route"
)

// Limits and times of departures and pauses.
const (
	departureLifetime  = 10 * time.Minute       // for which a departure is remembered, unless the target starts again
	peerPauseFullTime  = 300 * time.Millisecond // longest time that a target counts as full after it paused another host
	samePauseTolerance = 500 * time.Millisecond // reports of one pause may differ by this much in its end
	resumeSpread       = 300 * time.Millisecond // over which hosts spread their return to a target after a pause
	resumeRampTime     = time.Second            // over which a host returns to using all slots after a pause
	resumeFraction     = 0.25                   // fraction of the slots available right after a pause
	maxNotices         = 64                     // departures and pauses each in one PeerState
)

// Departure records that a target said it is leaving.
type Departure struct {
	Target      string
	StartedAt   time.Time // start time of the target's process, zero if unknown
	AnnouncedAt time.Time // when it said so
}

// Pause records that a target told a host to send it nothing for a while.
type Pause struct {
	Target string
	Until  time.Time
}

// RecordLeaving records that a target told this host that it is leaving. Its running requests
// continue, and it gets no new ones until it starts again. RecordLeaving returns the departure,
// and false if it was already known or the target is unknown.
func (b *Board) RecordLeaving(now time.Time, target string) (Departure, bool) {
	r := b.targets[target]
	if r == nil {
		return Departure{}, false
	}
	d := Departure{Target: target, StartedAt: r.target.StartedAt, AnnouncedAt: now}
	return d, b.RecordDeparture(d)
}

// RecordDeparture records a departure reported by another host, and reports whether it was new.
// A departure of an earlier process of the target is ignored.
func (b *Board) RecordDeparture(d Departure) bool {
	if known, ok := b.departures[d.Target]; ok && !d.StartedAt.After(known.StartedAt) {
		return false
	}
	r := b.targets[d.Target]
	if r != nil && r.target.StartedAt.After(d.StartedAt) {
		return false
	}
	b.departures[d.Target] = d
	if r != nil {
		r.target.Leaving = true
		b.pool(r.target.Service).epoch++
	}
	return true
}

// departed reports whether a listed target said that it is leaving. A target that has started again
// since then has not.
func (b *Board) departed(t *route.Target) bool {
	d, ok := b.departures[t.ID]
	if !ok {
		return false
	}
	if t.StartedAt.After(d.StartedAt) {
		delete(b.departures, t.ID)
		return false
	}
	return true
}

// StartedAt returns the start time of a listed target's process, zero if it is not known.
func (b *Board) StartedAt(target string) time.Time {
	if r := b.targets[target]; r != nil {
		return r.target.StartedAt
	}
	return time.Time{}
}

// expireDepartures drops departures older than departureLifetime.
func (b *Board) expireDepartures(now time.Time) {
	for target, d := range b.departures {
		if now.Sub(d.AnnouncedAt) > departureLifetime {
			delete(b.departures, target)
		}
	}
}

// RecordPause records that a target told this host to send it nothing for a while, and returns
// the end of the pause. A full target would refuse further requests, which costs their callers
// time. The end differs from host to host, so that not all of them return at once.
func (b *Board) RecordPause(now time.Time, target string, length time.Duration) time.Time {
	r := b.targets[target]
	if r == nil {
		return now
	}
	until := now.Add(length + scale(resumeSpread, hashFraction(hashPair(b.self, r.key))))
	if until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
	return r.pausedUntil
}

// RecordPeerPause records that a target paused another host. The pause is meant for that host
// alone, but the target counts as full for a short time.
func (b *Board) RecordPeerPause(now time.Time, p Pause) {
	r := b.targets[p.Target]
	if r == nil || p.Until.Sub(r.peerPauseUntil) <= samePauseTolerance {
		return
	}
	r.peerPauseUntil = p.Until
	r.fullUntil = now.Add(min(peerPauseFullTime, p.Until.Sub(now)))
}

// isPaused reports whether a target is to get no request now. The pauses told to this host do not
// apply to a request of a remote host, which excludes the targets that paused that host.
func (r *targetRecord) isPaused(now time.Time, remote bool) bool {
	return now.Before(r.fullUntil) || !remote && now.Before(r.pausedUntil)
}

// availableSlots returns how many slots of a target may be in use now: all of them, or a growing
// fraction after a pause, since otherwise all waiting requests would come at once.
func (r *targetRecord) availableSlots(now time.Time, slots int) int {
	slots = r.warmup.Slots(now, r.speed.knee.Limit(slots))
	since := now.Sub(r.pausedUntil)
	if r.pausedUntil.IsZero() || since >= resumeRampTime {
		return slots
	}
	fraction := resumeFraction + (1-resumeFraction)*max(0, since.Seconds())/resumeRampTime.Seconds()
	return max(1, int(fraction*float64(slots)))
}

// noTargetChoice returns the choice for a request for which no target of its service is usable. If targets of a version
// that it allows are paused, it gives the remainder of the shortest pause.
func (p *pool) noTargetChoice(now time.Time, a *Request) Choice {
	c := Choice{Reason: ReasonNoTarget, RetryAfter: firstSuspension}
	for _, r := range p.targets {
		if r.closed() || !a.AllowsVersion(r.target.Version) || !r.isPaused(now, a.Remote) {
			continue
		}
		remaining := r.fullUntil.Sub(now)
		if !a.Remote {
			remaining = max(remaining, r.pausedUntil.Sub(now))
		}
		if c.Reason != ReasonPaused || remaining < c.RetryAfter {
			c.Reason, c.RetryAfter = ReasonPaused, remaining
		}
	}
	return c
}

// hasNoTarget reports whether all targets in the regions and of the version that a request allows are leaving,
// evacuated or paused, so that waiting is pointless.
func (p *pool) hasNoTarget(now time.Time, a *Request) bool {
	return !slices.ContainsFunc(p.targets, func(r *targetRecord) bool {
		return !r.closed() && a.allows(r.region) && a.AllowsVersion(r.target.Version) && !r.isPaused(now, false)
	})
}

// unpausedFraction returns the fraction of the targets, without those leaving or evacuated, that are not paused.
func (p *pool) unpausedFraction(now time.Time) float64 {
	all, pausing := 0, 0
	for _, r := range p.targets {
		if r.closed() {
			continue
		}
		all++
		if r.isPaused(now, false) {
			pausing++
		}
	}
	return float64(all-pausing) / float64(max(1, all))
}

// PausedTargets returns the targets of a service that told this host to send nothing, at most
// maxNotices of them.
func (b *Board) PausedTargets(now time.Time, service string) []string {
	var list []string
	for _, r := range b.pool(service).targets {
		if now.Before(r.pausedUntil) && len(list) < maxNotices {
			list = append(list, r.target.ID)
		}
	}
	return list
}

// addNotices adds departures, the newest first, and pauses to a PeerState.
func (b *Board) addNotices(now time.Time, n *PeerState) {
	for _, target := range slices.Sorted(maps.Keys(b.departures)) {
		n.Departures = append(n.Departures, b.departures[target])
	}
	slices.SortStableFunc(n.Departures, func(x, y Departure) int { return cmp.Compare(y.AnnouncedAt.UnixNano(), x.AnnouncedAt.UnixNano()) })
	n.Departures = n.Departures[:min(maxNotices, len(n.Departures))]
	for _, p := range b.pools {
		for _, r := range p.targets {
			if now.Before(r.pausedUntil) && len(n.Pauses) < maxNotices {
				n.Pauses = append(n.Pauses, Pause{Target: r.target.ID, Until: r.pausedUntil})
			}
		}
	}
}
