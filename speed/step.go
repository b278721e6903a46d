package speed

import (
	"math"
	"time"
)

const (
	stepWidth   = 0.35            // logarithm of the factor of 1.42 between two steps
	stepReach   = 0.75            // fraction of a step by which a ratio leaves its step
	stepHold    = 3 * time.Second // for which it must have left, so that spells of a target move no prompts
	minStepHold = 5 * time.Second // between two changes of a step

	// MinStep is the step of the fastest targets, which take half of the mean time.
	MinStep = -2
	// MaxStep is the step of the slowest targets, which take four times the mean time.
	MaxStep = 4
)

// Step is a speed in coarse steps, with which all hosts weight the choice of a prompt's preferred engine. It changes
// rarely, since each change moves prompts to engines that have not cached them. Its zero value is the mean speed.
type Step struct {
	value     int8
	away      time.Time // since when the ratio has left the step, zero if it has not
	changedAt time.Time
}

// Value returns the step, 0 for a target like the others.
func (s *Step) Value() int8 { return s.value }

// Follow moves the step towards the logarithm of a ratio, and reports whether it changed.
func (s *Step) Follow(now time.Time, logRatio float64) bool {
	distance := logRatio/stepWidth - float64(s.value)
	if math.Abs(distance) < stepReach {
		s.away = time.Time{}
		return false
	}
	if s.away.IsZero() {
		s.away = now
	}
	if now.Sub(s.away) < stepHold || now.Sub(s.changedAt) < minStepHold {
		return false
	}
	before := s.value
	s.value = int8(min(MaxStep, max(MinStep, math.Round(logRatio/stepWidth))))
	s.away, s.changedAt = time.Time{}, now
	return s.value != before
}

// weights holds the weight of each step, from MinStep on.
var weights = func() (w [Steps]float64) {
	for n := range w {
		w[n] = math.Exp(-stepWidth * float64(n+MinStep))
	}
	return w
}()

// Weight returns the weight of a step in a choice: the inverse of the time that it stands for.
func Weight(step int8) float64 {
	return weights[min(MaxStep, max(MinStep, int(step)))-MinStep]
}

// Steps is the number of steps.
const Steps = MaxStep - MinStep + 1

// Rank ranks a target with a step by a hash for weighted rendezvous hashing; the highest one is chosen. Of targets with the
// same step, it is the one with the highest hash. With weight w, the
// target is chosen w times as often as one with weight 1, and a changed weight moves only choices to or from it.
func Rank(hash uint64, step int8) float64 {
	u := (float64(hash) + 1) / (math.MaxUint64 + 2.0)
	return Weight(step) / -math.Log(min(u, 1-0x1p-53))
}

// ratioUnit is the logarithm of a ratio between two values of a message.
const ratioUnit = 0.05

// Encode returns a ratio as messages carry it, in steps of 5%.
func Encode(ratio float64) int8 { return int8(math.Round(clampRatio(math.Log(ratio)) / ratioUnit)) }

// Decode returns the ratio that a message carries.
func Decode(value int8) float64 { return math.Exp(clampRatio(float64(value) * ratioUnit)) }

// Set sets the step to a value that another host found.
func (s *Step) Set(now time.Time, value int8) {
	if value = min(MaxStep, max(MinStep, value)); value != s.value {
		s.value, s.away, s.changedAt = value, time.Time{}, now
	}
}
