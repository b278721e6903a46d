package link

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The functions below look at a connection without reading from it. A read with MSG_PEEK would not do: on a
// connection that was reset it takes the socket's error, and the next read reports an orderly end.

// Readable reports whether unread bytes, the end of the connection or its failure can be read.
func Readable(conn net.Conn) bool { return pollConn(conn) != 0 }

// HasUnread reports whether unread bytes wait on a connection, whether or not it has ended behind them.
func HasUnread(conn net.Conn) bool {
	count := 0
	err := controlConn(conn, func(fd int) error {
		var err error
		count, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	return err == nil && count > 0
}

// ClosedByPeer reports whether the connection failed, or the other side closed it and no unread bytes remain.
func ClosedByPeer(conn net.Conn) bool {
	events := pollConn(conn)
	switch {
	case events&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0:
		return true
	case events&unix.POLLRDHUP != 0:
		return !HasUnread(conn)
	}
	return false
}

// pollConn returns the poll events of a connection: unix.POLLIN if a read would not block, unix.POLLRDHUP if the
// other side ended what it sends, unix.POLLERR or unix.POLLHUP if the connection failed or both sides ended it. A
// connection that is closed here has the event unix.POLLNVAL, and one without a socket has none.
func pollConn(conn net.Conn) int16 {
	var polled [1]unix.PollFd
	err := controlConn(conn, func(fd int) error {
		polled[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		for {
			if _, err := unix.Poll(polled[:], 0); !errors.Is(err, unix.EINTR) {
				return err
			}
		}
	})
	switch {
	case errors.Is(err, errNoSocket):
		return 0
	case err != nil:
		return unix.POLLNVAL
	}
	return polled[0].Revents
}

// errNoSocket means that a connection gives no access to a socket.
var errNoSocket = errors.New("connection without a socket")

// controlConn calls a function with the descriptor of the connection's socket.
func controlConn(conn net.Conn, call func(fd int) error) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = call(int(fd)) })
	return errors.CombineErrors(err, callErr)
}
