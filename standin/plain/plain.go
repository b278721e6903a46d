// Package plain is a stand-in for a plain service. It counts how often each order
// ran and echoes enough of a request for its caller to recognise the answer.
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

// HeaderOrder is the header with the ID of the order that a request belongs to.
const HeaderOrder = "Idempotency-Key"

// Config configures a Service.
type Config struct {
	Slots int           // most requests that run at once
	Work  time.Duration // duration of a request whose query sets none
	Fence bool          // whether requests with a stale fencing number are refused
}

// Echo is the body of the answer to a request.
type Echo struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Digest  uint64 `json:"digest"` // hash of the body
	Run     int    `json:"run"`    // runs of the order so far, this one included
	Filler  string `json:"filler,omitempty"`
}

// Run records a request to a plain service.
type Run struct {
	Request string `json:"request"`
	Order   string `json:"order"`
	Done    bool   `json:"done"`
}

// Service is a stand-in for a plain service.
type Service struct {
	config   Config
	listener net.Listener
	server   *fasthttp.Server
	slots    chan struct{}
	started  time.Time

	mu            sync.Mutex
	runs          []*Run
	runsByOrder   map[string]int
	busyTime      time.Duration
	running       int
	waiting       int
	highestFences map[string]uint64 // highest fencing number by order
}

// New returns a Service that serves on a listener once Run is called.
func New(config Config, listener net.Listener) *Service {
	s := &Service{
		config: config, listener: listener, runsByOrder: map[string]int{}, highestFences: map[string]uint64{},
		slots: make(chan struct{}, max(1, config.Slots)), started: time.Now(),
	}
	s.server = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	return s
}

// Run serves until the context ends. The returned channel is closed once serving has ended.
func (s *Service) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { s.listener.Close() })
	go func() {
		defer close(done)
		_ = s.server.Serve(s.listener)
	}()
	return done
}

// Runs returns the records of all requests that were not refused.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, *r)
	}
	return list
}

// Stats returns the current state of the service.
func (s *Service) Stats() engine.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Stats{
		Running: s.running, Waiting: s.waiting, Batch: cap(s.slots),
		Busy: s.busyTime.Seconds(), Up: time.Since(s.started).Seconds(),
	}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/runs":
		reply.JSON(ctx, fasthttp.StatusOK, s.Runs())
	case "/stats":
		reply.JSON(ctx, fasthttp.StatusOK, s.Stats())
	default:
		s.serveRequest(ctx)
	}
}

// isStaleFence returns whether a fencing number is lower than the highest one seen for an order. It
// returns false for a text that is no number and if the Config doesn't ask for the check.
func (s *Service) isStaleFence(order, text string) bool {
	number, err := strconv.ParseUint(text, 10, 64)
	if !s.config.Fence || err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := number < s.highestFences[order]
	s.highestFences[order] = max(s.highestFences[order], number)
	return stale
}

// serveRequest runs a request. Its query may set the duration (ms, in milliseconds) and the length of
// the filler in the answer (size, in bytes).
func (s *Service) serveRequest(ctx *fasthttp.RequestCtx) {
	order := string(ctx.Request.Header.Peek(HeaderOrder))
	if s.isStaleFence(order, string(ctx.Request.Header.Peek(engine.HeaderFence))) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	run := &Run{
		Request: string(ctx.Request.Header.Peek(engine.HeaderRequest)),
		Order:   order,
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.runsByOrder[run.Order]++
	orderRuns := s.runsByOrder[run.Order]
	s.waiting++
	s.mu.Unlock()

	s.slots <- struct{}{}
	start := time.Now()
	s.markRunning(1)
	time.Sleep(s.workDuration(ctx))
	<-s.slots
	s.mu.Lock()
	s.busyTime += time.Since(start)
	s.running--
	run.Done = true
	s.mu.Unlock()
	size := ctx.QueryArgs().GetUintOrZero("size")
	reply.JSON(ctx, fasthttp.StatusOK, Echo{
		Request: run.Request, Method: string(ctx.Method()), Path: string(ctx.Path()),
		Digest: xxhash.Sum64(ctx.PostBody()), Run: orderRuns, Filler: strings.Repeat("x", size),
	})
}

// markRunning moves n requests from waiting to running.
func (s *Service) markRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	s.waiting -= n
}

// workDuration returns the duration that the query sets, or else the configured one.
func (s *Service) workDuration(ctx *fasthttp.RequestCtx) time.Duration {
	if ms := ctx.QueryArgs().GetUintOrZero("ms"); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return s.config.Work
}
