package speed

import (
	"math"
	"time"
)

const (
	bins             = 8                      // ranges of occupancy that are told apart
	recentAge        = 500 * time.Millisecond // up to which the age of samples is left out of their weight
	refreshPerTarget = 100 * time.Microsecond // between two refreshes, for each target of the service
	curveWeight      = 0.02                   // weight of the newest sample in the effect of an occupancy
	maxCurve         = 1.5                    // largest logarithm of the effect of an occupancy
)

// Mean holds what the targets of a service have in common.
type Mean struct {
	level       float64       // mean of the targets' averages
	curve       [bins]float64 // effect of each range of occupancy
	variance    float64       // of the samples of a target around its average
	refreshedAt time.Time

	sum, weight float64 // of the refresh under way
}

// binOf returns the range of an occupancy, the fraction of slots taken. A target with few slots has a range for each.
func binOf(running, slots int) int {
	count := binCount(slots)
	return min(count-1, max(0, running)*count/max(1, slots))
}

// binCount returns how many ranges of occupancy are told apart at a target.
func binCount(slots int) int { return min(bins, max(1, slots)) }

// Observe adds a sample of a target, of whose slots a number was taken. The effect that this many requests have on all
// targets is left out of the target's estimate.
func (m *Mean) Observe(now time.Time, e *Estimate, sample float64, running, slots int) {
	effect := &m.curve[binOf(running, slots)]
	if e.slow.count >= fullCount {
		residual := min(clipBase, max(-clipBase, sample-e.slow.value-*effect))
		*effect = min(maxCurve, max(-maxCurve, *effect+curveWeight*residual))
	}
	if m.variance == 0 {
		m.variance = initialVariance
	}
	e.observe(now, sample-*effect, &m.variance)
}

// Due reports whether it is time for a refresh, which takes longer with more targets.
func (m *Mean) Due(now time.Time, targets int) bool {
	return now.Sub(m.refreshedAt) >= max(RefreshInterval, time.Duration(targets)*refreshPerTarget)
}

// Begin begins a refresh. Add is called for each target of the service, then Finish, then Update for each target.
func (m *Mean) Begin(now time.Time) { m.refreshedAt, m.sum, m.weight = now, 0, 0 }

// Add adds the average of a target. Targets with few samples count less.
func (m *Mean) Add(now time.Time, e *Estimate) {
	if e.samples == 0 {
		return
	}
	count := e.slow.count
	if age := now.Sub(e.at); age > recentAge {
		count *= math.Exp(-age.Seconds() / slowMemory.Seconds())
	}
	weight := min(1, count/fullCount)
	m.sum += weight * e.slow.value
	m.weight += weight
}

// Finish computes the mean of the targets.
func (m *Mean) Finish() {
	if m.weight > 0 {
		m.level = m.sum / m.weight
	}
}

// Update computes the ratio of a target to the mean.
func (m *Mean) Update(now time.Time, e *Estimate) {
	if e.samples > 0 {
		e.decay(now)
		e.update(m.level, m.variance)
	}
}
