package gateway

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/link"
)

const (
	mostIdle      = 10 * time.Minute // whatever the configuration allows
	mostUnnoticed = 5 * time.Second  // time for which a longer idle time may go unnoticed, at most
)

// Reasons for which a host closes a connection that waits for its next request.
const (
	closedIdle = "idle"
	closedStop = "stop"
)

// callers are the open connections of callers at one listener.
type callers struct {
	idle    func() time.Duration                                  // longest time that a connection stays idle, as it is now
	crossed func(caller net.Addr, idle time.Duration, why string) // takes bytes that came as their connection was closed

	mu      sync.Mutex
	open    map[*callerConn]struct{}
	closing bool
}

func newCallers(idle func() time.Duration) *callers {
	return &callers{
		idle: idle, crossed: func(net.Addr, time.Duration, string) {}, open: map[*callerConn]struct{}{},
	}
}

// add takes a connection that was accepted, and what was read of it.
func (l *callers) add(conn net.Conn, early []byte) *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &callerConn{Conn: conn, callers: l, early: early, waits: true, since: time.Now(), closing: l.closing}
	l.open[c] = struct{}{}
	return c
}

func (l *callers) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// count returns the number of open connections.
func (l *callers) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// stop closes each connection once no request is on it: at once if none has come, else after
// its answer.
func (l *callers) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.open {
		c.stop()
	}
}

// callerConn is a connection of a caller. It ends its wait for the next request itself, as the
// server decides on the time of it when the wait begins, and takes a request that comes late in
// the wait for none.
type callerConn struct {
	net.Conn
	callers *callers
	early   []byte // bytes that were read when the connection was accepted

	mu      sync.Mutex
	waits   bool      // no byte of the next request has come
	used    bool      // a byte of some request has come
	since   time.Time // from which it waits
	closing bool      // it is closed when no request is on it
	why     string    // this host ended the wait, for a reason
}

// Read implements net.Conn. The wait for a request ends with io.EOF, for which the server closes
// the connection without an answer.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.next(p)
		if over, err := c.took(n, err); over {
			return n, err
		}
	}
}

func (c *callerConn) next(p []byte) (int, error) {
	if len(c.early) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.early)
	c.early = c.early[n:]
	return n, nil
}

// took takes the result of a read. It returns false if the wait for a request goes on.
func (c *callerConn) took(n int, err error) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.waits:
		return true, err
	case n > 0:
		c.waits, c.used = false, true
		if c.closing {
			return true, c.Conn.SetReadDeadline(time.Now().Add(readTimeout))
		}
		return true, err
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return true, io.EOF
	}
	until := c.until()
	if link.Readable(c.Conn) {
		until = time.Now().Add(readTimeout)
	}
	if time.Until(until) <= 0 {
		if c.why = closedIdle; c.closing {
			c.why = closedStop
		}
		return true, io.EOF
	}
	return false, c.Conn.SetReadDeadline(until)
}

// until returns the end of the wait for a request. The caller holds the lock.
func (c *callerConn) until() time.Time {
	if c.closing || !c.used {
		return c.since
	}
	return c.since.Add(c.callers.idle())
}

// SetReadDeadline implements net.Conn. A deadline beyond the one for reading a
// request is that of an idle connection.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case time.Until(t) > readTimeout:
		c.waits, c.since = true, time.Now()
		t = c.until()
	case c.used:
		c.waits = false
	case c.closing:
		t = c.since
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.waits {
		_ = c.Conn.SetReadDeadline(c.since) // fails if it is closed already
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.callers.remove(c)
	c.mu.Lock()
	why, idle := c.why, time.Since(c.since)
	c.mu.Unlock()
	if why != "" && link.Readable(c.Conn) && !link.ClosedByPeer(c.Conn) {
		c.callers.crossed(c.RemoteAddr(), idle, why)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return conn.SyscallConn()
}
