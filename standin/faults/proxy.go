// Package faults is a TCP proxy that injects faults on demand: refused and broken
// connections, data loss in either direction, connections that go silent for good,
// delays, truncated answers and endless answers.
package faults

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode is the set of faults that a Proxy injects. Its zero value injects none.
type Mode struct {
	Cut          bool          `json:"cut"`      // refuse new connections and break the open ones
	Hang         bool          `json:"hang"`     // accept new connections and forward nothing on any connection
	DropForward  bool          `json:"forward"`  // drop bytes towards the upstream
	DropBackward bool          `json:"backward"` // drop bytes towards the caller
	Delay        time.Duration `json:"delay"`    // delay before each read part is forwarded
	Truncate     int64         `json:"truncate"` // close each new connection after this many bytes towards the caller; 0 for no limit
	Head         string        `json:"head"`     // with Endless, the first bytes that a new connection answers
	Endless      string        `json:"endless"`  // bytes that a new connection answers repeatedly until the caller closes it
}

const (
	bufferBytes     = 16 << 10
	endlessInterval = 10 * time.Millisecond
)

// Proxy forwards TCP connections to an upstream address.
type Proxy struct {
	listener net.Listener
	upstream netip.AddrPort

	mu       sync.Mutex
	mode     Mode
	conns    map[*proxiedConn]struct{}
	accepted int
}

// proxiedConn is a caller's connection and the one to the upstream that belongs to it.
type proxiedConn struct {
	caller        net.Conn
	upstream      net.Conn
	silenced      bool
	truncateAfter int64
}

// New returns a Proxy that forwards connections to an upstream once Run is called.
func New(listener net.Listener, upstream netip.AddrPort) *Proxy {
	return &Proxy{listener: listener, upstream: upstream, conns: map[*proxiedConn]struct{}{}}
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until the context ends. The returned channel is closed once all connections have ended.
func (p *Proxy) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() {
		p.listener.Close()
		p.SetMode(Mode{Cut: true})
	})
	go func() {
		defer close(done)
		var open sync.WaitGroup
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				break
			}
			open.Go(func() { p.serveConn(conn) })
		}
		open.Wait()
	}()
	return done
}

// SetMode replaces the mode.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode.Cut {
		for c := range p.conns {
			c.close()
		}
	}
}

// Silence drops all further bytes of the open connections without closing them and returns their
// number. New connections are not affected.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silenced = true
	}
	return len(p.conns)
}

// Break closes the open connections and returns their number. New connections are not affected.
func (p *Proxy) Break() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
	return len(p.conns)
}

// Accepted returns the number of connections that were forwarded to the upstream so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

func (c *proxiedConn) close() {
	c.caller.Close()
	c.upstream.Close()
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// serveConn handles a connection according to the mode at its start.
func (p *Proxy) serveConn(caller net.Conn) {
	mode := p.currentMode()
	if mode.Cut {
		reset(caller)
		return
	}
	if mode.Endless != "" {
		answerEndlessly(caller, mode)
		return
	}
	upstream, err := net.Dial("tcp", p.upstream.String())
	if err != nil {
		reset(caller)
		return
	}
	c := &proxiedConn{caller: caller, upstream: upstream, truncateAfter: mode.Truncate}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.accepted++
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(c, caller, upstream, false) })
	directions.Go(func() { p.copyDirection(c, upstream, caller, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// answerEndlessly waits for the first bytes of the caller and answers until the caller closes the
// connection.
func answerEndlessly(caller net.Conn, mode Mode) {
	defer caller.Close()
	if _, err := caller.Read(make([]byte, bufferBytes)); err != nil {
		return
	}
	_, err := caller.Write([]byte(mode.Head))
	for err == nil {
		time.Sleep(endlessInterval)
		_, err = caller.Write([]byte(mode.Endless))
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// copyDirection copies one direction of a connection until either end closes it or the truncation limit
// is reached, and then closes both ends.
func (p *Proxy) copyDirection(c *proxiedConn, from, to net.Conn, backward bool) {
	defer c.close()
	buf := make([]byte, bufferBytes)
	sent := int64(0)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.applyMode(c, backward) {
			data := buf[:n]
			if backward && c.truncateAfter > 0 {
				data = data[:min(int64(n), c.truncateAfter-sent)]
			}
			sent += int64(len(data))
			if _, writeErr := to.Write(data); writeErr != nil {
				return
			}
			if backward && c.truncateAfter > 0 && sent >= c.truncateAfter {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyMode delays a part as the mode says and returns whether the part is dropped.
func (p *Proxy) applyMode(c *proxiedConn, backward bool) bool {
	p.mu.Lock()
	mode, silent := p.mode, c.silenced
	p.mu.Unlock()
	if mode.Delay > 0 {
		time.Sleep(mode.Delay)
	}
	return silent || mode.Hang || mode.DropForward && !backward || mode.DropBackward && backward
}
