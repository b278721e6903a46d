package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

// RequestKind is a kind of request.
type RequestKind string

// Kinds of requests.
const (
	RequestLookup     RequestKind = "lookup" // idempotent: may run more than once
	RequestOrder      RequestKind = "order"  // runs at most once
	RequestStream     RequestKind = "stream" // a stream that may be resumed
	RequestOnceStream RequestKind = "once"   // a stream that may not be resumed
)

// SentRequest is a request as its caller sent it, with the answer that the caller read.
type SentRequest struct {
	ID             string
	Kind           RequestKind
	Gateway        int // index of the gateway that it was sent to
	Path           string
	Key            string
	ExpectedEvents int           // number of events of the complete stream; 0 if the answer is no stream
	BodyRepeats    int           // how often the body repeats the ID; 0 counts as 1
	Timeout        time.Duration // time that the request may take
	StartedAt      time.Time     // when the first byte was written
	SentAt         time.Time     // when the last byte was written
	DoneAt         time.Time     // when the answer ended
	Status         int           // 0 if no response head was read
	AnswerID       string        // request ID in the response head
	Sealed         bool          // the response has the seal header of a target
	Body           string
	Complete       bool  // the answer ended as its framing requires
	ExtraBytes     bool  // bytes arrived on the connection while no request was outstanding
	Err            error // why the answer is not complete
}

// repeatable reports whether the request may run more than once.
func (s *SentRequest) repeatable() bool { return s.Kind == RequestLookup || s.Kind == RequestStream }

const (
	dialTimeout  = time.Second
	answerMargin = 1500 * ms // time after the timeout of a request until the caller gives up
	idleFraction = 0.8       // share of the idle timeout within which a caller reuses a connection
)

// caller sends requests one after another on a persistent connection.
type caller struct {
	name             string
	behavior         behavior
	preferredGateway int // index of the gateway that it tries first
	fleet            *fleet
	rng              *rand.Rand
	conn             net.Conn
	rd               *bufio.Reader
	gateway          int       // index of the gateway of the connection
	lastUsed         time.Time // when the last answer on the connection ended
	requestCount     int
}

// run sends requests until the context ends. It closes the returned channel when it has finished.
func (c *caller) run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer c.close()
		for ctx.Err() == nil {
			c.waitThinkTime(ctx)
			if s := c.roundTrip(); s != nil {
				c.fleet.record(s)
			}
		}
	}()
	return done
}

// waitThinkTime waits between two requests. Every twentieth wait on average of a persistent connection is
// almost as long as the idle timeout, so that requests arrive shortly before a gateway closes the connection.
func (c *caller) waitThinkTime(ctx context.Context) {
	wait := time.Duration(c.rng.Int64N(int64(600 * ms)))
	if c.behavior == behaviorNewConnections {
		wait = wait * maxNewConnectionThinkTime / (600 * ms)
	} else if c.rng.IntN(20) == 0 {
		wait = time.Duration(idleFraction * float64(c.fleet.idleTimeout()))
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ensureConnection keeps the connection if it was used recently, and otherwise opens one to a gateway in
// rotation. It returns false if it can open none.
func (c *caller) ensureConnection() bool {
	if c.behavior != behaviorNewConnections && c.conn != nil && time.Since(c.lastUsed) < time.Duration(idleFraction*float64(c.fleet.idleTimeout()))+50*ms {
		return true
	}
	c.close()
	for n := range c.fleet.gateways {
		index := (c.preferredGateway + n) % len(c.fleet.gateways)
		g := c.fleet.gateways[index]
		if !g.inRotation() {
			continue
		}
		conn, err := net.DialTimeout("tcp", g.listenAddress.String(), dialTimeout)
		if err == nil {
			c.conn, c.gateway = c.wrapConn(conn), index
			c.rd = bufio.NewReader(c.conn)
			return true
		}
	}
	return false
}

// roundTrip sends a request and reads its answer. It returns nil if the request could not be sent.
func (c *caller) roundTrip() *SentRequest {
	s := c.drawRequest()
	if !c.ensureConnection() {
		return nil
	}
	s.Gateway = c.gateway
	s.ExtraBytes = c.rd.Buffered() > 0
	s.StartedAt = time.Now()
	_ = c.conn.SetDeadline(s.StartedAt.Add(s.Timeout + answerMargin)) // on a closed connection the write fails
	if err := c.writeRequest(s.requestHead(), s.requestBody()); err != nil {
		c.close()
		return nil
	}
	s.SentAt = time.Now()
	keep := c.readAnswer(s)
	s.DoneAt = time.Now()
	c.lastUsed = s.DoneAt
	if !keep {
		c.close()
	}
	return s
}

// requestHead returns the head of the request.
func (s *SentRequest) requestHead() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 100,%d\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		s.Path, target.HeaderAttempt, s.ID, target.HeaderTokens, s.ExpectedEvents, target.HeaderDeadline, s.Timeout.Milliseconds(),
		target.HeaderKey, s.Key, len(s.requestBody()))
}

