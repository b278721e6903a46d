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

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	KindLookup Kind = "lookup" // may run more than once
	KindOrder  Kind = "order"  // runs once at most
	KindStream Kind = "stream" // may be resumed
	KindOnce   Kind = "once"   // a stream that may not be resumed
)

// Seen is what a caller saw of a request.
type Seen struct {
	ID       string
	Kind     Kind
	Gateway  int
	Path     string
	Events   int           // that the whole stream has
	Copies   int           // of its identity, that its body has; one if 0
	Limit    time.Duration // that the caller waits
	Began    time.Time     // the first byte
	Sent     time.Time     // the last byte
	Done     time.Time
	Status   int // 0 without a head
	AnswerID string
	Sealed   bool
	Body     string
	Whole    bool  // the answer ended as it should
	Extra    bool  // bytes came while no request was waiting
	Err      error // why the answer is not whole
}

// repeatable returns whether the request may run more than once.
func (s *Seen) repeatable() bool { return s.Kind == KindLookup || s.Kind == KindStream }

const (
	dialLimit  = time.Second
	answerWait = 1500 * ms // past its limit, before a caller gives up
	idlePart   = 0.8       // of the idle time, in which a caller uses a connection again
)

// caller sends requests one after another on a connection that it keeps.
type caller struct {
	name    string
	manner  manner
	home    int // gateway that it prefers
	fleet   *fleet
	rng     *rand.Rand
	conn    net.Conn
	rd      *bufio.Reader
	gateway int
	used    time.Time // when the connection was used last
	sent    int
}

// run sends requests until the context ends and reports its end on the channel.
func (c *caller) run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer c.close()
		for ctx.Err() == nil {
			c.think(ctx)
			if s := c.request(); s != nil {
				c.fleet.note(s)
			}
		}
	}()
	return done
}

// think waits a time, now and then for almost as long as an idle connection is kept.
func (c *caller) think(ctx context.Context) {
	wait := time.Duration(c.rng.Int64N(int64(600 * ms)))
	if c.manner == mannerFresh {
		wait = wait * freshThink / (600 * ms)
	} else if c.rng.IntN(20) == 0 {
		wait = time.Duration(idlePart * float64(c.fleet.idle()))
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

// connect gets a connection to a gateway that is in rotation, or keeps the one that there is.
func (c *caller) connect() bool {
	if c.manner != mannerFresh && c.conn != nil && time.Since(c.used) < time.Duration(idlePart*float64(c.fleet.idle()))+50*ms {
		return true
	}
	c.close()
	for n := range c.fleet.gateways {
		at := (c.home + n) % len(c.fleet.gateways)
		g := c.fleet.gateways[at]
		if !g.inRotation() {
			continue
		}
		conn, err := net.DialTimeout("tcp", g.listen.String(), dialLimit)
		if err == nil {
			c.conn, c.gateway = c.slowed(conn), at
			c.rd = bufio.NewReader(c.conn)
			return true
		}
	}
	return false
}

// request sends a request and reads its answer. It returns nil if the request could not be sent.
func (c *caller) request() *Seen {
	s, key := c.draw()
	if !c.connect() {
		return nil
	}
	s.Gateway = c.gateway
	s.Extra = c.rd.Buffered() > 0
	body := s.text()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 100,%d\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		s.Path, target.HeaderAttempt, s.ID, target.HeaderTokens, s.Events, target.HeaderDeadline, s.Limit.Milliseconds(),
		target.HeaderKey, key, len(body))
	s.Began = time.Now()
	_ = c.conn.SetDeadline(s.Began.Add(s.Limit + answerWait)) // a closed connection fails at the write
	if err := c.send(head, body); err != nil {
		c.close()
		return nil
	}
	s.Sent = time.Now()
	keep := c.answer(s)
	s.Done = time.Now()
	c.used = s.Done
	if !keep {
		c.close()
	}
	return s
}

// draw draws a request and its key.
func (c *caller) draw() (*Seen, string) {
	c.sent++
	s := &Seen{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: KindLookup, Limit: time.Duration(3000+c.rng.IntN(3000)) * ms}
	switch n := c.rng.IntN(100); {
	case n < 45:
		s.Kind, s.Events = KindStream, 5+c.rng.IntN(20)
	case n < 55:
		s.Kind, s.Events = KindOnce, 5+c.rng.IntN(20)
	case n < 75:
		s.Kind = KindOrder
	}
	if s.Events > 0 {
		s.Limit *= 3
	}
	c.adapt(s)
	s.Path = fmt.Sprintf("/%s/%s", s.Kind, c.name)
	return s, c.fleet.key(c.rng.IntN(2))
}

// answer reads an answer. It returns whether the connection may be used again.
//
// The reader is net/http's, not that of the gateways, so that a fault of theirs is not shared.
func (c *caller) answer(s *Seen) bool {
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
	s.Body, s.Whole = body.String(), s.Err == nil
	return s.Whole && !response.Close
}

// newCallers returns the callers of a plan.
func newCallers(f *fleet) []*caller {
	kinds := make([]manner, callersEach)
	if f.plan.stops() {
		kinds = append(kinds, manners...)
	}
	var all []*caller
	for n := range len(kinds) * len(f.gateways) {
		all = append(all, &caller{
			name: fmt.Sprintf("c%d", n), manner: kinds[n/len(f.gateways)], home: n % len(f.gateways), fleet: f,
			rng: rand.New(rand.NewPCG(f.plan.Seed, uint64(1000+n))),
		})
	}
	return all
}

// notes collects what callers saw.
type notes struct {
	mu   sync.Mutex
	seen []Seen
}

func (n *notes) note(s *Seen) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = append(n.seen, *s)
}
