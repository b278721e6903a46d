// Package warmup limits the requests to targets that are cold: for some time after its start a target can take only
// a few requests per second, and crashes if it gets many more.
//
// A target says itself when it is cold, but that is known late. So a target that could not be reached counts as
// suspected: it may have started again. Only the host that owns a target sends to it while it is cold or
// suspected, and not in the first second of its ownership, in which an earlier owner may still send.
package warmup

import "time"

const (
	// Window is the span in which the requests to a cold target are counted.
	Window = time.Second
	// MaxGrantAge is the age beyond which a granted slot at a cold target is not used. The owner no longer counts an old
	// grant, as after a suspension of the host, so its request would come on top of later ones.
	MaxGrantAge = 250 * time.Millisecond
	// RampTime is the time over which a target that became warm returns to using all its slots.
	RampTime = time.Second
	// EvidenceMargin is the time after a failure to reach a target in which an answer does not show that its process
	// survived. The answer may have arrived before the failure and be read this much later: shorter suspensions of the
	// host are not detected.
	EvidenceMargin = 500 * time.Millisecond

	rampFraction = 0.25                   // fraction of the slots in use right after a target became warm
	periodSlack  = 500 * time.Millisecond // ends of one cold period, as heard at different times, differ by less
	maxGrants    = 64                     // grants that are kept; also the highest rate, since each grant of a second is needed
)

// Reason says why a target counts as cold or suspected.
type Reason string

// Reasons of a change.
const (
	ReasonEntry     Reason = "entry"     // the target said that it is cold
	ReasonUnreached Reason = "unreached" // it could not be reached, or fell silent
	ReasonPeer      Reason = "peer"      // another host could not reach it
	ReasonEvacuated Reason = "evacuated" // its data centre was evacuated until now
	ReasonAlive     Reason = "alive"     // it answered a request that it had before the suspicion
)

// Limiter limits the requests to one target. Its zero value limits nothing.
type Limiter struct {
	rate  float64       // requests per second that the cold target can take, 0 if it is never cold
	start time.Duration // for which a target is cold after its start

	// State according to the entry of the target.
	coldUntil time.Time // end of the cold period, zero if there was none
	saidWarm  bool      // the last entry says warm; settle has not ended the cold period yet

	// The suspicion that it has started again, as it could not be reached.
	suspectedSince time.Time // when it was first found unreachable
	suspectedLast  time.Time // when it was last found unreachable
	suspectedUntil time.Time // end of the suspicion
	foundUntil     time.Time // end of the part of the suspicion that this host found itself
	aliveAt        time.Time // latest time at which the current process is known to have run; earlier suspicions are ignored

	// Other times in which it may be cold.
	returnedUntil time.Time // end of the cold start assumed after its data centre was evacuated
	distrustUntil time.Time // end of the time in which this host knows too little, after it was suspended

	// Ownership and grants of this host.
	owned     bool        // this host owns the target
	acquired  bool        // the ownership began after the last call of Allows, which sets holdUntil
	holdUntil time.Time   // end of the first second of the ownership, in which nothing is granted
	grants    []time.Time // times of the last requests, oldest first
	refused   uint64      // requests refused while the target was cold or suspected
	granted   uint64      // requests granted while the target was cold or suspected
}

// Configure sets for how long a target is cold after its start, and how many requests per second it can take then.
func (l *Limiter) Configure(start time.Duration, rate float64) {
	if rate <= 0 || start <= 0 {
		start, rate = 0, 0
	}
	l.start, l.rate = start, min(rate, maxGrants)
}

// Limited reports whether the targets of the service may be cold at all.
func (l *Limiter) Limited() bool { return l.rate > 0 }

// SetOwned sets whether this host owns the target.
func (l *Limiter) SetOwned(owned bool) {
	l.acquired = owned && (l.acquired || !l.owned)
	l.owned = owned
}

// Suspend begins the ownership again, after a time in which this host did not run and another one may have taken over.
func (l *Limiter) Suspend() { l.acquired = l.owned }

// Distrust records that this host did not run for a while. The target may have started again meanwhile, and counts as cold
// until this host has heard of it.
func (l *Limiter) Distrust(now time.Time) { l.distrustUntil = now.Add(Window) }

// SetCold sets until when the target is cold according to its entry, zero if it is warm. restarted is true if the entry
// is that of another process than the one before. SetCold reports whether a cold period began. It leaves a suspicion as
// it is: the entry may have been written before the target became unreachable, up to three seconds before it is read
// here.
func (l *Limiter) SetCold(until time.Time, restarted bool) bool {
	begins := l.saidWarm || until.After(l.coldUntil.Add(periodSlack))
	l.saidWarm = until.IsZero() && !l.coldUntil.IsZero()
	switch {
	case until.IsZero():
		return false
	case begins || restarted:
		l.coldUntil = until
	case until.Before(l.coldUntil):
		l.coldUntil = until
	}
	return begins
}

// KeepCold records that the entry still says that the target is cold, so that it is not warm before until.
func (l *Limiter) KeepCold(until time.Time) {
	if !l.saidWarm {
		l.coldUntil = latest(l.coldUntil, until)
	}
}

// Suspect records that the target could not be reached at a time and may have started again. It counts as cold for
// entryDelay, the time until its entry says so, and for a cold start. Suspect reports whether the suspicion is new.
func (l *Limiter) Suspect(at time.Time, entryDelay time.Duration) bool {
	until := at.Add(entryDelay + l.start)
	if l.Limited() && !at.Before(l.aliveAt) {
		l.foundUntil = latest(l.foundUntil, until)
	}
	return l.SuspectUntil(at, until)
}

