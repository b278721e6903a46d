package link_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/link"
)

// TestIdleConnectionsAreClosed guards against idle connections that a burst of requests leaves
// behind: each occupies a descriptor until it is closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	address := netip.MustParseAddrPort(l.Addr().String())
	pool := link.NewPool(nil)
	const burst = 20
	var lines []*link.Conn
	for range burst {
		line, err := pool.Get(context.Background(), address, true)
		require.NoError(t, err)
		lines = append(lines, line)
	}
	for n, line := range lines {
		line.SetMaxIdle(time.Minute)
		if n%2 == 0 {
			line.SetMaxIdle(time.Second)
		}
		pool.Put(address, line)
	}
	pool.Reap(time.Now())
	require.Equal(t, burst, pool.IdleCount())
	pool.Reap(time.Now().Add(2 * time.Second))
	require.Equal(t, burst/2, pool.IdleCount())
	pool.Reap(time.Now().Add(time.Hour))
	require.Zero(t, pool.IdleCount())
}
