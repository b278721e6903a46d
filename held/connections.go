package held

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	newConnectionBytes    = 120 << 10 // of a connection with a request: read buffer, head and its copies, FreeBytes, stack
	newConnectionFraction = 1.0 / 2   // of the memory of the host, for connections without a whole request so far
	connectionBytes       = 64 << 10  // of the read buffer, which a connection keeps between its requests
	connectionFraction    = 3.0 / 4   // of the memory of the host, for the read buffers of all connections
)

// Connections bounds the connections of callers, since each holds buffers whether or not its caller sends anything. If
// there are too many, the one whose state last changed longest ago is closed, unless its request is served. Those that
// have had no whole request are bounded more closely, since callers within the limits send one at once and keep their
// connections for the next ones.
type Connections struct {
	mu       sync.Mutex
	limit    int // of all connections
	newLimit int // of those that have had no whole request
	unused   int // connections that have had no whole request
	open     map[net.Conn]*connection
	closed   uint64
	onFull   func(limit int) // called when a connection is closed for others
}

// connection is the state of an open connection.
type connection struct {
	used    bool      // a request was received whole
	serving bool      // its request was received whole and is not answered yet
	evicted bool      // it is closed for others
	since   time.Time // when it was opened, a request began or a request was answered
}

// NewConnections returns the Connections of a host with some memory in MiB, 0 if it is not known. onFull is called
// each time a connection is closed for others.
func NewConnections(memory float64, onFull func(limit int)) *Connections {
	c := &Connections{open: map[net.Conn]*connection{}, onFull: onFull}
	c.SetMemory(memory)
	return c
}

// SetMemory sets the memory of the host in MiB, 0 if it is not known.
func (c *Connections) SetMemory(memory float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = max(1, int(memoryBytes(memory)*connectionFraction/connectionBytes))
	c.newLimit = max(1, int(memoryBytes(memory)*newConnectionFraction/newConnectionBytes))
}

// Track records a change of the state of a connection, as a fasthttp.Server reports it.
func (c *Connections) Track(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		c.add(conn)
	case fasthttp.StateActive, fasthttp.StateIdle:
		c.touch(conn)
	default:
		c.remove(conn)
	}
}

// Serve records that the request on a connection was received whole. It returns false if the connection was closed
// for others, so that the request must not be sent to a target.
func (c *Connections) Serve(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[conn]
	if known == nil {
		return true // not served by the server that reports to Track
	}
	if !known.used {
		known.used = true
		c.unused--
	}
	known.serving = !known.evicted
	return known.serving
}

// Count returns the number of connections that were closed for others, and how many may be open.
func (c *Connections) Count() (closed uint64, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, c.limit
}

// add records a new connection. If there are too many, it closes another one, or the new one if all others are served.
func (c *Connections) add(conn net.Conn) {
	victim, limit := c.insert(conn)
	if victim == nil {
		return
	}
	_ = closeNow(victim) // fails only if it is closed already
	c.onFull(limit)
}

// immediateCloser is a connection whose Close may wait.
type immediateCloser interface {
	// CloseNow closes the connection without waiting.
	CloseNow() error
}

// closeNow closes a connection without waiting, since it is called by the goroutine that accepts connections.
func closeNow(conn net.Conn) error {
	if c, ok := conn.(immediateCloser); ok {
		return c.CloseNow()
	}
	return conn.Close()
}

// insert records a new connection. It returns the connection to close, nil if there are not too many, and the limit.
func (c *Connections) insert(conn net.Conn) (net.Conn, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = &connection{since: time.Now()}
	c.unused++
	limit := c.limit
	var victim net.Conn
	switch {
	case c.unused > c.newLimit:
		limit = c.newLimit
		victim = c.longestUnchanged(true)
	case len(c.open) > c.limit:
		victim = c.longestUnchanged(false)
	default:
		return nil, limit
	}
	if victim == nil {
		victim = conn
	}
	c.open[victim].evicted = true
	c.closed++
	return victim, limit
}

// longestUnchanged returns the connection whose state last changed longest ago, of those that are not served and, if
// onlyNew is set, have had no whole request. The caller holds the lock.
func (c *Connections) longestUnchanged(onlyNew bool) net.Conn {
	var victim net.Conn
	var since time.Time
	for conn, state := range c.open {
		if state.serving || state.evicted || onlyNew && state.used {
			continue
		}
		if victim == nil || state.since.Before(since) {
			victim, since = conn, state.since
		}
	}
	return victim
}

// touch records that a request begins or was answered.
func (c *Connections) touch(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.open[conn]; known != nil {
		known.serving, known.since = false, time.Now()
	}
}

// remove forgets a connection that is closed.
func (c *Connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.open[conn]; known != nil && !known.used {
		c.unused--
	}
	delete(c.open, conn)
}
