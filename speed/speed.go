// Package speed estimates how fast each target of a service is compared with the mean of the service, and from which
// number of concurrent requests on it slows down.
//
// A sample is the logarithm of the time that a target took divided by the time that the service's targets usually take
// for the same queue and the same number of running requests. So a target with much work is not taken for a slow one,
// and what slows all targets changes the mean and not the ratio of any of them.
package speed

import (
	"math"
	"time"
)

const (
	// Alike is the ratio up to which two targets count as equally fast: 1 + 1/6.
	Alike = 7.0 / 6
	// RefreshInterval is the least time between two refreshes of a Mean.
	RefreshInterval = 100 * time.Millisecond

	fastMemory      = 700 * time.Millisecond // after which samples of the fast average have lost all but 1/e of their weight
	slowMemory      = 4 * time.Second        // the same for the slow average
	fastCount       = 10                     // samples that the fast average holds at most
	slowCount       = 40                     // samples that the slow average holds at most
	deviations      = 3.0                    // standard errors by which an average differs before it is believed
	fastMargin      = 0.15                   // logarithm by which it differs beyond them, since samples of one queue err alike
	slowMargin      = 0.10                   // the same for the slow average
	minCount        = 1.5                    // samples below which an average says nothing
	knownCount      = 3.0                    // samples below which nothing is known of a target
	fullCount       = 5.0                    // samples from which an average counts in full; below, it is drawn towards 1
	initialVariance = 0.06                   // of the samples, until measured
	varianceWeight  = 0.01                   // weight of the newest sample in the variance
	varianceClip    = 4.0                    // variances that the square of a sample counts at most, so that a step does not hide itself
	clipBase        = 0.5                    // logarithm by which a sample may differ from the fast average
	clipDeviations  = 3.0                    // standard deviations by which it may differ beyond that
	maxSample       = 3.0                    // largest logarithm of a sample: a factor of 20
	minLogRatio     = -1.4                   // a quarter of the mean time
	maxLogRatio     = 2.1                    // eight times the mean time
)

// logAlike is the logarithm of Alike.
var logAlike = math.Log(Alike)

// average is a mean of samples whose weight decays with time.
type average struct {
	value float64
	count float64 // sum of the weights
}

// decay reduces the weight of the samples by the time that passed.
func (a *average) decay(since, memory time.Duration) {
	if since > 0 {
		a.count *= math.Exp(-since.Seconds() / memory.Seconds())
	}
}

// add adds a sample, whose weight is at least 1/limit.
func (a *average) add(sample, limit float64) {
	a.count = min(a.count+1, limit)
	a.value += (sample - a.value) / a.count
}

// Estimate is what is known of the speed of one target. Its zero value knows nothing. All values are logarithms; those
// of slow targets are positive.
type Estimate struct {
	fast, slow average
	at         time.Time // of the last sample, or of the last decay
	sampledAt  time.Time // of the last sample
	samples    uint64
	recent     bool    // the fast average differs from the mean or from the slow one
	differs    bool    // the ratio was not 1 at the last refresh
	logRatio   float64 // as of the last refresh, 0 if the target is like the others
	steady     float64 // the same from the slow average alone
}

// observe adds a sample, and updates the variance of the service's samples by it.
func (e *Estimate) observe(now time.Time, sample float64, variance *float64) {
	sample = min(maxSample, max(-maxSample, sample))
	e.decay(now)
	if e.fast.count >= minCount {
		bound := clipBase + clipDeviations*math.Sqrt(*variance)
		diff := min(bound, max(-bound, sample-e.fast.value))
		sample = e.fast.value + diff
		*variance += varianceWeight * (min(diff*diff, varianceClip**variance) - *variance)
	}
	e.fast.add(sample, fastCount)
	e.slow.add(sample, slowCount)
	e.samples++
	e.sampledAt = now
}

// decay reduces the weight of the samples by their age.
func (e *Estimate) decay(now time.Time) {
	since := now.Sub(e.at)
	if since <= 0 {
		return
	}
	e.at = now
	e.fast.decay(since, fastMemory)
	e.slow.decay(since, slowMemory)
}

// Ratio returns the time that the target takes relative to the mean of its service, 1 if both are alike.
func (e *Estimate) Ratio() float64 {
	if e.logRatio == 0 {
		return 1
	}
	return math.Exp(e.logRatio)
}

// Steady returns the logarithm of the ratio over some seconds, which short spells hardly change.
func (e *Estimate) Steady() float64 { return e.steady }

// Samples returns the number of samples since the target started.
func (e *Estimate) Samples() uint64 { return e.samples }

// Age returns the time since the last sample.
func (e *Estimate) Age(now time.Time) time.Duration { return now.Sub(e.sampledAt) }

// Known reports whether there are enough samples for a ratio.
func (e *Estimate) Known() bool { return e.slow.count >= knownCount }

// update computes the ratio from the mean of the service and the variance of its samples.
func (e *Estimate) update(mean, variance float64) {
	x := e.slow.value - mean
	if !e.believed(x, &e.slow, slowMargin, variance) {
		x = 0
	}
	e.steady = e.ratioOf(x)
	recent := e.fast.value - mean
	if e.fast.count >= minCount {
		e.recent = e.believed(recent, &e.fast, fastMargin, variance) ||
			e.believed(e.fast.value-e.slow.value, &e.fast, fastMargin, variance)
	}
	if e.recent = e.recent && e.Known(); e.recent {
		x = recent
	}
	e.logRatio = e.ratioOf(x)
	e.differs = e.logRatio != 0
}

// ratioOf returns the logarithm of the ratio for a difference to the mean. It is drawn towards 0 with few samples, and is
// 0 where the target is like the others.
func (e *Estimate) ratioOf(diff float64) float64 {
	x := min(maxLogRatio, max(minLogRatio, diff*min(1, e.slow.count/fullCount)))
	if math.Abs(x) < logAlike {
		return 0
	}
	return x
}

// believed reports whether a difference is too large to be chance. A target that differed already needs no margin.
func (e *Estimate) believed(diff float64, a *average, margin, variance float64) bool {
	if a.count < minCount {
		return false
	}
	bound := logAlike
	if !e.differs {
		bound += margin + deviations*math.Sqrt(variance/a.count)
	}
	return math.Abs(diff) > bound
}

// clampRatio bounds the logarithm of a ratio.
func clampRatio(x float64) float64 { return min(maxLogRatio, max(minLogRatio, x)) }

// Sample returns the sample for a time that a target took and the time that was expected. It returns false if either
// says nothing.
func Sample(took, expected time.Duration) (float64, bool) {
	if took <= 0 || expected <= 0 {
		return 0, false
	}
	return math.Log(float64(took) / float64(expected)), true
}
