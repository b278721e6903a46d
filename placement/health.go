package placement

import "time"

// Parameters of the health of a target.
const (
	failureWeight   = 0.2  // weight of the newest outcome in the failure rate
	failingRate     = 0.25 // failure rate from which other targets are preferred
	firstSuspension = 500 * time.Millisecond
	maxSuspension   = 4 * time.Second
	slowWeight      = 0.15 // weight of the newest answer in the slowness
	maxSlowness     = 20.0
)

// health tracks how a target behaves, by its answers. Targets may fail, hang or slow down while
// they report themselves ready.
type health struct {
	failures       float64 // exponentially weighted failure rate
	suspendedUntil time.Time
	nextSuspension time.Duration // length of the next suspension
	slowness       float64       // mean ratio of actual to expected time
}

// newHealth returns the health of a target without any answers.
func newHealth() health { return health{nextSuspension: firstSuspension, slowness: 1} }

// recordSuccess records a complete answer. It ends a suspension.
func (h *health) recordSuccess() {
	h.failures *= 1 - failureWeight
	h.nextSuspension = firstSuspension
	h.suspendedUntil = time.Time{}
}

// recordFailure records a failed answer.
func (h *health) recordFailure() { h.failures = h.failures*(1-failureWeight) + failureWeight }

// suspend records a connection that failed or went silent, and suspends the target. Each suspension
// is twice as long as the one before.
func (h *health) suspend(now time.Time) {
	h.recordFailure()
	if now.Before(h.suspendedUntil) {
		return
	}
	h.suspendedUntil = now.Add(h.nextSuspension)
	h.nextSuspension = min(2*h.nextSuspension, maxSuspension)
}

// resume ends a suspension.
func (h *health) resume() {
	h.suspendedUntil = time.Time{}
	h.nextSuspension = firstSuspension
}

// recordMisdirected records that another target answered at the address, as with a list that maps a
// target to the wrong address. The target is suspended only if this repeats, since a single such
// answer may itself be misdirected.
func (h *health) recordMisdirected(now time.Time) {
	h.recordFailure()
	if h.failing() {
		h.suspend(now)
	}
}

// usable reports whether the target is not suspended.
func (h *health) usable(now time.Time) bool { return !now.Before(h.suspendedUntil) }

// failing reports whether other targets are preferred.
func (h *health) failing() bool { return h.failures >= failingRate }

// recordLatency compares the time to an answer with the expected time.
func (h *health) recordLatency(actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowness, actual.Seconds()/expected.Seconds())
	h.slowness += slowWeight * (ratio - h.slowness)
}

// slowdown returns the factor, at least 1, by which the target is slower than expected.
func (h *health) slowdown() float64 { return max(1, h.slowness) }
