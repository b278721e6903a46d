// Package platform is a stand-in for the platform: a transactional table, an
// object store and a lagging list of hosts, each with faults on demand.
package platform

import (
	"context"
	"encoding/json"
	"net"
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

const defaultPage = 500

// Faults are the faults in force.
type Faults struct {
	Down bool `json:"down"` // no call is answered
	Slow int  `json:"slow"` // delay of each answer in milliseconds
	Lose int  `json:"lose"` // so many next writes take effect and their replies are lost
	Late int  `json:"late"` // so many next writes take effect only after Slow, with no reply
}

// HostList is the body of a call that sets the list of hosts.
type HostList struct {
	Hosts []platform.Host `json:"hosts"`
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
	rows    map[rowName]platform.RowItem
	last    uint64
	changes []platform.RowItem // in the order of their versions
	lost    uint64             // newest version whose change is no longer kept
	changed chan struct{}      // closed at the next change
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
		rows:     map[rowName]platform.RowItem{},
		changed:  make(chan struct{}),
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
		control(ctx, func(h HostList) { p.SetHosts(h.Hosts) })
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
	case path == platform.PathRows:
		p.page(ctx)
	case path == platform.PathFeed:
		p.feed(ctx)
	case strings.HasPrefix(path, platform.PathPutObject):
		p.putObject(ctx, strings.TrimPrefix(path, platform.PathPutObject))
	case strings.HasPrefix(path, platform.PathObject):
		p.object(ctx, strings.TrimPrefix(path, platform.PathObject))
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
