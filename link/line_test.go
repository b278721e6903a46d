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

// TestReceiveTellsSilentFromBroken has a target that accepts a connection and
// sends nothing, and one that closes the connection.
func TestReceiveTellsSilentFromBroken(t *testing.T) {
	for name, c := range map[string]struct {
		close     bool
		want, not error
	}{
		"silent": {close: false, want: link.ErrSilent, not: link.ErrBroken},
		"closed": {close: true, want: link.ErrBroken, not: link.ErrSilent},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			accepted := make(chan net.Conn, 1)
			go func() {
				conn, err := l.Accept()
				if err == nil && c.close {
					conn.Close()
				}
				accepted <- conn
			}()
			line, err := link.NewPool(nil).Get(context.Background(), netip.MustParseAddrPort(l.Addr().String()), true)
			require.NoError(t, err)
			defer line.Close()
			conn := <-accepted
			require.NotNil(t, conn)
			defer conn.Close()
			err = line.Receive(&fasthttp.Response{}, 50*time.Millisecond)
			require.ErrorIs(t, err, c.want)
			require.NotErrorIs(t, err, c.not)
		})
	}
}

// TestExtendedWaitLosesNoBytes has bytes arrive after a wait timed out and was extended: none are
// lost, and FirstBytesUnread reports those that were not read yet.
func TestExtendedWaitLosesNoBytes(t *testing.T) {
	line, conn := connectedLine(t)
	_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-"))
	require.NoError(t, err)
	require.Eventually(t, line.FirstBytesUnread, time.Second, time.Millisecond)
	asked := 0
	line.SetTimeoutFunc(func() time.Duration {
		asked++
		if asked == 2 {
			require.False(t, line.FirstBytesUnread(), "nothing arrived after the first part, which was read")
			_, err := conn.Write([]byte("Length: 0\r\n\r\n"))
			require.NoError(t, err)
		}
		return 20 * time.Millisecond
	})
	response := &fasthttp.Response{}
	require.NoError(t, line.Receive(response, -time.Millisecond))
	require.GreaterOrEqual(t, asked, 2)
	require.Zero(t, response.Header.ContentLength())
}
