// Package target is a stand-in for a target on the users' platform: a model engine
// that streams events and resumes streams, or a plain service. On demand it pauses,
// resets connections and sends wrong answers. It records what it ran in a ledger.
package target

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers of requests and answers that callers and checks of the records use.
const (
	HeaderAttempt  = "X-Attempt-Id"
	HeaderSeal     = "X-Replica-Seal"
	HeaderTokens   = "X-Token-Count" // numbers of prompt tokens and of events, separated by a comma
	HeaderDeadline = "X-Deadline-Ms"
	HeaderKey      = "X-Key"
)

const (
	headerNotRun    = "X-Not-Executed"
	headerExpected  = "X-Expect-Replica"
	headerLastEvent = "Last-Event-Id"
	headerLeaving   = "Server-Leaving"
)

// Config configures a Target.
type Config struct {
	ID      string
	Service string
	Slots   int
	Queue   int           // most requests that wait for a slot
	Step    time.Duration // time between two events, or time that a plain request takes
	Streams bool          // whether the target is an engine
}

// Target is a stand-in for an engine or a plain service.
type Target struct {
	config Config
	ledger *Ledger
	slots  chan struct{}

	mu            sync.Mutex
	listener      net.Listener
	endProcess    context.CancelFunc // ends the current process
	crash         Crash              // the last one; its target is empty before the first
	id            string             // of the current incarnation
	waiting       int
	pendingFaults []Fault
	stalledUntil  time.Time // the target neither takes requests nor writes until then
	rejectUntil   time.Time // the target rejects requests until then
	retryAfter    time.Duration
	downUntil     time.Time // a target that crashed refuses connections until then
	leaving       bool
}

// New returns a Target that serves on a listener once Run is called and records to a ledger.
func New(config Config, listener net.Listener, ledger *Ledger) *Target {
	return &Target{
		config: config, listener: listener, ledger: ledger, id: config.ID,
		slots: make(chan struct{}, config.Slots),
	}
}

// Run serves until the context ends. The returned channel is closed once all connections have ended.
func (t *Target) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	process, l := t.startProcess(ctx)
	go func() {
		defer close(done)
		for {
			t.serve(process, l)
			if !t.listenAgain(ctx) {
				return
			}
			process, l = t.startProcess(ctx)
		}
	}()
	return done
}

// startProcess returns the context of a new process, which Crash ends, and its listener.
func (t *Target) startProcess(ctx context.Context) (context.Context, net.Listener) {
	process, end := context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.listener
	t.endProcess = end
	context.AfterFunc(process, func() { l.Close() })
	return process, l
}

// serve serves connections until the process and all of them have ended.
func (t *Target) serve(process context.Context, l net.Listener) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		sessions.Go(func() { t.serveConn(process, conn) })
	}
}

// Address returns the address that the target listens on.
func (t *Target) Address() netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

// ID returns the ID of the current incarnation.
func (t *Target) ID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id
}

// Restart begins a new incarnation with a new ID at the same address. Open connections stay open.
func (t *Target) Restart(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.id, t.leaving = id, false
}

// call holds the parts of a request that the target uses.
type call struct {
	id, expectedTarget, path, body string
	lastEvent, events              int
	received                       time.Time // when the whole request was read
}

func parseCall(r *fasthttp.Request) *call {
	_, output, _ := strings.Cut(string(r.Header.Peek(HeaderTokens)), ",")
	c := &call{
		id: string(r.Header.Peek(HeaderAttempt)), expectedTarget: string(r.Header.Peek(headerExpected)),
		path: string(r.Header.RequestURI()), body: string(r.Body()), received: time.Now(),
	}
	c.events, _ = strconv.Atoi(output) // a request without a number gets no events
	c.lastEvent, _ = strconv.Atoi(string(r.Header.Peek(headerLastEvent)))
	return c
}

