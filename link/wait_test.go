package link_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/link"
)

// connectedPair returns both ends of a connection: the pool's, then the target's.
func connectedPair(t *testing.T) (*link.Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := link.NewPool(nil).Get(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), true)
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	targetConn, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { targetConn.Close() })
	return conn, targetConn
}

// TestStalledAfterPartialRead guards against a target that is called silent although its response has
// arrived, because the process was stalled and has not read it yet. StalledWithUnread must report
// such bytes, even if an earlier part of the response was read within the same timeout.
func TestStalledAfterPartialRead(t *testing.T) {
	conn, targetConn := connectedPair(t)
	_, err := targetConn.Write([]byte("HTTP/1.1 200 OK\r\nContent-"))
	require.NoError(t, err)
	timeouts := 0
	conn.SetTimeoutFunc(func() time.Duration {
		if timeouts++; timeouts == 1 {
			_, err := targetConn.Write([]byte("Length: 0\r\n\r\n"))
			require.NoError(t, err)
			time.Sleep(60 * time.Millisecond)
			require.True(t, conn.StalledWithUnread(), "StalledWithUnread missed bytes that arrived after the read timed out")
		}
		return 200 * time.Millisecond
	})
	require.NoError(t, conn.Receive(&fasthttp.Response{}, 100*time.Millisecond))
}

// TestClosedConnectionIsNotArrival checks that a connection which the target closed without sending
// anything is not reported as having unread bytes, although its socket is readable.
func TestClosedConnectionIsNotArrival(t *testing.T) {
	conn, targetConn := connectedPair(t)
	targetConn.Close()
	require.Eventually(t, conn.HasInput, time.Second, time.Millisecond)
	require.False(t, conn.FirstBytesUnread())
	require.False(t, conn.StalledWithUnread())
}
