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

// TestReceiveTellsSilentFromBroken checks the errors of Receive: ErrSilent if the target keeps the
// connection open and sends nothing, ErrBroken if it closes the connection.
func TestReceiveTellsSilentFromBroken(t *testing.T) {
	for name, c := range map[string]struct {
		close     bool  // whether the target closes the connection
		want, not error // the error that Receive returns, and the one that it must not match
	}{
		"silent": {close: false, want: link.ErrSilent, not: link.ErrBroken},
		"closed": {close: true, want: link.ErrBroken, not: link.ErrSilent},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			accepted := make(chan net.Conn, 1)
			go func() {
				targetConn, err := listener.Accept()
				if err == nil && c.close {
					targetConn.Close()
				}
				accepted <- targetConn
			}()
			conn, err := link.NewPool(nil).Get(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), true)
			require.NoError(t, err)
			defer conn.Close()
			targetConn := <-accepted
			require.NotNil(t, targetConn)
			defer targetConn.Close()
			err = conn.Receive(&fasthttp.Response{}, 50*time.Millisecond)
			require.ErrorIs(t, err, c.want)
			require.NotErrorIs(t, err, c.not)
		})
	}
}

// TestExtendedWaitLosesNoBytes guards against bytes lost when a read times out and is retried with a
// new timeout: the rest of the response arrives only then, and Receive must return it whole.
// FirstBytesUnread must be true until the first part of the response is read, and false after it.
func TestExtendedWaitLosesNoBytes(t *testing.T) {
	conn, targetConn := connectedPair(t)
	_, err := targetConn.Write([]byte("HTTP/1.1 200 OK\r\nContent-"))
	require.NoError(t, err)
	require.Eventually(t, conn.FirstBytesUnread, time.Second, time.Millisecond)
	timeouts := 0
	conn.SetTimeoutFunc(func() time.Duration {
		timeouts++
		if timeouts == 2 {
			require.False(t, conn.FirstBytesUnread(), "FirstBytesUnread is true though all bytes that arrived were read")
			_, err := targetConn.Write([]byte("Length: 0\r\n\r\n"))
			require.NoError(t, err)
		}
		return 20 * time.Millisecond
	})
	response := &fasthttp.Response{}
	require.NoError(t, conn.Receive(response, -time.Millisecond))
	require.GreaterOrEqual(t, timeouts, 2)
	require.Zero(t, response.Header.ContentLength())
}