// session is the state of one connection.
type session struct {
	target         *Target
	process        context.Context // ends when the target crashes
	ctx            context.Context
	conn           net.Conn
	peerClosed     chan struct{} // closed once the client has closed the connection
	requests       chan *call
	currentAnswer  []byte // bytes written of the current answer
	previousAnswer []byte // bytes of the last complete answer
	delayedRepeat  []byte // repeated answer to write before the next one
	strayBytes     bool   // a repeated answer was written after the last request
}

// serveConn serves a connection, one request at a time.
func (t *Target) serveConn(process context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(process)
	defer cancel()
	s := &session{target: t, process: process, ctx: ctx, conn: conn, peerClosed: make(chan struct{}), requests: make(chan *call)}
	defer s.close()
	context.AfterFunc(ctx, s.close)
	go s.readRequests()
	for {
		select {
		case <-s.peerClosed:
			return
		case c := <-s.requests:
			if !s.serveRequest(c) {
				return
			}
		}
	}
}

// readRequests passes requests on until the connection ends, and then closes peerClosed.
func (s *session) readRequests() {
	defer close(s.peerClosed)
	rd := bufio.NewReader(s.conn)
	for {
		var r fasthttp.Request
		if err := r.Read(rd); err != nil {
			return
		}
		select {
		case s.requests <- parseCall(&r):
		case <-s.ctx.Done():
			return
		}
	}
}

// serveRequest runs or rejects a request and records its arrival. It returns whether the connection
// stays open.
func (s *session) serveRequest(c *call) bool {
	t := s.target
	if !s.waitWhile(s.remainingStall) {
		s.recordCrashed(c)
		return false
	}
	t.mu.Lock()
	id, full := t.id, t.rejectUntil.After(time.Now()) || t.waiting >= t.config.Queue
	misdirected := c.expectedTarget != "" && c.expectedTarget != id
	if !misdirected && !full {
		t.waiting++
	}
	t.mu.Unlock()
	arrived := time.Now()
	t.ledger.recordArrival(Arrival{ID: c.id, Target: id, Received: c.received, At: arrived, Misdirected: misdirected})
	switch {
	case misdirected:
		return s.reject(c, fasthttp.StatusMisdirectedRequest)
	case full:
		return s.reject(c, fasthttp.StatusServiceUnavailable)
	}
	acquired := s.acquireSlot()
	t.mu.Lock()
	t.waiting--
	t.mu.Unlock()
	if !acquired {
		s.recordCrashed(c)
		return false
	}
	defer func() { <-t.slots }()
	run := t.ledger.recordRun(Run{ID: c.id, Target: id, Service: t.config.Service, Arrived: arrived, Corrupted: s.strayBytes})
	s.strayBytes = false
	return s.respond(c, run)
}

// acquireSlot waits for a slot. It returns false if the client closed the connection or the target crashed meanwhile,
// so that its request does not run.
func (s *session) acquireSlot() bool {
	select {
	case s.target.slots <- struct{}{}:
	case <-s.peerClosed:
		return false
	}
	select {
	case <-s.peerClosed:
	case <-s.process.Done():
	default:
		return true
	}
	<-s.target.slots
	return false
}

// waitWhile waits as long as a function returns a positive time remaining, which may grow meanwhile.
// It returns false once the client has closed the connection.
func (s *session) waitWhile(remaining func() time.Duration) bool {
	for {
		d := remaining()
		if d <= 0 {
			return true
		}
		select {
		case <-s.peerClosed:
			return false
		case <-time.After(d):
		}
	}
}

// remainingStall returns for how long the target is still stalled.
func (s *session) remainingStall() time.Duration {
	s.target.mu.Lock()
	defer s.target.mu.Unlock()
	return time.Until(s.target.stalledUntil)
}

// sleep waits for a fixed time, and longer while the target is stalled. It returns false once the
// client has closed the connection.
func (s *session) sleep(d time.Duration) bool {
	end := time.Now().Add(d)
	return s.waitWhile(func() time.Duration { return time.Until(end) }) && s.waitWhile(s.remainingStall)
}
