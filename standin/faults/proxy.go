// Package faults is a TCP proxy that injects faults on demand: cuts in either
// direction, connections that go silent for good, delays, and truncation.
package faults

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode says what a Proxy does with connections.
type Mode struct {
	Cut      bool          `json:"cut"`      // refuse new connections and break the open ones
	Hang     bool          `json:"hang"`     // accept new connections and pass nothing on any
	Forward  bool          `json:"forward"`  // drop bytes towards the upstream
	Backward bool          `json:"backward"` // drop bytes towards the caller
	Delay    time.Duration `json:"delay"`    // delay of each part
	Truncate int64         `json:"truncate"` // break each new connection after so many bytes towards the caller
	Head     string        `json:"head"`     // with endless, what a new connection answers first
	Endless  string        `json:"endless"`  // what a new connection answers again and again, until the caller closes it
}

const (
	partBytes    = 16 << 10
	endlessPause = 10 * time.Millisecond
)

// Proxy passes one address on to another.
type Proxy struct {
	listener net.Listener
	upstream netip.AddrPort

	mu    sync.Mutex
	mode  Mode
	conns map[*pair]struct{}
	total int
}

// pair is one proxied connection.
type pair struct {
	caller   net.Conn
	upstream net.Conn
	silent   bool
	limit    int64
}

// New returns a Proxy to an upstream that serves once Run is called.
func New(listener net.Listener, upstream netip.AddrPort) *Proxy {
	return &Proxy{listener: listener, upstream: upstream, conns: map[*pair]struct{}{}}
}

// Address returns the address that the proxy listens at.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until the context ends and reports its end on the channel.
func (p *Proxy) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() {
		p.listener.Close()
		p.Set(Mode{Cut: true})
	})
	go func() {
		defer close(done)
		var open sync.WaitGroup
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				break
			}
			open.Go(func() { p.serve(conn) })
		}
		open.Wait()
	}()
	return done
}

// Set puts a mode in force.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode.Cut {
		for c := range p.conns {
			c.close()
		}
	}
}

// Silence makes the open connections silent for good. New ones work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent = true
	}
	return len(p.conns)
}

// Break closes the open connections. New ones work.
func (p *Proxy) Break() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
	return len(p.conns)
}

// Accepted returns the number of connections so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

func (c *pair) close() {
	c.caller.Close()
	c.upstream.Close()
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// serve passes one connection on.
func (p *Proxy) serve(caller net.Conn) {
	mode := p.current()
	if mode.Cut {
		reset(caller)
		return
	}
	if mode.Endless != "" {
		flood(caller, mode)
		return
	}
	upstream, err := net.Dial("tcp", p.upstream.String())
	if err != nil {
		reset(caller)
		return
	}
	c := &pair{caller: caller, upstream: upstream, limit: mode.Truncate}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.total++
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(c, caller, upstream, false) })
	both.Go(func() { p.pass(c, upstream, caller, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// flood answers without end, once the caller has written.
func flood(caller net.Conn, mode Mode) {
	defer caller.Close()
	if _, err := caller.Read(make([]byte, partBytes)); err != nil {
		return
	}
	_, err := caller.Write([]byte(mode.Head))
	for err == nil {
		time.Sleep(endlessPause)
		_, err = caller.Write([]byte(mode.Endless))
	}
}

// reset closes a connection at once.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// pass copies one direction until an end.
func (p *Proxy) pass(c *pair, from, to net.Conn, backward bool) {
	defer c.close()
	buf := make([]byte, partBytes)
	passed := int64(0)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.drops(c, backward) {
			part := buf[:n]
			if backward && c.limit > 0 {
				part = part[:min(int64(n), c.limit-passed)]
			}
			passed += int64(len(part))
			if _, writeErr := to.Write(part); writeErr != nil {
				return
			}
			if backward && c.limit > 0 && passed >= c.limit {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// drops applies the mode to a part and returns whether it is lost.
func (p *Proxy) drops(c *pair, backward bool) bool {
	p.mu.Lock()
	mode, silent := p.mode, c.silent
	p.mu.Unlock()
	if mode.Delay > 0 {
		time.Sleep(mode.Delay)
	}
	return silent || mode.Hang || mode.Forward && !backward || mode.Backward && backward
}
