package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An overloaded host refuses a request as soon as its connection is accepted, but only if the request has
// arrived completely. Closing a connection with unread bytes resets it, and the caller gets no answer.
func TestOnlyCompleteRequestsAreShed(t *testing.T) {
	const start = "POST /stream/x HTTP/1.1\r\nHost: h\r\n"
	s := newShedder(nil, nil)
	long := strings.Repeat("x", 6000)
	for _, c := range []struct {
		name, request string
		complete      bool
	}{
		{"nothing", "", false},
		{"part of a head", start, false},
		{"no body", start + "\r\n", true},
		{"whole body", start + "Content-Length: 2\r\n\r\nab", true},
		{"long body", start + "Content-Length: 6000\r\n\r\n" + long, true},
		{"part of a body", start + "Content-Length: 3\r\n\r\nab", false},
		{"two requests", start + "Content-Length: 0\r\n\r\n" + start, false},
		{"chunks", start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"no HTTP", "x\r\n\r\n", false},
	} {
		require.Equal(t, c.complete, s.readWhole([]byte(c.request)), c.name)
	}
}

// The server must get the bytes that were already read when the connection was accepted, followed by the
// rest. A connection on which nothing had arrived by then works as usual.
func TestBytesReadAtAcceptAreServedFirst(t *testing.T) {
	for _, first := range []string{"", "first"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		caller, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(caller, first)
		require.NoError(t, err)
		raw, err := l.(*net.TCPListener).SyscallConn()
		require.NoError(t, err)
		var accepted socket
		require.Eventually(t, func() (ok bool) {
			accepted, ok = tryAccept(raw)
			return ok
		}, 10*time.Second, time.Millisecond)
		require.Equal(t, caller.LocalAddr().String(), accepted.caller.String())
		var read []byte
		require.Eventually(t, func() bool {
			read = append(read, accepted.tryRead(make([]byte, maxEarlyBytes))...)
			return len(read) == len(first)
		}, 10*time.Second, time.Millisecond)
		c := newCallerTracker(nil).add(accepted.netConn(), read)
		defer c.Close()
		_, err = io.WriteString(caller, " second")
		require.NoError(t, err)
		require.NoError(t, caller.Close())
		all, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, first+" second", string(all))
	}
}
