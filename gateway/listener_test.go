package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// A listener that fails to accept because no descriptor is left, of the process or the system,
// retries and reports the error. Other errors are returned.
func TestListenerRetriesWhenDescriptorsRunOut(t *testing.T) {
	calls := 0
	var noted []error
	note := func(err error) { noted = append(noted, err) }
	l := callerListener{shed: shedNone, onDescriptors: note, callers: newCallerTracker(nil), accept: func() (*net.TCPConn, error) {
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
	require.Len(t, noted, 3)
	require.ErrorIs(t, noted[0], syscall.EMFILE)
	require.ErrorIs(t, noted[1], syscall.ENFILE)
	require.NoError(t, noted[2])
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// Keep-alive probes cost system calls for each new connection, processor time that a crowded host
// needs for requests.
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
