package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host that was stalled when it was told to stop counted its grace period from the end of the stall
// instead of its start, and was killed before it had ended its requests.
func TestGracePeriodCountsFromStartOfStall(t *testing.T) {
	g := newIdleGateway(t)
	g.limits.Store(&limits{grace: 8 * time.Second})
	now := sinceBoot()
	g.stalls.beat(now - 1400*time.Millisecond)
	g.stalls.beat(now - 200*time.Millisecond) // the stall ends, and the signal is noticed now
	g.beginStop()
	require.Less(t, g.stopTimeLeft(), 6200*time.Millisecond)
	require.Greater(t, g.stopTimeLeft(), 5*time.Second)
}

// steadyBeats returns the beat times of a process that runs without stalls.
func steadyBeats(from, to time.Duration) []time.Duration {
	var all []time.Duration
	for beat := from; beat < to; beat += 50 * time.Millisecond {
		all = append(all, beat)
	}
	return all
}

// Events that are noticed within a short time after a stall count from the start of the stall.
func TestStallDetector(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		beats     []time.Duration
		now, want time.Duration
	}{
		"no beat yet":                       {nil, 20 * s, 20 * s},
		"running":                           {[]time.Duration{19950 * time.Millisecond}, 20 * s, 20 * s},
		"stalled until now":                 {[]time.Duration{18 * s}, 20 * s, 18 * s},
		"stall ended just now":              {[]time.Duration{18 * s, 19800 * time.Millisecond, 19900 * time.Millisecond}, 20 * s, 18 * s},
		"stalled again after a short break": {[]time.Duration{17 * s, 18 * s, 18*s + 300*time.Millisecond}, 18*s + 310*time.Millisecond, 17 * s},
		"stall ended long ago":              {append([]time.Duration{17 * s}, steadyBeats(18*s, 19*s)...), 19 * s, 19 * s},
		"long stall":                        {[]time.Duration{2 * s}, 20 * s, 16 * s},
	} {
		t.Run(name, func(t *testing.T) {
			var p stallDetector
			for _, beat := range c.beats {
				p.beat(beat)
			}
			require.Equal(t, c.want, p.earliestTime(c.now, 4*s))
		})
	}
}
