// Package plain is a stand-in for a plain service. It counts the runs of each
// order and echoes enough of a request for its caller to recognise it.
package plain

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/standin/engine"
	"github.com/cassiachute/cassiachute/standin/reply"
)

// HeaderOrder names the order that a request belongs to.
const HeaderOrder = "Idempotency-Key"

// Config configures a Service.
type Config struct {
	Slots int           // most requests that run at once
	Work  time.Duration // time of a request that does not tell
	Fence bool          // refuses an old fencing number
}

// Echo is the answer to a request.
type Echo struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Digest  uint64 `json:"digest"` // hash of the body
	Run     int    `json:"run"`    // runs of the order so far, this one included
	Filler  string `json:"filler,omitempty"`
}

// Run is the record of one request.
type Run struct {
	Request string `json:"request"`
	Order   string `json:"order"`
	Done    bool   `json:"done"`
}

// Service is the stand-in.
type Service struct {
	config   Config
	listener net.Listener
	server   *fasthttp.Server
	slots    chan struct{}
	started  time.Time

	mu      sync.Mutex
	runs    []*Run
	orders  map[string]int
	busy    time.Duration
	running int
	waiting int
	fences  map[string]uint64 // highest fencing number by order
}

// New returns a Service that serves on a listener once Run is called.
func New(config Config, listener net.Listener) *Service {
	s := &Service{
		config: config, listener: listener, orders: map[string]int{}, fences: map[string]uint64{},
		slots: make(chan struct{}, max(1, config.Slots)), started: time.Now(),
	}
	s.server = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	return s
}

// Run serves until the context ends and reports its end on the channel.
func (s *Service) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { s.listener.Close() })
	go func() {
		defer close(done)
		_ = s.server.Serve(s.listener)
	}()
	return done
}

// Runs returns the records of all requests.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, *r)
	}
	return list
}

// Stats returns the state of the service.
func (s *Service) Stats() engine.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Stats{
		Running: s.running, Waiting: s.waiting, Batch: cap(s.slots),
		Busy: s.busy.Seconds(), Up: time.Since(s.started).Seconds(),
	}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/runs":
		reply.JSON(ctx, fasthttp.StatusOK, s.Runs())
	case "/stats":
		reply.JSON(ctx, fasthttp.StatusOK, s.Stats())
	default:
		s.work(ctx)
	}
}

// old returns whether a fencing number is older than the highest one seen of an
// order.
func (s *Service) old(order, text string) bool {
	number, err := strconv.ParseUint(text, 10, 64)
	if !s.config.Fence || err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := number < s.fences[order]
	s.fences[order] = max(s.fences[order], number)
	return old
}

// work runs one request. The query sets its time in ms and the size of its
// answer in bytes.
func (s *Service) work(ctx *fasthttp.RequestCtx) {
	order := string(ctx.Request.Header.Peek(HeaderOrder))
	if s.old(order, string(ctx.Request.Header.Peek(engine.HeaderFence))) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	run := &Run{
		Request: string(ctx.Request.Header.Peek(engine.HeaderRequest)),
		Order:   order,
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.orders[run.Order]++
	count := s.orders[run.Order]
	s.waiting++
	s.mu.Unlock()

	s.slots <- struct{}{}
	begun := time.Now()
	s.count(1)
	time.Sleep(s.duration(ctx))
	<-s.slots
	s.mu.Lock()
	s.busy += time.Since(begun)
	s.running--
	run.Done = true
	s.mu.Unlock()
	size := ctx.QueryArgs().GetUintOrZero("size")
	reply.JSON(ctx, fasthttp.StatusOK, Echo{
		Request: run.Request, Method: string(ctx.Method()), Path: string(ctx.Path()),
		Digest: xxhash.Sum64(ctx.PostBody()), Run: count, Filler: strings.Repeat("x", size),
	})
}

func (s *Service) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	s.waiting -= n
}

func (s *Service) duration(ctx *fasthttp.RequestCtx) time.Duration {
	if ms := ctx.QueryArgs().GetUintOrZero("ms"); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return s.config.Work
}
