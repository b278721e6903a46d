package gateway

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/standin/processor"
)

// FAIR on a host whose timers fire in time while its requests queue for the processor:
// what waits to run counts as lateness.
func TestWorkThatWaitsToRunIsLateness(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	stop := make(chan struct{})
	defer close(stop)
	for range 50 {
		go processor.Burn(stop)
	}
	ticks := 0
	late := time.Duration(0)
	due := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	<-every(ctx, func() time.Duration {
		late += inTurn().Sub(due)
		if ticks++; ticks == 5 {
			cancel()
		}
		due = time.Now().Add(tickEvery)
		return tickEvery
	})
	require.Greater(t, late/5, 40*time.Millisecond)
}

// FAIR on a host short of processor time that took its own lateness for failures of
// targets and hosts: what it waits for others grows with its lateness.
func TestOwnLatenessIsNoFailureOfOthers(t *testing.T) {
	c := newCore(Settings{Lag: settings.OptionalDuration{Duration: time.Minute}})
	require.Equal(t, dialTimeout, c.allow(dialTimeout))
	now := time.Unix(1000, 0)
	for range 50 {
		c.lag.Next(now, tickEvery)
		now = now.Add(tickEvery + 200*time.Millisecond)
		c.lag.Tick(now)
	}
	require.Greater(t, c.allow(dialTimeout), dialTimeout+400*time.Millisecond)
}

// A host that had no processor time for seconds does not lose the others, whose news it has
// not read yet.
func TestLateHostLosesNoPeers(t *testing.T) {
	c := newCore(Settings{Lag: settings.OptionalDuration{Duration: time.Minute}})
	now := time.Unix(1000, 0)
	tick := func(late time.Duration) {
		now = now.Add(tickEvery + late)
		c.tick(now, tickEvery)
	}
	tick(0)
	c.learn(now, 1, placement.News{})
	tick(4 * time.Second)
	tick(0)
	require.Equal(t, 1, c.board.Peers(), "its news may wait to be read")
	for range 200 {
		tick(0)
	}
	require.Zero(t, c.board.Peers(), "a host that is silent is lost")
}