// drawRequest returns a random request.
func (c *caller) drawRequest() *SentRequest {
	c.requestCount++
	s := &SentRequest{ID: fmt.Sprintf("%s-%d", c.name, c.requestCount), Kind: RequestLookup, Timeout: time.Duration(3000+c.rng.IntN(3000)) * ms}
	switch n := c.rng.IntN(100); {
	case n < 45:
		s.Kind, s.ExpectedEvents = RequestStream, 5+c.rng.IntN(20)
	case n < 55:
		s.Kind, s.ExpectedEvents = RequestOnceStream, 5+c.rng.IntN(20)
	case n < 75:
		s.Kind = RequestOrder
	}
	if s.ExpectedEvents > 0 {
		s.Timeout *= 3
	}
	c.applyBehavior(s)
	s.Path = fmt.Sprintf("/%s/%s", s.Kind, c.name)
	s.Key = c.fleet.newestKey(c.rng.IntN(2))
	if c.behavior == behaviorProbe {
		c.probe(s)
	}
	return s
}

// readAnswer reads an answer and returns whether the connection may be used again.
//
// It uses the HTTP parser of net/http and not that of the gateways, so that a fault of the latter is not
// hidden by the same fault in the caller.
func (c *caller) readAnswer(s *SentRequest) bool {
	response, err := http.ReadResponse(c.rd, nil)
	if err != nil {
		s.Err = err
		return false
	}
	defer func() { _ = response.Body.Close() }() // only what was read counts
	s.Status = response.StatusCode
	s.AnswerID = response.Header.Get(target.HeaderAttempt)
	s.Sealed = response.Header.Get(target.HeaderSeal) != ""
	var body strings.Builder
	_, s.Err = io.Copy(&body, response.Body)
	s.Body, s.Complete = body.String(), s.Err == nil
	return s.Complete && !response.Close
}

// newCallers returns the callers of a fleet. Callers with a behavior of their own are added if the plan stops
// gateways or restores the store.
func newCallers(f *fleet) []*caller {
	behaviors := make([]behavior, callersPerGateway)
	if f.plan.stopsGateways() {
		behaviors = append(behaviors, extraBehaviors...)
	}
	if f.plan.faultCounts()[FaultStoreRestore] > 0 {
		behaviors = append(behaviors, slices.Repeat([]behavior{behaviorProbe}, probesPerGateway)...)
	}
	var callers []*caller
	for n := range len(behaviors) * len(f.gateways) {
		callers = append(callers, &caller{
			name: fmt.Sprintf("c%d", n), behavior: behaviors[n/len(f.gateways)], preferredGateway: n % len(f.gateways), fleet: f,
			rng: rand.New(rand.NewPCG(f.plan.Seed, uint64(1000+n))),
		})
	}
	return callers
}

// requestLog collects the requests of all callers.
type requestLog struct {
	mu       sync.Mutex
	requests []SentRequest
}

func (n *requestLog) record(s *SentRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests = append(n.requests, *s)
}
