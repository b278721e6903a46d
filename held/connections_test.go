package held

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// closeCounter is a connection that counts its closes.
type closeCounter struct {
	net.Conn
	closes int
}

// Close implements net.Conn.
func (c *closeCounter) Close() error {
	c.closes++
	return nil
}

// Callers with more connections than the memory allows must not keep others out, nor end requests that are served.
func TestLongestWaitingConnectionIsClosed(t *testing.T) {
	full := 0
	c := NewConnections(4, func(int) { full++ })
	var conns []*closeCounter
	for range c.newLimit {
		conn := &closeCounter{}
		c.Track(conn, fasthttp.StateNew)
		conns = append(conns, conn)
	}
	require.True(t, c.Serve(conns[0]))
	c.Track(conns[1], fasthttp.StateActive)
	c.Track(&closeCounter{}, fasthttp.StateNew)
	require.Zero(t, full, "one of those before has had a request")

	next := &closeCounter{}
	c.Track(next, fasthttp.StateNew)
	require.Equal(t, 1, full)
	require.Equal(t, 1, conns[2].closes, "those before it began or are served")
	require.Zero(t, conns[0].closes+conns[1].closes+next.closes)
}

// A request whose connection was closed for others must not be sent to a target, since nobody would get the answer.
func TestEvictedConnectionIsNotServed(t *testing.T) {
	c := NewConnections(4, func(int) {})
	for range c.limit {
		conn := &closeCounter{}
		c.Track(conn, fasthttp.StateNew)
		require.True(t, c.Serve(conn))
	}
	next := &closeCounter{}
	c.Track(next, fasthttp.StateNew)
	require.Equal(t, 1, next.closes, "all others are served")
	require.False(t, c.Serve(next))
}

// Callers that keep connections for their next requests must not lose them to half-sent heads, nor before their read
// buffers need more than their part of the memory.
func TestKeptConnectionsAreClosedLast(t *testing.T) {
	full := 0
	c := NewConnections(4, func(int) { full++ })
	kept := make([]*closeCounter, 0, c.limit)
	for range c.limit - c.newLimit {
		conn := &closeCounter{}
		c.Track(conn, fasthttp.StateNew)
		require.True(t, c.Serve(conn))
		c.Track(conn, fasthttp.StateIdle)
		kept = append(kept, conn)
	}
	for range 3 * c.newLimit {
		c.Track(&closeCounter{}, fasthttp.StateNew)
	}
	require.Equal(t, 2*c.newLimit, full)
	for _, conn := range kept {
		require.Zero(t, conn.closes)
	}
}
