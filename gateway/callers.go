package gateway

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/link"
)

// Limits of the idle time of callers' connections.
const (
	maxIdle      = 10 * time.Minute // limit of the idle time, whatever the configuration says
	maxUnnoticed = 5 * time.Second  // age of the configuration that is allowed for, as a longer idle time may be in force unnoticed
)

const (
	drainTime  = 500 * time.Millisecond // for which what a caller still sends after its request was refused is discarded
	drainBytes = 4 << 10                // of the buffer for one read of it
)

// Reasons, as they are logged, for which a host closes a connection that waits for its next request.
const (
	closeReasonIdle = "idle"
	closeReasonStop = "stop"
)

// callerTracker tracks the open connections of callers at one listener.
type callerTracker struct {
	idleLimit func() time.Duration                                  // returns the current limit of a connection's idle time
	onCrossed func(caller net.Addr, idle time.Duration, why string) // called when bytes arrived on an idle connection while this host closed it

	mu      sync.Mutex
	open    map[*callerConn]struct{}
	closing bool
}

// newCallerTracker returns a tracker without connections whose onCrossed does nothing.
func newCallerTracker(idle func() time.Duration) *callerTracker {
	return &callerTracker{
		idleLimit: idle, onCrossed: func(net.Addr, time.Duration, string) {}, open: map[*callerConn]struct{}{},
	}
}

// add wraps an accepted connection, with the bytes that were already read from it.
func (t *callerTracker) add(conn net.Conn, buffered []byte) *callerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &callerConn{Conn: conn, tracker: t, buffered: buffered, idle: true, idleSince: time.Now(), closing: t.closing}
	t.open[c] = struct{}{}
	return c
}

// remove forgets a connection that is closed.
func (t *callerTracker) remove(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// count returns the number of open connections.
func (t *callerTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// stop closes each connection as soon as it carries no request: at once if it is idle, otherwise
// after the answer.
func (t *callerTracker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for c := range t.open {
		c.stop()
	}
}

// callerConn is a connection of a caller. It enforces the idle timeout itself: the server fixes
// the timeout when a connection becomes idle, and would miss a request that arrives just before
// it ends.
type callerConn struct {
	net.Conn
	tracker  *callerTracker
	buffered []byte      // bytes that were read when the connection was accepted
	drain    atomic.Bool // what the caller still sends is discarded before the connection is closed

	mu          sync.Mutex
	idle        bool      // no byte of the next request was read
	hadRequest  bool      // a byte of some request was read
	idleSince   time.Time // when the connection last became idle
	closing     bool      // the connection is to be closed once it carries no request
	closeReason string    // why this host ended the wait for a request, empty if it did not
}

// Read implements net.Conn. It returns io.EOF when the wait for a request ends, so that the server
// closes the connection without an answer.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.readNext(p)
		if over, err := c.handleRead(n, err); over {
			return n, err
		}
	}
}

// readNext reads the buffered bytes first, then from the connection.
func (c *callerConn) readNext(p []byte) (int, error) {
	if len(c.buffered) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.buffered)
	c.buffered = c.buffered[n:]
	return n, nil
}

// handleRead handles the result of a read. It returns false if the wait for a request goes on and
// the read has to be repeated.
func (c *callerConn) handleRead(n int, err error) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idle:
		return true, err
	case n > 0:
		c.idle, c.hadRequest = false, true
		if c.closing {
			return true, c.Conn.SetReadDeadline(time.Now().Add(readTimeout))
		}
		return true, err
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return true, io.EOF
	}
	until := c.idleDeadline()
	if link.Readable(c.Conn) {
		until = time.Now().Add(readTimeout)
	}
	if time.Until(until) <= 0 {
		if c.closeReason = closeReasonIdle; c.closing {
			c.closeReason = closeReasonStop
		}
		return true, io.EOF
	}
	return false, c.Conn.SetReadDeadline(until)
}

// idleDeadline returns when the wait for a request ends. The caller holds the lock.
func (c *callerConn) idleDeadline() time.Time {
	if c.closing || !c.hadRequest {
		return c.idleSince
	}
	return c.idleSince.Add(c.tracker.idleLimit())
}

// SetReadDeadline implements net.Conn. A deadline that is further off than readTimeout is one that
// the server sets for an idle connection.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case time.Until(t) > readTimeout:
		c.idle, c.idleSince = true, time.Now()
		t = c.idleDeadline()
	case c.hadRequest:
		c.idle = false
	case c.closing:
		t = c.idleSince
	}
	return c.Conn.SetReadDeadline(t)
}

// stop closes the connection once it carries no request.
func (c *callerConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.idle {
		_ = c.Conn.SetReadDeadline(c.idleSince) // fails only if the connection is already closed
	}
}

// Close implements net.Conn. It reports bytes that crossed with the end of an idle connection.
func (c *callerConn) Close() error {
	c.tracker.remove(c)
	c.mu.Lock()
	why, idle := c.closeReason, time.Since(c.idleSince)
	c.mu.Unlock()
	if why != "" && link.HasUnread(c.Conn) {
		c.tracker.onCrossed(c.RemoteAddr(), idle, why)
	}
	if c.drain.Swap(false) {
		c.discardRest()
	}
	return c.Conn.Close()
}

// CloseNow closes the connection without discarding what its caller still sends.
func (c *callerConn) CloseNow() error {
	c.drain.Store(false)
	return c.Close()
}

// discardRest closes the sending side of the connection and discards what the caller sends, until its end or for
// drainTime at most. A close of the connection ends it as well.
func (c *callerConn) discardRest() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		return
	}
	buf := make([]byte, drainBytes)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			return
		}
	}
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return conn.SyscallConn()
}
