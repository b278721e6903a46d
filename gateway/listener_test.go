package gateway

import (
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// A process that has no descriptor left accepts again once it has, at each of its
// addresses; other errors end the listener.
func TestListenerOutlivesATimeWithoutDescriptors(t *testing.T) {
	calls := 0
	l := patientListener{accept: func() (*net.TCPConn, error) {
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
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
