package gateway

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptPause is the delay before the next accept when the process has no descriptor left.
const acceptPause = 50 * time.Millisecond

// listenConfig disables keep-alive probes, which cost four system calls per connection. They are
// not needed: idle connections are closed after a time, and every request has a deadline.
var listenConfig = net.ListenConfig{KeepAlive: -1}

// callerListener accepts connections of callers. While the process has no descriptor left, it
// retries instead of returning an error.
type callerListener struct {
	net.Listener
	accept        func() (*net.TCPConn, error)
	callers       *callerTracker
	shed          func() (net.Conn, []byte) // refuses pending requests; returns a connection to serve and the bytes read from it, or nil
	onDescriptors func(err error)           // called with nil after an accept, and with the error if no descriptor was left
}

// newCallerListener returns a listener that sheds nothing and whose onDescriptors does nothing.
func newCallerListener(l *net.TCPListener, c *callerTracker) callerListener {
	return callerListener{Listener: l, accept: l.AcceptTCP, callers: c, shed: shedNone, onDescriptors: func(error) {}}
}

// shedNone refuses no requests.
func shedNone() (net.Conn, []byte) { return nil, nil }

// Accept implements net.Listener. It waits while the process has no descriptor left.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		if conn, read := l.shed(); conn != nil {
			l.onDescriptors(nil)
			return l.callers.add(conn, read), nil
		}
		conn, err := l.accept()
		if err == nil {
			l.onDescriptors(nil)
			return l.callers.add(conn, nil), nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return nil, err
		}
		l.onDescriptors(err)
		time.Sleep(acceptPause)
	}
}
