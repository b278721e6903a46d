package link_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/link"
)

// unframedHead is the head of an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// receiveUnframed returns both ends of a connection and the body of an answer without a length, of which the target has
// written "part one".
func receiveUnframed(t *testing.T) (*link.Conn, net.Conn, *link.Body) {
	t.Helper()
	conn, targetConn := connectedPair(t)
	_, err := io.WriteString(targetConn, unframedHead+"part one")
	require.NoError(t, err)
	response := &fasthttp.Response{}
	require.NoError(t, conn.Receive(response, time.Second))
	body := link.NewBody(conn, response)
	require.False(t, body.Framed())
	return conn, targetConn, body
}

// reset closes a connection with a TCP reset.
func reset(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.(*net.TCPConn).SetLinger(0)) // otherwise Close sends FIN instead of RST
	require.NoError(t, conn.Close())
}

// TestResetIsSeenAfterTimeout guards against a truncated answer that looks complete: the target resets the
// connection while the process is suspended, so the wait times out first, and the checks after the timeout cleared
// the socket's error, upon which the next read reported an orderly end.
func TestResetIsSeenAfterTimeout(t *testing.T) {
	for _, unread := range []string{"", "part two"} {
		for checks := 1; checks <= 2; checks++ {
			t.Run(fmt.Sprintf("unread %q, checked %d times", unread, checks), func(t *testing.T) {
				conn, targetConn, body := receiveUnframed(t)
				timeouts := 0
				conn.SetTimeoutFunc(func() time.Duration {
					if timeouts++; timeouts > 1 {
						return time.Second
					}
					_, err := io.WriteString(targetConn, unread)
					require.NoError(t, err)
					reset(t, targetConn)
					require.Eventually(t, conn.HasInput, time.Second, time.Millisecond)
					for range checks {
						conn.FirstBytesUnread()
						conn.StalledWithUnread()
					}
					return time.Second
				})
				conn.SetWait(20 * time.Millisecond)
				text, err := io.ReadAll(body)
				require.ErrorIs(t, err, link.ErrBroken)
				require.Equal(t, "part one"+unread, string(text))
				require.False(t, body.Complete())
				_, err = body.Read(make([]byte, 1))
				require.ErrorIs(t, err, link.ErrBroken, "the error of a connection lasts")
			})
		}
	}
}

// TestOrderlyEndIsSeenAfterTimeout checks the counterpart of a reset: an answer that ends with its connection is
// complete, also if the checks after a timeout come first.
func TestOrderlyEndIsSeenAfterTimeout(t *testing.T) {
	conn, targetConn, body := receiveUnframed(t)
	conn.SetTimeoutFunc(func() time.Duration {
		require.NoError(t, targetConn.Close())
		require.Eventually(t, conn.HasInput, time.Second, time.Millisecond)
		conn.FirstBytesUnread()
		conn.StalledWithUnread()
		return time.Second
	})
	conn.SetWait(20 * time.Millisecond)
	text, err := io.ReadAll(body)
	require.NoError(t, err)
	require.Equal(t, "part one", string(text))
	require.True(t, body.Complete())
}

// TestChecksTellStateOfConnection checks what is reported of each state of a connection, and that the reports do not
// change what a read returns. A connection that was reset behind unread bytes is closed, and the bytes can be read.
func TestChecksTellStateOfConnection(t *testing.T) {
	const text = "text"
	for name, c := range map[string]struct {
		text                         string
		end                          func(t *testing.T, conn net.Conn)
		readable, unread, closed, ok bool // ok: reads end with io.EOF
	}{
		"open":                {end: func(*testing.T, net.Conn) {}},
		"open with bytes":     {text: text, end: func(*testing.T, net.Conn) {}, readable: true, unread: true},
		"ended":               {end: closeWrite, readable: true, closed: true, ok: true},
		"ended behind bytes":  {text: text, end: closeWrite, readable: true, unread: true, ok: true},
		"reset":               {end: reset, readable: true, closed: true},
		"reset behind bytes":  {text: text, end: reset, readable: true, unread: true, closed: true},
		"closed":              {end: closeConn, readable: true, closed: true, ok: true},
		"closed behind bytes": {text: text, end: closeConn, readable: true, unread: true, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			peer, err := listener.Accept()
			require.NoError(t, err)
			defer peer.Close()
			_, err = io.WriteString(peer, c.text)
			require.NoError(t, err)
			c.end(t, peer)
			matches := func() bool {
				return link.Readable(conn) == c.readable && link.HasUnread(conn) == c.unread && link.ClosedByPeer(conn) == c.closed
			}
			require.Eventually(t, matches, time.Second, time.Millisecond)
			for range 3 {
				require.True(t, matches())
			}
			if !c.closed && !c.ok {
				return
			}
			got, err := io.ReadAll(conn)
			require.Equal(t, c.ok, err == nil, "%v", err)
			require.Equal(t, c.text, string(got))
		})
	}
}

// closeWrite ends what the connection sends; it can still be read.
func closeWrite(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
}

// closeConn closes a connection.
func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.Close())
}
