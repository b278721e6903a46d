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

// Limits of a pool.
const (
	defaultDialTimeout = time.Second     // without WithDialTimeout
	maxIdleAge         = 5 * time.Second // default age at which idle connections are closed
	maxIdlePerTarget   = 64              // further connections are closed after use
	reapInterval       = time.Second
)

// Pool opens connections to targets and keeps idle ones for reuse, by target address.
type Pool struct {
	opened atomic.Uint64 // connections opened so far

	mu          sync.Mutex
	idle        map[netip.AddrPort][]*Conn
	routes      map[netip.AddrPort]netip.AddrPort // address to dial in place of a target's own
	dialTimeout func() time.Duration              // returns the time limit of the next dial
}

// Option configures a Pool.
type Option func(p *Pool)

// WithDialTimeout sets the function that returns the time limit for opening a connection. It is
// called for each connection.
func WithDialTimeout(f func() time.Duration) Option { return func(p *Pool) { p.dialTimeout = f } }

// NewPool returns an empty Pool. The routes map target addresses to the addresses dialled in
// their place.
func NewPool(routes map[netip.AddrPort]netip.AddrPort, options ...Option) *Pool {
	p := &Pool{idle: map[netip.AddrPort][]*Conn{}, routes: routes, dialTimeout: func() time.Duration { return defaultDialTimeout }}
	for _, option := range options {
		option(p)
	}
	return p
}

// Get returns an idle connection to a target, or a new one if there is none or
// fresh is set. The error is marked ErrUnreachable.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, fresh bool) (*Conn, error) {
	if !fresh {
		if l := p.takeIdle(address); l != nil {
			return l, nil
		}
	}
	if via, ok := p.routes[address]; ok {
		address = via
	}
	ctx, cancel := WithLimit(ctx, p.dialTimeout())
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		if ended := context.Cause(ctx); ended != nil {
			err = ended
		}
		return nil, fault.Mark(errors.Wrapf(err, "dial %s", address), ErrUnreachable)
	}
	p.opened.Add(1)
	l := &Conn{conn: conn, maxIdle: maxIdleAge}
	l.reader = bufio.NewReaderSize(deadlineReader{conn: l}, responseBufferBytes)
	return l, nil
}

// Opened returns the number of connections that were opened so far.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// IdleCount returns the number of idle connections.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, lines := range p.idle {
		count += len(lines)
	}
	return count
}

// Run calls Reap every second until the context ends, then closes the returned channel.
func (p *Pool) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(reapInterval)
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

// Reap closes connections that were idle for too long. Get prefers the most recently used
// connection, so without Reap the others would stay open and occupy descriptors.
func (p *Pool) Reap(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, lines := range p.idle {
		kept := lines[:0]
		for _, l := range lines {
			if now.Sub(l.idleSince) < l.maxIdle {
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

// takeIdle removes and returns the most recently used idle connection to a target, or nil if none
// is usable.
func (p *Pool) takeIdle(address netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for lines := p.idle[address]; len(lines) > 0; lines = p.idle[address] {
		l := lines[len(lines)-1]
		p.idle[address] = lines[:len(lines)-1]
		if time.Since(l.idleSince) < l.maxIdle && l.noInput() {
			return l
		}
		l.conn.Close()
	}
	return nil
}

// Put keeps a connection whose response was read completely for reuse, and closes any other.
func (p *Pool) Put(address netip.AddrPort, l *Conn) {
	if l.unusable.Load() || l.reader.Buffered() > 0 {
		l.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerTarget {
		l.conn.Close()
		return
	}
	l.idleSince = time.Now()
	p.idle[address] = append(p.idle[address], l)
}

// CloseIdle closes all idle connections to a target.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle[address] {
		l.conn.Close()
	}
	delete(p.idle, address)
}
