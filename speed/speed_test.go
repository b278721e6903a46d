package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/speed"
)

// service draws samples of the targets of one service in virtual time.
type service struct {
	now     time.Time
	mean    speed.Mean
	targets []speed.Estimate
	random  *rand.Rand
}

// newService returns a service with a number of targets.
func newService(targets int) *service {
	return &service{now: time.Unix(1000, 0), targets: make([]speed.Estimate, targets), random: rand.New(rand.NewPCG(1, 2))}
}

// play lets each target answer some times a second, with a deviation of 25% around its factor.
func (s *service) play(length time.Duration, perSecond float64, factor func(target int) float64) {
	const step = 10 * time.Millisecond
	for range int(length / step) {
		s.now = s.now.Add(step)
		for n := range s.targets {
			if s.random.Float64() < perSecond*step.Seconds() {
				s.mean.Observe(s.now, &s.targets[n], math.Log(factor(n))+0.25*s.random.NormFloat64(), s.random.IntN(8), 8)
			}
		}
		s.refresh()
	}
}

// refresh computes the ratios if it is time.
func (s *service) refresh() {
	if !s.mean.Due(s.now, len(s.targets)) {
		return
	}
	s.mean.Begin(s.now)
	for n := range s.targets {
		s.mean.Add(s.now, &s.targets[n])
	}
	s.mean.Finish()
	for n := range s.targets {
		s.mean.Update(s.now, &s.targets[n])
	}
}

// like returns the factor of all targets but the first one, which has its own.
func like(first, others float64) func(int) float64 {
	return func(target int) float64 {
		if target == 0 {
			return first
		}
		return others
	}
}

// Guards against decisions that change although all targets are alike, also if all become slower at once.
func TestAlikeTargetsHaveRatioOne(t *testing.T) {
	s := newService(20)
	for _, factor := range []float64{1, 1.1, 2.5} {
		for range 30 {
			s.play(time.Second, 8, like(factor*1.08, factor))
			for n := range s.targets {
				require.Equal(t, 1.0, s.targets[n].Ratio(), "factor %v, target %d", factor, n)
			}
		}
	}
}

// Guards against an estimate that follows a step too late, or keeps it after the target is like the others again.
func TestRatioFollowsStepWithinTwoSeconds(t *testing.T) {
	s := newService(20)
	s.play(10*time.Second, 8, like(1, 1))
	s.play(2*time.Second, 8, like(3, 1))
	require.InDelta(t, 3, s.targets[0].Ratio(), 0.9)
	s.play(5*time.Second, 8, like(3, 1))
	s.play(2*time.Second, 8, like(1, 1))
	require.InDelta(t, 1, s.targets[0].Ratio(), 0.35)
}

// Guards against a target that is avoided for good: without samples, its ratio returns to 1.
func TestRatioIsForgottenWithoutSamples(t *testing.T) {
	s := newService(20)
	s.play(10*time.Second, 8, like(3, 1))
	require.Greater(t, s.targets[0].Ratio(), 2.0)
	s.now = s.now.Add(12 * time.Second)
	s.refresh()
	require.Equal(t, 1.0, s.targets[0].Ratio())
}

// Guards against a full target that is taken for a slow one: with all slots taken, all targets take twice the time, and
// only the first one is ever full.
func TestFullTargetIsNotSlow(t *testing.T) {
	s := newService(10)
	taken := func(target int) int {
		if target == 0 {
			return 4 + s.random.IntN(4)
		}
		return s.random.IntN(8)
	}
	for range 6000 {
		s.now = s.now.Add(10 * time.Millisecond)
		for n := range s.targets {
			if running := taken(n); s.random.Float64() < 0.1 {
				s.mean.Observe(s.now, &s.targets[n], math.Log(1+float64(running)/7)+0.2*s.random.NormFloat64(), running, 8)
			}
		}
		s.refresh()
		if s.now.Sub(time.Unix(1000, 0)) > 20*time.Second {
			require.Equal(t, 1.0, s.targets[0].Ratio())
		}
	}
}

// Guards against prompts that move to and fro: spells of a target and ratios near the border of a step leave it as it is.
func TestStepIgnoresSpellsAndSmallChanges(t *testing.T) {
	var step speed.Step
	now := time.Unix(1000, 0)
	for n := range 600 {
		now = now.Add(100 * time.Millisecond)
		ratio := 0.2
		if n%30 < 6 {
			ratio = 0.9
		}
		require.False(t, step.Follow(now, ratio))
	}
	changes := 0
	for n := range 600 {
		now = now.Add(100 * time.Millisecond)
		if step.Follow(now, 0.53+0.1*math.Sin(float64(n)/20)) {
			changes++
		}
	}
	require.Equal(t, 1, changes)
	require.Equal(t, int8(2), step.Value())
}

// Guards against a weight that moves prompts between targets whose weight did not change, and against shares that do not
// follow the weight.
func TestRankMovesOnlyChoicesOfTheChangedTarget(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	first := 0
	for range 20000 {
		hashes := [3]uint64{random.Uint64(), random.Uint64(), random.Uint64()}
		before, after := choose(hashes, 0), choose(hashes, 2)
		if before != 0 {
			require.Equal(t, before, after)
		}
		if after == 0 {
			first++
		}
	}
	weight := speed.Weight(2)
	require.InDelta(t, weight/(weight+2), float64(first)/20000, 0.02)
}

// choose returns the target of the highest rank, of which the first has a step.
func choose(hashes [3]uint64, step int8) int {
	best := 0
	for n := range hashes {
		if speed.Rank(hashes[n], step*int8(boolToInt(n == 0))) > speed.Rank(hashes[best], step*int8(boolToInt(best == 0))) {
			best = n
		}
	}
	return best
}

// boolToInt returns 1 for true.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