// SuspectUntil records a suspicion that another host found, and reports whether it is new.
func (l *Limiter) SuspectUntil(at, until time.Time) bool {
	if !l.Limited() || at.Before(l.aliveAt) {
		return false
	}
	first := l.suspectedUntil.IsZero() || at.After(l.suspectedUntil)
	if first {
		l.suspectedSince, l.suspectedLast = at, at
	}
	if at.After(l.suspectedLast) {
		l.suspectedLast = at
	}
	if until.After(l.suspectedUntil) {
		l.suspectedUntil = until
	}
	return first
}

// ReturnToUse records that the data centre of the target is no longer evacuated. The target may be cold without having
// started again, so that no answer ends this suspicion. ReturnToUse reports whether the target may be cold at all.
func (l *Limiter) ReturnToUse(now time.Time) bool {
	if !l.Limited() {
		return false
	}
	l.returnedUntil = now.Add(l.start)
	return true
}

// RecordAlive records an answer of a process that ran at ranAt already. It ends a suspicion that began later, and reports
// whether it did.
func (l *Limiter) RecordAlive(now, ranAt time.Time) bool {
	if !l.Limited() || l.suspectedSince.IsZero() || !ranAt.Before(l.suspectedSince) || now.Sub(l.suspectedLast) < EvidenceMargin {
		return false
	}
	ended := now.Before(l.suspectedUntil)
	l.aliveAt = now.Add(-EvidenceMargin)
	l.suspectedSince, l.suspectedUntil, l.foundUntil = time.Time{}, time.Time{}, time.Time{}
	return ended
}

// Until returns when the target will be warm, zero if it is not known to be cold or suspected of it.
func (l *Limiter) Until() time.Time { return latest(l.coldUntil, l.suspicionEnd()) }

// suspicionEnd returns when the target is no longer suspected, zero if it is not.
func (l *Limiter) suspicionEnd() time.Time { return latest(l.suspectedUntil, l.returnedUntil) }

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Cold reports whether the target is cold or suspected of it.
func (l *Limiter) Cold(now time.Time) bool {
	l.settle(now)
	return l.Limited() && (now.Before(l.Until()) || now.Before(l.distrustUntil))
}

// settle ends the cold period of a target that said that it is warm. The ramp begins then.
func (l *Limiter) settle(now time.Time) {
	if l.saidWarm && now.Before(l.coldUntil) {
		l.coldUntil = now
	}
	l.saidWarm = false
}

// Suspected returns for how long the target remains suspected, 0 if it is not.
func (l *Limiter) Suspected(now time.Time) time.Duration { return max(0, l.suspicionEnd().Sub(now)) }

// OwnSuspicion returns the suspicion that this host found itself, to be sent to other hosts, and false if there is none.
// Suspicions received from others are not passed on: hosts that exchange one, each a little later, would never let it
// end. All hosts know of the return of a data centre; only the owner sends it, for hosts that start later.
func (l *Limiter) OwnSuspicion(now time.Time) (since, until time.Time, ok bool) {
	since, until = l.suspectedSince, l.foundUntil
	if l.owned && l.returnedUntil.After(until) {
		since, until = l.returnedUntil.Add(-l.start), l.returnedUntil
	}
	return since, until, now.Before(until)
}

// Allows reports whether a request may be sent to the target now. It counts refusals; Record counts what is sent.
func (l *Limiter) Allows(now time.Time) bool {
	if !l.Limited() {
		return true
	}
	if l.acquired {
		l.acquired, l.holdUntil = false, now.Add(Window)
	}
	if !l.Cold(now) {
		return true
	}
	allowed := l.owned && !now.Before(l.holdUntil) && l.withinRate(now)
	if !allowed {
		l.refused++
	}
	return allowed
}

// withinRate reports whether the rate leaves room for a request.
func (l *Limiter) withinRate(now time.Time) bool {
	limit, span := l.limit()
	return len(l.grants) < limit || now.Sub(l.grants[len(l.grants)-limit]) > span
}

// limit returns how many requests may be granted in a span of time: the rate in a second, or one request in a longer
// span if the rate is below one per second.
func (l *Limiter) limit() (requests int, span time.Duration) {
	if l.rate < 1 {
		return 1, time.Duration(float64(Window) / l.rate)
	}
	return int(l.rate), Window
}

// Record records a request that is sent to the target.
func (l *Limiter) Record(now time.Time) {
	if !l.Limited() {
		return
	}
	if l.grants = append(l.grants, now); len(l.grants) > maxGrants {
		limit, _ := l.limit()
		l.grants = append(l.grants[:0], l.grants[len(l.grants)-limit:]...)
	}
	if l.Cold(now) {
		l.granted++
	}
}

// Counts returns how many requests were granted and refused while the target was cold or suspected.
func (l *Limiter) Counts() (granted, refused uint64) { return l.granted, l.refused }

// Slots returns how many of the slots of a target are used now: all, or a growing part after it became warm, so that
// the prompts that it had cached do not return at once.
func (l *Limiter) Slots(now time.Time, slots int) int {
	l.settle(now)
	since := now.Sub(l.Until())
	if !l.Limited() || l.Until().IsZero() || since < 0 || since >= RampTime {
		return slots
	}
	fraction := rampFraction + (1-rampFraction)*since.Seconds()/RampTime.Seconds()
	return max(1, int(fraction*float64(slots)))
}
