package gateway

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// countingListener counts for each connection the bytes read from it and the answers written to it.
type countingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*countingConn
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &countingConn{Conn: conn}
	l.conns = append(l.conns, c)
	return c, nil
}

// countingConn counts bytes read and answers with status 404 written.
type countingConn struct {
	net.Conn
	mu                 sync.Mutex
	bytesRead, answers int
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesRead += n
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answers += bytes.Count(p, []byte("HTTP/1.1 404 "))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SyscallConn implements syscall.Conn.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// A request that the host read from a kept-alive connection during a planned stop could stay without an answer.
// Every request that is read must be answered, whenever it arrives.
func TestRequestReadAroundPlannedStopIsAnswered(t *testing.T) {
	const callers = 200
	random := rand.New(rand.NewPCG(3, 4))
	for range 5 {
		g := newIdleGateway(t)
		g.limits.Store(&limits{grace: 800 * time.Millisecond})
		l := &countingListener{Listener: g.listeners[0]}
		g.listeners[0] = l
		serveIdle(t, g, &route.Table{})
		began := time.Now()
		var wg sync.WaitGroup
		for range callers {
			caller := dialIdle(t, g, unroutedRequest)
			require.Equal(t, 404, answerStatus(caller))
			delay := time.Duration(random.Int64N(int64(250 * time.Millisecond)))
			wg.Go(func() {
				time.Sleep(time.Until(began.Add(350*time.Millisecond + delay)))
				if _, err := io.WriteString(caller, unroutedRequest); err == nil {
					answerStatus(caller)
				}
			})
		}
		g.stop()
		for _, c := range l.conns {
			c.mu.Lock()
			require.Equal(t, c.answers*len(unroutedRequest), c.bytesRead)
			c.mu.Unlock()
		}
		wg.Wait()
	}
}
