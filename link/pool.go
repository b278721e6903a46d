package link

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/fault"
)

const (
	dialTimeout    = time.Second
	maxIdleAge     = 5 * time.Second // an older idle connection is not used again
	maxIdlePerHost = 64
	reapEvery      = time.Second
)

// Pool keeps idle connections by target address.
type Pool struct {
	opened atomic.Uint64

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*Line
	routes map[netip.AddrPort]netip.AddrPort
	dial   func() time.Duration // longest time that a new connection takes
}

// Option changes a Pool.
type Option func(p *Pool)

// WithDialTimeout sets the longest time that a new connection takes, which is asked for
// at each.
func WithDialTimeout(limit func() time.Duration) Option { return func(p *Pool) { p.dial = limit } }

// NewPool returns an empty Pool. Routes replace addresses to dial.
func NewPool(routes map[netip.AddrPort]netip.AddrPort, options ...Option) *Pool {
	p := &Pool{idle: map[netip.AddrPort][]*Line{}, routes: routes, dial: func() time.Duration { return dialTimeout }}
	for _, option := range options {
		option(p)
	}
	return p
}

// Get returns a connection to a target. fresh asks for a new one. The error is
// marked ErrUnreached.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, fresh bool) (*Line, error) {
	if !fresh {
		if l := p.take(address); l != nil {
			return l, nil
		}
	}
	if via, ok := p.routes[address]; ok {
		address = via
	}
	ctx, cancel := WithLimit(ctx, p.dial())
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		if ended := context.Cause(ctx); ended != nil {
			err = ended
		}
		return nil, fault.Mark(errors.Wrapf(err, "dial %s", address), ErrUnreached)
	}
	p.opened.Add(1)
	l := &Line{conn: conn, keep: maxIdleAge}
	l.rd = bufio.NewReaderSize(lineReader{line: l}, readBufferBytes)
	return l, nil
}

// Opened returns the number of connections that were opened so far.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, lines := range p.idle {
		count += len(lines)
	}
	return count
}

// Run reaps until the context ends and reports its end on the channel.
func (p *Pool) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(reapEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				p.Reap(now)
			}
		}
	}()
	return done
}

// Reap closes the connections that stayed idle for too long. The newest one is used first,
// so the others would stay open.
func (p *Pool) Reap(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, lines := range p.idle {
		kept := lines[:0]
		for _, l := range lines {
			if now.Sub(l.since) < l.keep {
				kept = append(kept, l)
				continue
			}
			l.conn.Close()
		}
		clear(lines[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// take returns an idle connection that is still usable, or nil.
func (p *Pool) take(address netip.AddrPort) *Line {
	p.mu.Lock()
	defer p.mu.Unlock()
	for lines := p.idle[address]; len(lines) > 0; lines = p.idle[address] {
		l := lines[len(lines)-1]
		p.idle[address] = lines[:len(lines)-1]
		if time.Since(l.since) < l.keep && l.quiet() {
			return l
		}
		l.conn.Close()
	}
	return nil
}

// Put returns a connection whose exchange is complete. Any other is closed.
func (p *Pool) Put(address netip.AddrPort, l *Line) {
	if l.bad || l.rd.Buffered() > 0 {
		l.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerHost {
		l.conn.Close()
		return
	}
	l.since = time.Now()
	p.idle[address] = append(p.idle[address], l)
}

// Forget closes the idle connections to a target.
func (p *Pool) Forget(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle[address] {
		l.conn.Close()
	}
	delete(p.idle, address)
}
