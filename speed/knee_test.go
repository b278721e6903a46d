package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/speed"
)

const (
	kneeSlots = 24
	kneeGoal  = 30 * time.Millisecond // of a step
)

// loaded holds targets that run up to a number of requests, in virtual time.
type loaded struct {
	now     time.Time
	random  *rand.Rand
	knees   speed.Knees
	targets []speed.Knee
}

// play lets all targets run up to their limits for a time. A step takes 20 ms, or as step says.
func (l *loaded) play(length time.Duration, step func(target, running int, since time.Duration) time.Duration) {
	for since := time.Duration(0); since < length; since += 10 * time.Millisecond {
		l.now = l.now.Add(10 * time.Millisecond)
		for n := range l.targets {
			running := 1 + l.random.IntN(l.targets[n].Limit(kneeSlots))
			noise := 0.9 + 0.2*l.random.Float64()
			l.targets[n].Observe(l.now, running, kneeSlots, time.Duration(noise*float64(step(n, running, since))))
		}
		if !l.knees.Due(l.now) {
			continue
		}
		l.knees.Begin(l.now)
		for n := range l.targets {
			l.knees.Add(l.now, &l.targets[n])
		}
		for n := range l.targets {
			l.knees.Update(l.now, &l.targets[n], kneeGoal)
		}
	}
}

// newLoaded returns targets without any samples.
func newLoaded() *loaded {
	return &loaded{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), targets: make([]speed.Knee, 6)}
}

// beyond returns the time of a step that grows in proportion from a number of running requests on.
func beyond(knee, running int) time.Duration {
	return 20 * time.Millisecond * time.Duration(max(knee, running)) / time.Duration(knee)
}

// Guards against a target that gets requests it can't run, and against a limit that stays when the target has recovered.
func TestKneeLimitsSlotsUntilTheTargetRecovers(t *testing.T) {
	l := newLoaded()
	withKnee := func(target, running int, _ time.Duration) time.Duration {
		if target == 0 {
			return beyond(8, running)
		}
		return 20 * time.Millisecond
	}
	l.play(10*time.Second, withKnee)
	for range 30 {
		l.play(time.Second, withKnee)
		limit := l.targets[0].Limit(kneeSlots)
		require.GreaterOrEqual(t, limit, 8)
		require.LessOrEqual(t, limit, 15, "steps exceed the goal with 13 requests; a trial takes one range more")
		require.False(t, l.targets[1].Limited())
	}
	l.play(60*time.Second, func(int, int, time.Duration) time.Duration { return 20 * time.Millisecond })
	require.False(t, l.targets[0].Limited())
}

// Guards against limits where all targets slow alike, where a target is slow at any load, and in spells.
func TestAlikeSlowAndSpellsAreNoKnee(t *testing.T) {
	for name, step := range map[string]func(target, running int, since time.Duration) time.Duration{
		"alike": func(_, running int, _ time.Duration) time.Duration { return beyond(8, running) },
		"slow": func(target, _ int, _ time.Duration) time.Duration {
			if target == 0 {
				return 60 * time.Millisecond
			}
			return 20 * time.Millisecond
		},
		"spells": func(target, _ int, since time.Duration) time.Duration {
			if target == 0 && since%(3*time.Second) < 600*time.Millisecond {
				return 50 * time.Millisecond
			}
			return 20 * time.Millisecond
		},
	} {
		l := newLoaded()
		l.play(30*time.Second, step)
		for n := range l.targets {
			require.False(t, l.targets[n].Limited(), "%s, target %d", name, n)
		}
	}
}
