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

// TestIdleConnectionsAreClosed guards against a leak of file descriptors: after a burst of requests
// the pool holds many idle connections, and must close each once its maximum idle time has passed.
// Half of the connections have a maximum of a second here, the others of a minute.
func TestIdleConnectionsAreClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	address := netip.MustParseAddrPort(listener.Addr().String())
	pool := link.NewPool(nil)
	const burst = 20
	var conns []*link.Conn
	for range burst {
		conn, err := pool.Get(context.Background(), address, true)
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	for n, conn := range conns {
		conn.SetMaxIdle(time.Minute)
		if n%2 == 0 {
			conn.SetMaxIdle(time.Second)
		}
		pool.Put(address, conn)
	}
	pool.Reap(time.Now())
	require.Equal(t, burst, pool.IdleCount())
	pool.Reap(time.Now().Add(2 * time.Second))
	require.Equal(t, burst/2, pool.IdleCount())
	pool.Reap(time.Now().Add(time.Hour))
	require.Zero(t, pool.IdleCount())
}
