// Package target holds the connections to targets and tells exactly what was
// handed to a target when something fails.
package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/fault"
)

const (
	dialTimeout     = time.Second
	writeTimeout    = 5 * time.Second
	maxIdleAge      = 5 * time.Second // an older idle connection is not used again
	maxIdlePerHost  = 64
	reapEvery       = time.Second
	lineBufferBytes = 4 << 10
	readBufferBytes = 8 << 10 // also the most that the head of an answer may have
)

var (
	// ErrUnreached means that no connection could be made, so no byte was sent.
	ErrUnreached = errors.New("target not reached")
	// ErrSilent means that the target did not answer, or did not go on, in time.
	ErrSilent = errors.New("target silent")
	// ErrBroken means that the connection ended before the answer was complete.
	ErrBroken = errors.New("connection to target broken")
)

// Line is one connection to a target. It carries one exchange at a time.
type Line struct {
	conn  net.Conn
	rd    *bufio.Reader
	until time.Time // end of the present wait, over all its reads
	wrote bool
	bad   bool
	since time.Time     // when it became idle
	keep  time.Duration // longest time that it may stay idle
}

// lineReader applies the end of the present wait.
type lineReader struct{ line *Line }

// Read implements io.Reader.
func (r lineReader) Read(p []byte) (int, error) {
	l := r.line
	if err := l.conn.SetReadDeadline(l.until); err != nil {
		return 0, err
	}
	return l.conn.Read(p)
}

// lineWriter notes that bytes were handed over.
type lineWriter struct{ line *Line }

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.line.wrote = true
	return w.line.conn.Write(p)
}

// Send writes a request. Wrote tells whether any byte was handed over.
func (l *Line) Send(request *fasthttp.Request) error {
	l.wrote = false
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fault.Mark(err, ErrBroken)
	}
	wr := bufio.NewWriterSize(lineWriter{line: l}, lineBufferBytes)
	err := request.Write(wr)
	if err == nil {
		err = wr.Flush()
	}
	if err != nil {
		l.bad = true
		return fault.Mark(err, ErrBroken)
	}
	return nil
}

// Wrote returns whether a byte of the last request was handed to the target.
func (l *Line) Wrote() bool { return l.wrote }

// Receive reads the head of the answer, which has to be whole within a time. The body is
// read from the response's body stream, each wait of it after SetWait.
func (l *Line) Receive(response *fasthttp.Response, limit time.Duration) error {
	l.SetWait(limit)
	response.StreamBody = true
	if err := response.ReadLimitBody(l.rd, 0); err != nil {
		l.bad = true
		return classify(err)
	}
	return nil
}

// Body reads the body of an answer and checks that it is complete.
type Body struct {
	line *Line
	src  io.Reader
	left int           // bytes that the head announced, -1 if chunked, -2 if not framed
	idle time.Duration // longest time between two parts, 0 if the line's wait is for the whole

	complete bool
}

// NewBody returns the body of a response that Receive read.
func NewBody(l *Line, response *fasthttp.Response) *Body {
	b := &Body{line: l, src: response.BodyStream(), left: response.Header.ContentLength()}
	if b.src == nil {
		b.left = 0
	}
	return b
}

// SetIdle makes each part of the body a wait of its own, for bodies whose parts are passed on
// as they come.
func (b *Body) SetIdle(limit time.Duration) { b.idle = limit }

// Complete returns whether the body was read to its end.
func (b *Body) Complete() bool { return b.complete }

// Framed returns whether the end of the body can be told from a broken
// connection.
func (b *Body) Framed() bool { return b.left != -2 }

// Read implements io.Reader. It returns io.EOF only after a complete body;
// other errors are marked ErrSilent or ErrBroken.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.read(p)
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

func (b *Body) read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.idle > 0 {
		b.line.SetWait(b.idle)
	}
	n, err := b.src.Read(p)
	if b.left > 0 {
		b.left -= n
		if b.left == 0 {
			return n, io.EOF
		}
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && b.left < 0 {
		b.line.bad = b.line.bad || b.left == -2
		return n, io.EOF
	}
	b.line.bad = true
	return n, classify(err)
}

// timeout is an error that may say that time ran out. Those of net are, and
// those that fasthttp puts in their place.
type timeout interface {
	error
	Timeout() bool
}

func classify(err error) error {
	var t timeout
	if errors.As(err, &t) && t.Timeout() {
		return fault.Mark(err, ErrSilent)
	}
	return fault.Mark(err, ErrBroken)
}

// Close ends the connection, which cancels what runs on it.
func (l *Line) Close() {
	l.bad = true
	l.conn.Close()
}

// EndsWithin waits for the other side to close the connection, and returns false
// if it did not within a time.
func (l *Line) EndsWithin(limit time.Duration) bool {
	l.SetWait(limit)
	_, err := l.rd.Peek(1)
	return err != nil && !errors.Is(classify(err), ErrSilent)
}

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
	limit := p.dial()
	dialer := net.Dialer{Timeout: limit}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
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

// quiet returns whether nothing arrived on an idle connection, not even its end.
func (l *Line) quiet() bool { return l.rd.Buffered() == 0 && !Readable(l.conn) }

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

// Readable returns whether bytes or the end of the connection can be read. It
// consumes nothing.
func Readable(conn net.Conn) bool {
	_, state := peek(conn)
	return state
}

// Gone returns whether the other side closed the connection. Bytes that wait
// to be read mean that it did not. It consumes nothing.
func Gone(conn net.Conn) bool {
	n, readable := peek(conn)
	return readable && n <= 0
}

func peek(conn net.Conn) (int, bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, true
	}
	n, readable := 0, true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		var peekErr error
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EINTR) {
			readable = false
		}
	})
	return n, readable || err != nil
}
