package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

const (
	lagTick  = 10 * time.Millisecond
	lagLimit = 40 * time.Millisecond
)

// runLag takes ticks of a host whose processor is given to it for a part of each tenth
// of a second, and returns the time in which it was overloaded.
func runLag(l *placement.Lag, blocked time.Duration, length time.Duration) time.Duration {
	overloaded := time.Duration(0)
	for at := time.Duration(0); at < length; {
		late := time.Duration(0)
		if at%(100*time.Millisecond) < lagTick {
			late = blocked
		}
		l.Take(lagTick, late)
		if l.Overloaded() {
			overloaded += lagTick + late
		}
		at += lagTick + late
	}
	return overloaded
}

// Load pattern: the processor is used up for most of each tenth of a second.
func TestHostShortOfProcessorTimeIsOverloaded(t *testing.T) {
	l := placement.NewLag(lagLimit)
	require.Greater(t, runLag(l, 80*time.Millisecond, time.Second), 700*time.Millisecond)
	require.True(t, l.Overloaded())
	require.Less(t, runLag(l, 0, time.Second), 400*time.Millisecond)
	require.False(t, l.Overloaded())
}

// Load pattern: short pauses, as of a collection of garbage or a busy moment.
func TestShortPausesAreNoOverload(t *testing.T) {
	l := placement.NewLag(lagLimit)
	require.Zero(t, runLag(l, 20*time.Millisecond, 5*time.Second))
}

// Load pattern: every tick is late, as on a host that turned slow.
func TestSlowHostIsOverloaded(t *testing.T) {
	l := placement.NewLag(lagLimit)
	for range 20 {
		l.Take(lagTick, 60*time.Millisecond)
	}
	require.True(t, l.Overloaded())
}

// Load pattern: a host had no processor time for seconds. What it reads first came
// long ago, before any tick tells of it.
func TestStalledHostRefusesBeforeItsNextTick(t *testing.T) {
	l := placement.NewLag(lagLimit)
	require.False(t, l.Refuses(-lagTick, placement.Beyond))
	require.False(t, l.Refuses(lagLimit, placement.Beyond))
	require.True(t, l.Refuses(2*time.Second, placement.Entitled))
}

// Load pattern: one team crowds on a host. Those within their share are spared until
// it is far too much.
func TestCrowdOnAHostHurtsItsOwnTeam(t *testing.T) {
	l := placement.NewLag(lagLimit)
	for range 20 {
		l.Take(lagTick, 60*time.Millisecond)
	}
	require.True(t, l.Refuses(0, placement.Above))
	require.False(t, l.Refuses(0, placement.Entitled))
	for range 20 {
		l.Take(lagTick, 120*time.Millisecond)
	}
	require.True(t, l.Refuses(0, placement.Entitled))
}
