package link

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Readable reports whether unread bytes or the end of the connection can be
// read. It consumes nothing.
func Readable(conn net.Conn) bool {
	_, state := peek(conn)
	return state
}

// ClosedByPeer reports whether the other side closed the connection and no unread bytes
// remain. It consumes nothing.
func ClosedByPeer(conn net.Conn) bool {
	n, readable := peek(conn)
	return readable && n <= 0
}

// peek returns the number of bytes seen, at most 1, and whether a read would not
// block. 0 or less with true means that the connection ended or failed.
func peek(conn net.Conn) (int, bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, true
	}
	n, readable := 0, true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		var peekErr error
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EINTR) {
			readable = false
		}
	})
	return n, readable || err != nil
}
