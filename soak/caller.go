package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

// RequestKind is a kind of request.
type RequestKind string

// Kinds of requests.
const (
	RequestLookup     RequestKind = "lookup" // may run more than once
	RequestOrder      RequestKind = "order"  // runs once at most
	RequestStream     RequestKind = "stream" // may be resumed
	RequestOnceStream RequestKind = "once"   // a stream that may not be resumed
)

// SentRequest is what a caller saw of a request.
type SentRequest struct {
	ID             string
	Kind           RequestKind
	Gateway        int
	Path           string
	ExpectedEvents int           // that the whole stream has
	BodyRepeats    int           // of its identity, that its body has; one if 0
	Timeout        time.Duration // that the caller waits
	StartedAt      time.Time     // the first byte
	SentAt         time.Time     // the last byte
	DoneAt         time.Time
	Status         int // 0 without a head
	AnswerID       string
	Sealed         bool
	Body           string
	Complete       bool  // the answer ended as it should
	ExtraBytes     bool  // bytes came while no request was waiting
	Err            error // why the answer is not whole
}

// repeatable returns whether the request may run more than once.
func (s *SentRequest) repeatable() bool { return s.Kind == RequestLookup || s.Kind == RequestStream }

const (
	dialTimeout  = time.Second
	answerMargin = 1500 * ms // past its limit, before a caller gives up
	idleFraction = 0.8       // of the idle time, in which a caller uses a connection again
)

// caller sends requests one after another on a connection that it keeps.
type caller struct {
	name             string
	behavior         behavior
	preferredGateway int // gateway that it prefers
	fleet            *fleet
	rng              *rand.Rand
	conn             net.Conn
	rd               *bufio.Reader
	gateway          int
	lastUsed         time.Time // when the connection was used last
	requestCount     int
}

// run sends requests until the context ends and reports its end on the channel.
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

// waitThinkTime waits a time, now and then for almost as long as an idle connection is kept.
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

// ensureConnection gets a connection to a gateway that is in rotation, or keeps the one that there is.
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

// roundTrip sends a roundTrip and reads its answer. It returns nil if the roundTrip could not be sent.
func (c *caller) roundTrip() *SentRequest {
	s, key := c.drawRequest()
	if !c.ensureConnection() {
		return nil
	}
	s.Gateway = c.gateway
	s.ExtraBytes = c.rd.Buffered() > 0
	body := s.requestBody()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 100,%d\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		s.Path, target.HeaderAttempt, s.ID, target.HeaderTokens, s.ExpectedEvents, target.HeaderDeadline, s.Timeout.Milliseconds(),
		target.HeaderKey, key, len(body))
	s.StartedAt = time.Now()
	_ = c.conn.SetDeadline(s.StartedAt.Add(s.Timeout + answerMargin)) // a closed connection fails at the write
	if err := c.writeRequest(head, body); err != nil {
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

// drawRequest draws a request and its key.
func (c *caller) drawRequest() (*SentRequest, string) {
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
	return s, c.fleet.newestKey(c.rng.IntN(2))
}

// readAnswer reads an readAnswer. It returns whether the connection may be used again.
//
// The reader is net/http's, not that of the gateways, so that a fault of theirs is not shared.
func (c *caller) readAnswer(s *SentRequest) bool {
	response, err := http.ReadResponse(c.rd, nil)
	if err != nil {
		s.Err = err
		return false
	}
	defer func() { _ = response.Body.Close() }() // the answer is judged by what was read
	s.Status = response.StatusCode
	s.AnswerID = response.Header.Get(target.HeaderAttempt)
	s.Sealed = response.Header.Get(target.HeaderSeal) != ""
	var body strings.Builder
	_, s.Err = io.Copy(&body, response.Body)
	s.Body, s.Complete = body.String(), s.Err == nil
	return s.Complete && !response.Close
}

// newCallers returns the callers of a plan.
func newCallers(f *fleet) []*caller {
	behaviors := make([]behavior, callersPerGateway)
	if f.plan.stopsGateways() {
		behaviors = append(behaviors, extraBehaviors...)
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

// requestLog collects what callers saw.
type requestLog struct {
	mu       sync.Mutex
	requests []SentRequest
}

func (n *requestLog) record(s *SentRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests = append(n.requests, *s)
}
