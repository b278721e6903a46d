package placement

import (
	"math"
	"time"
)

const (
	lagMemory     = 200 * time.Millisecond // over which past ticks lose all but 1/e of their weight
	lagReliefPart = 0.5                    // of the limit, below which a host takes requests again
	overdueLimits = 2.5                    // limits by which a tick is overdue when a host takes no request
	sparedLimits  = 2                      // limits up to which teams within their share are spared
)

// Lag tells from how late its ticks come whether a host is short of processor time.
// It answers callers that crowd on one host, or a host that turned slow: what it
// takes beyond its means is late for all, while callers that are refused at once
// are served by other hosts.
type Lag struct {
	limit      time.Duration // mean lateness from which a host takes no more requests
	mean       time.Duration
	overloaded bool
}

// NewLag returns a Lag of a host that takes no more requests from a mean lateness of
// its ticks on.
func NewLag(limit time.Duration) *Lag { return &Lag{limit: limit} }

// SetLimit changes the mean lateness.
func (l *Lag) SetLimit(limit time.Duration) { l.limit = limit }

// Take takes the lateness of a tick that was due a period after the one before. It
// returns whether the answer of Overloaded changed.
func (l *Lag) Take(period, late time.Duration) bool {
	late = max(0, late)
	weight := 1 - math.Exp(-(period+late).Seconds()/lagMemory.Seconds())
	l.mean += scale(late-l.mean, weight)
	before := l.overloaded
	switch {
	case l.mean > l.limit:
		l.overloaded = true
	case l.mean < l.relief():
		l.overloaded = false
	}
	return l.overloaded != before
}

// Overloaded returns whether the host is short of processor time.
func (l *Lag) Overloaded() bool { return l.overloaded }

// Refuses returns whether a request of a team with a standing is refused while the
// next tick is overdue by a time. Teams above their share are refused first. A long
// overdue tick means that the host has just been without processor time, and that
// what it reads now has waited for long.
func (l *Lag) Refuses(overdue time.Duration, team Standing) bool {
	if overdue > scale(l.limit, overdueLimits) {
		return true
	}
	return l.overloaded && (team != Entitled || l.mean > scale(l.limit, sparedLimits))
}

// Mean returns the mean lateness of ticks.
func (l *Lag) Mean() time.Duration { return l.mean }

// relief returns the mean lateness below which a host takes requests again.
func (l *Lag) relief() time.Duration { return scale(l.limit, lagReliefPart) }
