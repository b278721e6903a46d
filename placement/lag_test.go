package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// Parameters of the simulated ticks.
const (
	tickInterval = 10 * time.Millisecond // time from a tick to the next one if none is late
	maxLag       = 40 * time.Millisecond // lag above which a host is overloaded
)

// lateHost is a host whose ticks come late.
type lateHost struct {
	lag *placement.LagDetector
	now time.Time
}

// newLateHost returns a host before its first tick.
func newLateHost() *lateHost {
	h := &lateHost{lag: placement.NewLagDetector(maxLag), now: time.Unix(1000, 0)}
	h.lag.ExpectTick(h.now, tickInterval)
	return h
}

// tick runs the next tick, later than expected by late.
func (h *lateHost) tick(late time.Duration) {
	h.now = h.now.Add(tickInterval + late)
	h.lag.Tick(h.now)
	h.lag.ExpectTick(h.now, tickInterval)
}

// run ticks for a time with one late tick in each tenth of a second, and returns how long the host
// was overloaded.
func (h *lateHost) run(delay, length time.Duration) time.Duration {
	overloaded := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < length; {
		late := time.Duration(0)
		if elapsed%(100*time.Millisecond) < tickInterval {
			late = delay
		}
		h.tick(late)
		if h.lag.Overloaded() {
			overloaded += tickInterval + late
		}
		elapsed += tickInterval + late
	}
	return overloaded
}

// TestHostShortOfProcessorTimeIsOverloaded checks that a host that gets no processor time for most
// of each tenth of a second counts as overloaded, until it gets enough again.
func TestHostShortOfProcessorTimeIsOverloaded(t *testing.T) {
	h := newLateHost()
	require.Greater(t, h.run(80*time.Millisecond, time.Second), 700*time.Millisecond)
	require.True(t, h.lag.Overloaded())
	require.Less(t, h.run(0, time.Second), 400*time.Millisecond)
	require.False(t, h.lag.Overloaded())
}

// TestShortPausesAreNoOverload checks that a host with short pauses, such as those of the garbage
// collector, does not count as overloaded.
func TestShortPausesAreNoOverload(t *testing.T) {
	require.Zero(t, newLateHost().run(20*time.Millisecond, 5*time.Second))
}

// TestSlowHostIsOverloaded checks that a slow host, on which every tick is late, is overloaded.
func TestSlowHostIsOverloaded(t *testing.T) {
	h := newLateHost()
	for range 20 {
		h.tick(60 * time.Millisecond)
	}
	require.True(t, h.lag.Overloaded())
}

// TestStalledHostRefusesBeforeItsNextTick guards against a host that accepts requests right after
// it had no processor time for seconds. The requests that it reads first arrived long ago, but no
// tick has shown the lag yet.
func TestStalledHostRefusesBeforeItsNextTick(t *testing.T) {
	h := newLateHost()
	require.False(t, placement.NewLagDetector(maxLag).Refuses(h.now, placement.AboveEvenShare), "before the first tick")
	require.False(t, h.lag.Refuses(h.now, placement.AboveEvenShare))
	require.False(t, h.lag.Refuses(h.now.Add(tickInterval+maxLag), placement.AboveEvenShare))
	require.True(t, h.lag.Refuses(h.now.Add(2*time.Second), placement.Entitled))
}

// TestOverloadedHostRefusesTeamsAboveTheirShareFirst checks that an overloaded host refuses only
// teams above their share, and entitled teams too once its lag is far above the limit.
func TestOverloadedHostRefusesTeamsAboveTheirShareFirst(t *testing.T) {
	h := newLateHost()
	for range 20 {
		h.tick(60 * time.Millisecond)
	}
	require.True(t, h.lag.Refuses(h.now, placement.AboveEntitledShare))
	require.False(t, h.lag.Refuses(h.now, placement.Entitled))
	for range 20 {
		h.tick(120 * time.Millisecond)
	}
	require.True(t, h.lag.Refuses(h.now, placement.Entitled))
}
