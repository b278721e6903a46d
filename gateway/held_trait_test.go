package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/quarantine"
)

// A request that waits for a target while one of its parts is held from now on is refused with the time for which that
// is held, like one that comes a moment later. It was told to come back after half a second.
func TestWaitingRequestIsToldHowLongItsPartIsHeld(t *testing.T) {
	g := newIdleGateway(t)
	traits := []quarantine.Trait{7, 8}
	waiting := &exchange{gateway: g, traits: traits, abortSignal: make(chan struct{})}
	g.core.exchanges[1] = waiting
	now := time.Now()
	for n := range 2 {
		at := now.Add(time.Duration(n-2) * time.Second)
		g.applyCrash(now, &quarantine.Report{Target: "a", At: at, SentAt: at.Add(-500 * time.Millisecond), Traits: traits[:1]}, noPeer)
	}
	require.True(t, waiting.isAborted())
	p := waiting.checkSend()
	require.Equal(t, fasthttp.StatusServiceUnavailable, p.status)
	require.Equal(t, reasonPoison, p.reason)
	require.Equal(t, traits[0], waiting.heldTrait, "the log has to say why")
	later := g.core.checkTraits(traits)
	require.Greater(t, later.retryAfter, 5*time.Second)
	require.InDelta(t, later.retryAfter.Seconds(), p.retryAfter.Seconds(), 1)
}
