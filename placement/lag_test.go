package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// Period and limit of the simulated ticks.
const (
	lagTick  = 10 * time.Millisecond
	lagLimit = 40 * time.Millisecond
)

// lateHost is a host whose ticks come late.
type lateHost struct {
	lag *placement.LagDetector
	now time.Time
}

// newLateHost returns a host before its first tick.
func newLateHost() *lateHost {
	l := &lateHost{lag: placement.NewLagDetector(lagLimit), now: time.Unix(1000, 0)}
	l.lag.ExpectTick(l.now, lagTick)
	return l
}

// tick runs the next tick late by a time.
func (l *lateHost) tick(late time.Duration) {
	l.now = l.now.Add(lagTick + late)
	l.lag.Tick(l.now)
	l.lag.ExpectTick(l.now, lagTick)
}

// run delays one tick in each tenth of a second, and returns how long the host was overloaded.
func (l *lateHost) run(delay, length time.Duration) time.Duration {
	overloaded := time.Duration(0)
	for at := time.Duration(0); at < length; {
		late := time.Duration(0)
		if at%(100*time.Millisecond) < lagTick {
			late = delay
		}
		l.tick(late)
		if l.lag.Overloaded() {
			overloaded += lagTick + late
		}
		at += lagTick + late
	}
	return overloaded
}

// TestHostShortOfProcessorTimeIsOverloaded checks that a host without processor time for most of
// each tenth of a second is overloaded.
func TestHostShortOfProcessorTimeIsOverloaded(t *testing.T) {
	l := newLateHost()
	require.Greater(t, l.run(80*time.Millisecond, time.Second), 700*time.Millisecond)
	require.True(t, l.lag.Overloaded())
	require.Less(t, l.run(0, time.Second), 400*time.Millisecond)
	require.False(t, l.lag.Overloaded())
}

// TestShortPausesAreNoOverload checks that short pauses, such as those of the garbage collector,
// are no overload.
func TestShortPausesAreNoOverload(t *testing.T) {
	require.Zero(t, newLateHost().run(20*time.Millisecond, 5*time.Second))
}

// TestSlowHostIsOverloaded checks that a slow host, on which every tick is late, is overloaded.
func TestSlowHostIsOverloaded(t *testing.T) {
	l := newLateHost()
	for range 20 {
		l.tick(60 * time.Millisecond)
	}
	require.True(t, l.lag.Overloaded())
}

// TestStalledHostRefusesBeforeItsNextTick checks a host that had no processor time for seconds.
// The requests it reads first arrived long ago, before any tick shows the lag.
func TestStalledHostRefusesBeforeItsNextTick(t *testing.T) {
	l := newLateHost()
	require.False(t, placement.NewLagDetector(lagLimit).Refuses(l.now, placement.AboveEvenShare), "before the first tick")
	require.False(t, l.lag.Refuses(l.now, placement.AboveEvenShare))
	require.False(t, l.lag.Refuses(l.now.Add(lagTick+lagLimit), placement.AboveEvenShare))
	require.True(t, l.lag.Refuses(l.now.Add(2*time.Second), placement.Entitled))
}

// TestOverloadedHostRefusesTeamsAboveTheirShareFirst checks that an overloaded host refuses
// teams above their share first, and entitled teams only if its lag is far too long.
func TestOverloadedHostRefusesTeamsAboveTheirShareFirst(t *testing.T) {
	l := newLateHost()
	for range 20 {
		l.tick(60 * time.Millisecond)
	}
	require.True(t, l.lag.Refuses(l.now, placement.AboveEntitledShare))
	require.False(t, l.lag.Refuses(l.now, placement.Entitled))
	for range 20 {
		l.tick(120 * time.Millisecond)
	}
	require.True(t, l.lag.Refuses(l.now, placement.Entitled))
}
