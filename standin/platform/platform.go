// Package platform is a stand-in for the platform: a transactional table, an
// object store and a lagging list of hosts, each with faults on demand.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/standin/reply"
)

// Paths that only tests and demonstrations use.
const (
	PathFaults = "/standin/faults"
	PathHosts  = "/standin/hosts"
	PathCounts = "/standin/counts"
)

const defaultPage = 100

// Faults are the faults in force.
type Faults struct {
	Down bool `json:"down"` // no call is answered
	Slow int  `json:"slow"` // delay of each answer in milliseconds
	Lose int  `json:"lose"` // so many next writes take effect and their replies are lost
	Late int  `json:"late"` // so many next writes take effect only after Slow, with no reply
}

// Counts are the calls so far.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
}

// Config configures a Platform.
type Config struct {
	Reads  float64       // reads a second
	Writes float64       // writes a second
	Lag    time.Duration // age of the list of hosts
}

// NewConfig returns a Config with the defaults.
func NewConfig() Config {
	return Config{Reads: 2000, Writes: 500, Lag: 2 * time.Second}
}

// version is the list of hosts as it was from some time on.
type version struct {
	since time.Time
	hosts []platform.Host
}

// Platform is the stand-in.
type Platform struct {
	config   Config
	listener net.Listener
	server   *fasthttp.Server
	reads    *rate.Limiter
	writes   *rate.Limiter

	mu      sync.Mutex
	rows    map[string]platform.Row
	last    uint64
	objects map[string][]byte
	hosts   []version
	faults  Faults
	counts  Counts
}

// New returns a Platform that serves on a listener once Run is called.
func New(config Config, listener net.Listener) *Platform {
	p := &Platform{
		config:   config,
		listener: listener,
		reads:    rate.NewLimiter(rate.Limit(config.Reads), int(config.Reads)),
		writes:   rate.NewLimiter(rate.Limit(config.Writes), int(config.Writes)),
		rows:     map[string]platform.Row{},
		objects:  map[string][]byte{},
	}
	p.server = &fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true}
	return p
}

// Run serves until the context ends and reports its end on the channel.
func (p *Platform) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { p.listener.Close() })
	go func() {
		defer close(done)
		_ = p.server.Serve(p.listener)
	}()
	return done
}

// SetFaults puts faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHosts sets the list of hosts, which is told after the lag.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, version{since: time.Now(), hosts: hosts})
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case PathFaults:
		control(ctx, p.SetFaults)
		return
	case PathHosts:
		control(ctx, func(h platform.Hosts) { p.SetHosts(h.Hosts) })
		return
	case PathCounts:
		reply.JSON(ctx, fasthttp.StatusOK, p.Counts())
		return
	}
	write := !ctx.IsGet()
	faults, allowed := p.enter(write)
	switch {
	case faults.Down:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case !allowed:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	case faults.Late > 0 && write:
		time.Sleep(time.Duration(faults.Slow) * time.Millisecond)
		p.serve(ctx, path)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	default:
		time.Sleep(time.Duration(faults.Slow) * time.Millisecond)
		p.serve(ctx, path)
		if faults.Lose > 0 && write {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		}
	}
}

// enter counts a call and returns the faults that it meets and whether its
// rate allows it.
func (p *Platform) enter(write bool) (Faults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.faults
	limiter := p.reads
	if write {
		limiter = p.writes
		p.counts.Writes++
		p.faults.Lose = max(0, p.faults.Lose-1)
		p.faults.Late = max(0, p.faults.Late-1)
	} else {
		p.counts.Reads++
	}
	allowed := limiter.Allow()
	if !allowed {
		p.counts.Refused++
	}
	return faults, allowed
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == platform.PathTransact && ctx.IsPost():
		p.transact(ctx)
	case path == platform.PathRow:
		p.row(ctx)
	case path == platform.PathRows:
		p.page(ctx)
	case path == platform.PathHosts:
		reply.JSON(ctx, fasthttp.StatusOK, platform.Hosts{Hosts: p.listed()})
	case strings.HasPrefix(path, platform.PathObjects):
		p.object(ctx, path)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func control[T any](ctx *fasthttp.RequestCtx, set func(T)) {
	var value T
	if err := json.Unmarshal(ctx.PostBody(), &value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	set(value)
}

func (p *Platform) transact(ctx *fasthttp.RequestCtx) {
	var t platform.Transaction
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	receipt := p.Transact(t)
	status := fasthttp.StatusOK
	if len(receipt.Failed) > 0 {
		status = fasthttp.StatusConflict
	}
	reply.JSON(ctx, status, receipt)
}

// Transact carries out a transaction.
func (p *Platform) Transact(t platform.Transaction) platform.Receipt {
	p.mu.Lock()
	defer p.mu.Unlock()
	var receipt platform.Receipt
	for _, check := range t.Checks {
		if p.rows[check.Key].Version != check.Version {
			receipt.Failed = append(receipt.Failed, check.Key)
		}
	}
	if len(receipt.Failed) > 0 {
		return receipt
	}
	p.last++
	receipt.Version = p.last
	for _, put := range t.Puts {
		p.rows[put.Key] = platform.Row{Key: put.Key, Version: p.last, Value: put.Value}
	}
	for _, key := range t.Drops {
		delete(p.rows, key)
	}
	return receipt
}

func (p *Platform) row(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	row, ok := p.rows[string(ctx.QueryArgs().Peek("key"))]
	p.mu.Unlock()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reply.JSON(ctx, fasthttp.StatusOK, row)
}

func (p *Platform) page(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	after := string(ctx.QueryArgs().Peek("after"))
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultPage
	}
	rows := []platform.Row{}
	p.mu.Lock()
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	reply.JSON(ctx, fasthttp.StatusOK, platform.Rows{Rows: rows[:min(limit, len(rows))]})
}

func (p *Platform) object(ctx *fasthttp.RequestCtx, path string) {
	key := strings.TrimPrefix(path, platform.PathObjects)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		p.objects[key] = slices.Clone(ctx.PostBody())
	case fasthttp.MethodDelete:
		delete(p.objects, key)
	default:
		body, ok := p.objects[key]
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ctx.SetBody(body)
	}
}

// listed returns the hosts as they were the lag ago.
func (p *Platform) listed() []platform.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := []platform.Host{}
	for _, v := range p.hosts {
		if time.Since(v.since) >= p.config.Lag {
			hosts = v.hosts
		}
	}
	return hosts
}
