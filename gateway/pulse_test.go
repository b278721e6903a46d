package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host that stood still as it was told to stop counted its grace from when it went on, and was killed.
func TestGraceCountsFromBeforeTheHostStoodStill(t *testing.T) {
	g := newIdle(t)
	g.limits.Store(&limits{grace: 8 * time.Second})
	now := sinceBoot()
	g.pulse.beat(now - 1400*time.Millisecond)
	g.pulse.beat(now - 200*time.Millisecond) // it went on, and notices the signal now
	g.beginStop()
	require.Less(t, g.stopLeft(), 6200*time.Millisecond)
	require.Greater(t, g.stopLeft(), 5*time.Second)
}

// beats returns the times of a process that runs.
func beats(from, to time.Duration) []time.Duration {
	var all []time.Duration
	for at := from; at < to; at += 50 * time.Millisecond {
		all = append(all, at)
	}
	return all
}

// What is noticed counts from before the process stood still, for a short time after that.
func TestPulse(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		beats     []time.Duration
		now, want time.Duration
	}{
		"no beat yet":                       {nil, 20 * s, 20 * s},
		"it runs":                           {[]time.Duration{19950 * time.Millisecond}, 20 * s, 20 * s},
		"it stood still till now":           {[]time.Duration{18 * s}, 20 * s, 18 * s},
		"it went on just now":               {[]time.Duration{18 * s, 19800 * time.Millisecond, 19900 * time.Millisecond}, 20 * s, 18 * s},
		"it went on, and stood still again": {[]time.Duration{17 * s, 18 * s, 18*s + 300*time.Millisecond}, 18*s + 310*time.Millisecond, 17 * s},
		"it went on long ago":               {append([]time.Duration{17 * s}, beats(18*s, 19*s)...), 19 * s, 19 * s},
		"it stood still for long":           {[]time.Duration{2 * s}, 20 * s, 16 * s},
	} {
		t.Run(name, func(t *testing.T) {
			var p pulse
			for _, at := range c.beats {
				p.beat(at)
			}
			require.Equal(t, c.want, p.began(c.now, 4*s))
		})
	}
}
