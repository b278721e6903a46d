package speed

import (
	"math"
	"time"
)

const (
	// KneeInterval is the least time between two refreshes of Knees.
	KneeInterval = 500 * time.Millisecond

	curveMemory  = 4 * time.Second         // after which samples of an occupancy have lost all but 1/e of their weight
	curveCount   = 40                      // samples of an occupancy that are held at most
	kneeCount    = 6.0                     // samples of an occupancy below which it says nothing
	kneeSlowdown = 0.22                    // logarithm, 1.25: by which a target slows more than the others from its knee on
	flatGain     = 0.2                     // fraction of the additional requests by which the throughput grows at most beyond a knee
	kneeError    = 0.25                    // standard deviation of the samples of an occupancy
	riseWeight   = 0.3                     // weight of samples above the average: a spell slows sometimes, a knee always
	sampleGap    = 50 * time.Millisecond   // between two samples, so that they span more than one spell
	kneeHold     = 1500 * time.Millisecond // for which a knee must have been seen, so that it is no spell
	minKneeBin   = 1                       // lowest range of occupancy that may be the last one in use
	probeTime    = 3 * time.Second         // after which a target gets one range more, to find out whether it still slows there
)

// curveBin holds the times that a target took while a range of its slots was taken.
type curveBin struct {
	average
	at time.Time
}

// Knee finds the number of concurrent requests from which on a target slows while it completes hardly more. Its zero
// value knows nothing.
type Knee struct {
	curve     *[bins]curveBin // nil before the first sample
	top       int             // highest range of occupancy
	limited   bool
	last      int // highest range of occupancy in use, if limited
	changedAt time.Time
	seenAt    time.Time // since when a lower knee is seen, zero if none is
	at        time.Time // of the last sample
}

// Observe adds the time that a target took for one step of its work while a number of slots was taken.
func (k *Knee) Observe(now time.Time, running, slots int, took time.Duration) {
	if took <= 0 || running <= 0 || now.Sub(k.at) < sampleGap {
		return
	}
	if k.curve == nil {
		k.curve = &[bins]curveBin{}
	}
	k.top = binCount(slots) - 1
	bin := &k.curve[binOf(running-1, slots)]
	bin.decay(now.Sub(bin.at), curveMemory)
	sample := math.Log(took.Seconds())
	if bin.count > 1 && sample > bin.value {
		sample = bin.value + riseWeight*(sample-bin.value)
	}
	bin.add(sample, curveCount)
	bin.at, k.at = now, now
}

// Limit returns how many of its slots a target may have in use.
func (k *Knee) Limit(slots int) int {
	if !k.limited {
		return slots
	}
	count := binCount(slots)
	return max(1, ((k.last+1)*slots+count-1)/count)
}

// Limited reports whether the target gets fewer requests than it has slots.
func (k *Knee) Limited() bool { return k.limited }

// Release lets the target have all its slots again, as when another host decides about it from now on.
func (k *Knee) Release() { k.limited, k.seenAt = false, time.Time{} }

// known returns the logarithm of the mean time in a range of occupancy, and false without enough samples.
func (k *Knee) known(now time.Time, bin int) (float64, bool) {
	b := &k.curve[bin]
	if b.count < kneeCount {
		return 0, false
	}
	return b.value, b.count*math.Exp(-now.Sub(b.at).Seconds()/curveMemory.Seconds()) >= kneeCount
}

// Knees holds by how much the targets of a service slow from each range of occupancy to the next.
type Knees struct {
	refreshedAt time.Time
	growth      [bins]float64 // sum over targets of the growth from the range below
	count       [bins]float64 // number of targets
}

// Due reports whether it is time for a refresh.
func (k *Knees) Due(now time.Time) bool { return now.Sub(k.refreshedAt) >= KneeInterval }

// Begin begins a refresh. Add is called for each target of the service, then Update for those that this host decides
// about.
func (k *Knees) Begin(now time.Time) { *k = Knees{refreshedAt: now} }

// Add adds the growth of one target.
func (k *Knees) Add(now time.Time, target *Knee) {
	k.change(now, target, 1)
}

// change adds the growth of a target a number of times, which may be negative.
func (k *Knees) change(now time.Time, target *Knee, times float64) {
	if target.curve == nil {
		return
	}
	below, hasBelow := 0.0, false
	for n := range bins {
		value, ok := target.known(now, n)
		if ok && hasBelow {
			k.growth[n] += times * (value - below)
			k.count[n] += times
		}
		below, hasBelow = value, ok
	}
}

// Update finds the knee of a target: it takes much longer there than with fewer requests, other than the rest of the
// service, and completes hardly more. Limits above which nothing is known rise again, range by range. Times up to goal
// need no limit. Update reports whether the limit changed.
func (k *Knees) Update(now time.Time, target *Knee, goal time.Duration) bool {
	if target.curve == nil {
		return false
	}
	last, found := k.find(now, target, goal)
	lower := found && (!target.limited || last < target.last)
	switch {
	case !lower:
		target.seenAt = time.Time{}
	case target.seenAt.IsZero():
		target.seenAt = now
	}
	switch {
	case lower && now.Sub(target.seenAt) >= kneeHold:
		target.limited, target.last, target.seenAt = true, last, time.Time{}
	case target.limited && !found && !target.slowAbove(now) && now.Sub(target.changedAt) >= probeTime:
		target.last++
		target.limited = target.last < target.top
	default:
		return false
	}
	target.changedAt = now
	return true
}

// slowAbove reports whether enough is known of the range of occupancy above the limit.
func (k *Knee) slowAbove(now time.Time) bool {
	_, ok := k.known(now, min(bins-1, k.last+1))
	return ok
}

// find returns the last range of occupancy before the knee of a target.
func (k *Knees) find(now time.Time, target *Knee, goal time.Duration) (int, bool) {
	k.change(now, target, -1)
	defer k.change(now, target, 1)
	for low := minKneeBin; low < bins-1; low++ {
		before, ok := target.known(now, low)
		if !ok {
			continue
		}
		others := 0.0
		for high := low + 1; high < bins; high++ {
			if k.count[high] < 1 {
				break // without other targets to compare with, the service may be like that
			}
			others += k.growth[high] / k.count[high]
			after, ok := target.known(now, high)
			if ok && after > math.Log(goal.Seconds()) && target.slowsBetween(low, high, after-before, others) {
				return low, true
			}
		}
	}
	return 0, false
}

// slowsBetween reports whether a target slows by growth from one range of occupancy to another, well more than the others
// do, and completes hardly more there. One that is limited already needs no margin for chance.
func (k *Knee) slowsBetween(low, high int, growth, others float64) bool {
	chance := 0.0
	if !k.limited {
		chance = deviations * kneeError * math.Sqrt(1/k.curve[low].count+1/k.curve[high].count)
	}
	more := math.Log((float64(high) + 0.5) / (float64(low) + 0.5))
	return growth-others > kneeSlowdown+chance && growth > (1-flatGain)*more
}
