package placement

import (
	"math"
	"time"
)

// Thresholds of the overload detection.
const (
	lagDecayTime      = 200 * time.Millisecond // after which past ticks have lost all but 1/e of their weight
	lagReliefFraction = 0.5                    // fraction of the limit below which a host accepts requests again
	overdueFactor     = 2.5                    // multiple of the limit by which a tick is overdue when a host accepts no requests
	spareFactor       = 2                      // multiple of the limit up to which requests of entitled teams are still accepted
)

// LagDetector detects from late timer ticks that a host lacks processor time, because too many
// callers use it or because it became slow. Requests accepted beyond its capacity would all be
// late, while callers that are refused at once can turn to other hosts.
type LagDetector struct {
	limit        time.Duration // mean lateness above which the host is overloaded
	meanLateness time.Duration
	overloaded   bool
	period       time.Duration // between the last tick and the next
	due          time.Time     // when the next tick is due, zero before the first
}

// NewLagDetector returns a LagDetector that reports overload while the mean lateness of ticks
// exceeds a limit.
func NewLagDetector(limit time.Duration) *LagDetector { return &LagDetector{limit: limit} }

// SetLimit changes the limit of the mean lateness.
func (l *LagDetector) SetLimit(limit time.Duration) { l.limit = limit }

// ExpectTick sets the period until the next tick.
func (l *LagDetector) ExpectTick(now time.Time, period time.Duration) {
	l.due, l.period = now.Add(period), period
}

// Tick records a tick. It reports whether the host became overloaded or ceased to be.
func (l *LagDetector) Tick(now time.Time) bool {
	if l.due.IsZero() {
		return false
	}
	late := l.overdue(now)
	weight := 1 - math.Exp(-(l.period+late).Seconds()/lagDecayTime.Seconds())
	l.meanLateness += scale(late-l.meanLateness, weight)
	before := l.overloaded
	switch {
	case l.meanLateness > l.limit:
		l.overloaded = true
	case l.meanLateness < scale(l.limit, lagReliefFraction):
		l.overloaded = false
	}
	return l.overloaded != before
}

// overdue returns by how much the next tick is overdue.
func (l *LagDetector) overdue(now time.Time) time.Duration {
	if l.due.IsZero() {
		return 0
	}
	return max(0, now.Sub(l.due))
}

// Overloaded reports whether the host lacks processor time.
func (l *LagDetector) Overloaded() bool { return l.overloaded }

// MayRefuse reports whether requests of some teams may be refused.
func (l *LagDetector) MayRefuse(now time.Time) bool {
	return l.overloaded || l.stalled(now)
}

// stalled reports whether the next tick is long overdue.
func (l *LagDetector) stalled(now time.Time) bool {
	return l.overdue(now) > scale(l.limit, overdueFactor)
}

// Mean returns the mean lateness of ticks.
func (l *LagDetector) Mean() time.Duration { return l.meanLateness }

// Refuses reports whether a request of a team with the given standing is refused. Teams above their
// share are refused first. A long overdue tick means that the host has just been without processor
// time, so what it reads now has waited for long.
func (l *LagDetector) Refuses(now time.Time, standing Standing) bool {
	if l.stalled(now) {
		return true
	}
	return l.overloaded && (standing != Entitled || l.meanLateness > scale(l.limit, spareFactor))
}
