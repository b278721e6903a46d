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

// connectedLine returns a connection from a pool and the target's end of it.
func connectedLine(t *testing.T) (*link.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	line, err := link.NewPool(nil).Get(context.Background(), netip.MustParseAddrPort(l.Addr().String()), true)
	require.NoError(t, err)
	t.Cleanup(line.Close)
	conn, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return line, conn
}

// TestStalledAfterPartialRead checks that StalledWithUnread reports bytes that arrived while the reader was
// blocked, even if a part of the response was read in the same wait.
func TestStalledAfterPartialRead(t *testing.T) {
	line, conn := connectedLine(t)
	_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-"))
	require.NoError(t, err)
	asked := 0
	line.SetTimeoutFunc(func() time.Duration {
		if asked++; asked == 1 {
			_, err := conn.Write([]byte("Length: 0\r\n\r\n"))
			require.NoError(t, err)
			time.Sleep(60 * time.Millisecond)
			require.True(t, line.StalledWithUnread(), "unread bytes arrived after the wait ended")
		}
		return 200 * time.Millisecond
	})
	require.NoError(t, line.Receive(&fasthttp.Response{}, 100*time.Millisecond))
}

// TestClosedConnectionIsNotArrival checks that the end of a connection does not count as unread bytes.
func TestClosedConnectionIsNotArrival(t *testing.T) {
	line, conn := connectedLine(t)
	conn.Close()
	require.Eventually(t, line.HasInput, time.Second, time.Millisecond)
	require.False(t, line.FirstBytesUnread())
	require.False(t, line.StalledWithUnread())
}
