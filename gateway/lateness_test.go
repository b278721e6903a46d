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

// Timers of a host fired on time while its requests queued for the processor, so that it did not count as
// overloaded. The delay of runnable goroutines must count as lag.
func TestRunQueueDelayCountsAsLag(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	stop := make(chan struct{})
	defer close(stop)
	for range 50 {
		go processor.Burn(stop)
	}
	ticks := 0
	totalLag := time.Duration(0)
	due := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	<-runLoop(ctx, func() time.Duration {
		totalLag += nowAfterYield().Sub(due)
		if ticks++; ticks == 5 {
			cancel()
		}
		due = time.Now().Add(tickInterval)
		return tickInterval
	})
	require.Greater(t, totalLag/5, 40*time.Millisecond)
}

// A host short of processor time mistook its own lag for failures of targets and other hosts. Its timeouts for
// them must grow with its lag.
func TestTimeoutsGrowWithOwnLag(t *testing.T) {
	c := newCore(Settings{MaxLag: settings.OptionalDuration{Duration: time.Minute}})
	require.Equal(t, dialTimeout, c.timeoutWithLag(dialTimeout))
	now := time.Unix(1000, 0)
	for range 50 {
		c.lag.ExpectTick(now, tickInterval)
		now = now.Add(tickInterval + 200*time.Millisecond)
		c.lag.Tick(now)
	}
	require.Greater(t, c.timeoutWithLag(dialTimeout), dialTimeout+400*time.Millisecond)
}

// A host that had no processor time for seconds must not drop the other hosts as silent: their state reports
// may have arrived without having been read.
func TestLaggingHostKeepsPeers(t *testing.T) {
	c := newCore(Settings{MaxLag: settings.OptionalDuration{Duration: time.Minute}})
	now := time.Unix(1000, 0)
	tick := func(late time.Duration) {
		now = now.Add(tickInterval + late)
		c.tick(now, tickInterval)
	}
	tick(0)
	c.applyPeerState(now, 1, placement.PeerState{})
	tick(4 * time.Second)
	tick(0)
	require.Equal(t, 1, c.board.Peers(), "its state report may not have been read yet")
	for range 200 {
		tick(0)
	}
	require.Zero(t, c.board.Peers(), "a silent host is dropped")
}
