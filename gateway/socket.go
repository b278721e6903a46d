package gateway

import (
	"net"
	"net/netip"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// socket is an accepted connection of a caller that is not registered with the Go runtime. Refusing
// a request on it takes fewer system calls than on a net.Conn.
type socket struct {
	fd     int
	caller netip.AddrPort
}

// tryAccept accepts a pending connection without blocking. It returns false if there is none.
func tryAccept(listener syscall.RawConn) (socket, bool) {
	fd := -1
	var from syscall.Sockaddr
	err := listener.Control(func(listening uintptr) {
		var acceptErr error
		if fd, from, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); acceptErr != nil {
			fd = -1 // the next accept of the listener returns the error
		}
	})
	if err != nil || fd < 0 {
		return socket{}, false
	}
	return socket{fd: fd, caller: sockaddrToAddrPort(from)}, true
}

// sockaddrToAddrPort converts a socket address; the result is zero if it is not an IP address.
func sockaddrToAddrPort(from syscall.Sockaddr) netip.AddrPort {
	switch from := from.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(from.Addr), uint16(from.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(from.Addr).Unmap(), uint16(from.Port))
	}
	return netip.AddrPort{}
}

// tryRead returns the bytes that the caller has already sent, without blocking.
func (s socket) tryRead(buf []byte) []byte {
	n, err := syscall.Read(s.fd, buf)
	if err != nil {
		return nil // the next read of the server returns the error
	}
	return buf[:n]
}

// Write implements io.Writer. It does not loop: a short answer always fits the send buffer of a
// new connection.
func (s socket) Write(p []byte) (int, error) { return syscall.Write(s.fd, p) }

// close closes the connection.
func (s socket) close() {
	_ = syscall.Close(s.fd) // an error leaves nothing to clean up
}

// netConn registers the connection with the runtime. Unlike net.FileConn it does not duplicate the
// descriptor, so it works on a host that has no descriptor left.
func (s socket) netConn() net.Conn {
	_ = syscall.SetsockoptInt(s.fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // fails only if the caller disconnected
	return &fileConn{File: os.NewFile(uintptr(s.fd), "caller"), caller: s.caller}
}

// fileConn implements net.Conn on the descriptor of a socket.
type fileConn struct {
	*os.File
	caller netip.AddrPort
}

// Read implements net.Conn. It returns net.ErrClosed for a closed connection, as the server expects.
func (c *fileConn) Read(p []byte) (int, error) {
	n, err := c.File.Read(p)
	if errors.Is(err, os.ErrClosed) {
		err = net.ErrClosed
	}
	return n, err
}

// LocalAddr implements net.Conn. The address is zero once the connection is closed.
func (c *fileConn) LocalAddr() net.Addr {
	var own netip.AddrPort
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { // fails once the connection is closed
			if from, err := syscall.Getsockname(int(fd)); err == nil {
				own = sockaddrToAddrPort(from)
			}
		})
	}
	return net.TCPAddrFromAddrPort(own)
}

// RemoteAddr implements net.Conn.
func (c *fileConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.caller) }
