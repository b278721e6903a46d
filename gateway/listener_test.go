package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// When accepting fails because the process or the system has run out of file descriptors, the listener
// reports the error and retries. Other errors are returned.
func TestListenerRetriesWhenDescriptorsRunOut(t *testing.T) {
	calls := 0
	var reported []error
	report := func(err error) { reported = append(reported, err) }
	l := callerListener{shed: shedNone, onDescriptors: report, callers: newCallerTracker(nil), accept: func() (*net.TCPConn, error) {
		calls++
		switch calls {
		case 1:
			return nil, errors.Wrap(syscall.EMFILE, "accept")
		case 2:
			return nil, errors.Wrap(syscall.ENFILE, "accept")
		case 3:
			return &net.TCPConn{}, nil
		}
		return nil, net.ErrClosed
	}}
	_, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, 3, calls)
	require.Len(t, reported, 3)
	require.ErrorIs(t, reported[0], syscall.EMFILE)
	require.ErrorIs(t, reported[1], syscall.ENFILE)
	require.NoError(t, reported[2])
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// Connections of callers are accepted without TCP keep-alive: enabling it takes system calls for each
// connection, and a busy host needs that processor time for requests.
func TestCallerConnectionsHaveNoKeepAliveProbes(t *testing.T) {
	l, err := listenConfig.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	conn, err := newCallerListener(l.(*net.TCPListener), newCallerTracker(nil)).Accept()
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*callerConn).SyscallConn()
	require.NoError(t, err)
	var probes int
	require.NoError(t, raw.Control(func(fd uintptr) {
		probes, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
	}))
	require.NoError(t, err)
	require.Zero(t, probes)
}
