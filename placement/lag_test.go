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

// laggard is a host whose ticks come late.
type laggard struct {
	lag *placement.Lag
	now time.Time
}

func newLaggard() *laggard {
	l := &laggard{lag: placement.NewLag(lagLimit), now: time.Unix(1000, 0)}
	l.lag.Next(l.now, lagTick)
	return l
}

// tick lets the next tick come late by a time.
func (l *laggard) tick(late time.Duration) {
	l.now = l.now.Add(lagTick + late)
	l.lag.Tick(l.now)
	l.lag.Next(l.now, lagTick)
}

// run lets the processor be away for a part of each tenth of a second, and returns
// the time in which the host was overloaded.
func (l *laggard) run(away, length time.Duration) time.Duration {
	overloaded := time.Duration(0)
	for at := time.Duration(0); at < length; {
		late := time.Duration(0)
		if at%(100*time.Millisecond) < lagTick {
			late = away
		}
		l.tick(late)
		if l.lag.Overloaded() {
			overloaded += lagTick + late
		}
		at += lagTick + late
	}
	return overloaded
}

// Load pattern: the processor is used up for most of each tenth of a second.
func TestHostShortOfProcessorTimeIsOverloaded(t *testing.T) {
	l := newLaggard()
	require.Greater(t, l.run(80*time.Millisecond, time.Second), 700*time.Millisecond)
	require.True(t, l.lag.Overloaded())
	require.Less(t, l.run(0, time.Second), 400*time.Millisecond)
	require.False(t, l.lag.Overloaded())
}

// Load pattern: short pauses, as of a collection of garbage or a busy moment.
func TestShortPausesAreNoOverload(t *testing.T) {
	require.Zero(t, newLaggard().run(20*time.Millisecond, 5*time.Second))
}

// Load pattern: every tick is late, as on a host that turned slow.
func TestSlowHostIsOverloaded(t *testing.T) {
	l := newLaggard()
	for range 20 {
		l.tick(60 * time.Millisecond)
	}
	require.True(t, l.lag.Overloaded())
}

// Load pattern: a host had no processor time for seconds. What it reads first came
// long ago, before any tick tells of it.
func TestStalledHostRefusesBeforeItsNextTick(t *testing.T) {
	l := newLaggard()
	require.False(t, placement.NewLag(lagLimit).Refuses(l.now, placement.Beyond), "before the first tick")
	require.False(t, l.lag.Refuses(l.now, placement.Beyond))
	require.False(t, l.lag.Refuses(l.now.Add(lagTick+lagLimit), placement.Beyond))
	require.True(t, l.lag.Refuses(l.now.Add(2*time.Second), placement.Entitled))
}

// Load pattern: one team crowds on a host. Those within their share are spared until
// it is far too much.
func TestCrowdOnAHostHurtsItsOwnTeam(t *testing.T) {
	l := newLaggard()
	for range 20 {
		l.tick(60 * time.Millisecond)
	}
	require.True(t, l.lag.Refuses(l.now, placement.Above))
	require.False(t, l.lag.Refuses(l.now, placement.Entitled))
	for range 20 {
		l.tick(120 * time.Millisecond)
	}
	require.True(t, l.lag.Refuses(l.now, placement.Entitled))
}
