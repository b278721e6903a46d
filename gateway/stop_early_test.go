package gateway

import (
	"bufio"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A host that was stopped during its start, or before its first configuration, outlived its grace period or
// left a request without an answer.
func TestHostStoppedEarlyEndsWithinGracePeriod(t *testing.T) {
	const grace = 1200 * time.Millisecond
	for name, serves := range map[string]bool{"at its start": false, "before its first configuration": true} {
		t.Run(name, func(t *testing.T) {
			g := newIdleGateway(t)
			g.limits.Store(&limits{grace: grace})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			if !serves {
				stop()
			}
			done := make(chan error, 1)
			go func() { done <- g.Run(ctx) }()
			if serves {
				requireRefused(t, g)
				stop()
				require.Eventually(t, g.stopping, 10*time.Second, time.Millisecond)
			}
			began := time.Now()
			requireRefused(t, g)
			require.NoError(t, <-done)
			require.Less(t, time.Since(began), grace)
			require.Zero(t, g.callers.count())
		})
	}
}

// requireRefused sends a request and requires that it is refused, as a host without a configuration does.
func requireRefused(t *testing.T, g *Gateway) {
	t.Helper()
	caller := dialIdle(t, g, unroutedRequest)
	var answer fasthttp.Response
	require.NoError(t, answer.Read(bufio.NewReader(caller)))
	require.Equal(t, fasthttp.StatusServiceUnavailable, answer.StatusCode())
}
