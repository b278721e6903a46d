package gateway_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller that resets its connection behind unread bytes is gone, and its request is cancelled at the target. The bytes
// of a next request, which nobody reads before the answer is written, must not hide the reset.
func TestCallerThatResetsBehindNextRequestIsGone(t *testing.T) {
	const request = "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n"
	ended := make(chan bool, 1)
	a := newScriptedTarget(t, "a", "model", func(a *arrival) bool {
		ended <- closedWithin(a.conn, waitTimeout)
		return false
	})
	w := newTestEnv(t, a)
	conn := w.dial(request)
	w.waitUntil(func() bool { return len(a.received()) == 1 })
	_, err := conn.Write([]byte(request))
	require.NoError(t, err)
	w.waitUntil(func() bool { count, err := unackedBytes(conn); return err == nil && count == 0 })
	require.NoError(t, conn.(*net.TCPConn).SetLinger(0)) // otherwise Close sends FIN instead of RST
	require.NoError(t, conn.Close())
	select {
	case closed := <-ended:
		require.True(t, closed)
	case <-time.After(time.Second):
		t.Fatal("the request was not cancelled at the target")
	}
}
