// Package platform is a stand-in for the users' platform: a transactional table,
// an object store and a list of hosts that lags behind. It injects faults on
// demand, and can be restored from a copy of itself.
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

// Paths of the control interface for tests and demonstrations.
const (
	PathFaults = "/standin/faults"
	PathHosts  = "/standin/hosts"
	PathCounts = "/standin/counts"
)

const defaultPageRows = 500 // limit of a page if the request sets none

// Faults are the faults that the stand-in injects.
type Faults struct {
	Down bool `json:"down"` // connections are closed without a response
	Slow int  `json:"slow"` // delay of each call in milliseconds
	Lose int  `json:"lose"` // number of next writes that take effect but get no response
	Late int  `json:"late"` // number of next writes that take effect only after Slow and get no response
}

// HostList is the body of a request that sets the list of hosts.
type HostList struct {
	Hosts []platform.Host `json:"hosts"`
}

// Counts holds the numbers of calls so far. Refused counts those above the rate limits, which the
// other counts include.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
}

// Config configures a Platform.
type Config struct {
	Reads  float64       // most reads per second
	Writes float64       // most writes per second
	Lag    time.Duration // time after which a change of the list of hosts becomes visible
}

// NewConfig returns a Config with the defaults.
func NewConfig() Config {
	return Config{Reads: 2000, Writes: 500, Lag: 2 * time.Second}
}

// hostsVersion is the list of hosts from a time on.
type hostsVersion struct {
	since time.Time
	hosts []platform.Host
}

// Platform is a stand-in for the platform's services.
type Platform struct {
	config   Config
	listener net.Listener
	server   *fasthttp.Server
	reads    *rate.Limiter
	writes   *rate.Limiter

	mu           sync.Mutex
	data         data
	era          uint64        // rises by one with each restore
	changed      chan struct{} // closed at the next change
	hostVersions []hostsVersion
	faults       Faults
	counts       Counts
}

// New returns a Platform that serves on a listener once Run is called.
func New(config Config, listener net.Listener) *Platform {
	p := &Platform{
		config:   config,
		listener: listener,
		reads:    rate.NewLimiter(rate.Limit(config.Reads), int(config.Reads)),
		writes:   rate.NewLimiter(rate.Limit(config.Writes), int(config.Writes)),
		data:     data{rows: map[rowID]platform.RowItem{}, objects: map[string][]byte{}},
		era:      1,
		changed:  make(chan struct{}),
	}
	p.server = &fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true}
	return p
}

// Run serves until the context ends. The returned channel is closed once serving has ended.
func (p *Platform) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { p.listener.Close() })
	go func() {
		defer close(done)
		_ = p.server.Serve(p.listener)
	}()
	return done
}

// SetFaults replaces the faults that are injected.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHosts sets the list of hosts, which readers see after the configured lag.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostVersions = append(p.hostVersions, hostsVersion{since: time.Now(), hosts: hosts})
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case PathFaults:
		decodeAndApply(ctx, p.SetFaults)
		return
	case PathHosts:
		decodeAndApply(ctx, func(h HostList) { p.SetHosts(h.Hosts) })
		return
	case PathCounts:
		reply.JSON(ctx, fasthttp.StatusOK, p.Counts())
		return
	}
	write := !ctx.IsGet()
	faults, allowed := p.admit(write)
	switch {
	case faults.Down:
		closeWithoutAnswer(ctx)
	case !allowed:
		p.setEra(ctx, p.Era())
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	default:
		p.serveWithFaults(ctx, path, write, faults)
	}
}

// serveWithFaults serves a call whose answer may be slow or lost. A call during which the content is replaced by
// a copy gets no answer.
func (p *Platform) serveWithFaults(ctx *fasthttp.RequestCtx, path string, write bool, faults Faults) {
	era := p.Era()
	time.Sleep(time.Duration(faults.Slow) * time.Millisecond)
	p.serve(ctx, path)
	if write && (faults.Lose > 0 || faults.Late > 0) || p.Era() != era {
		closeWithoutAnswer(ctx)
		return
	}
	p.setEra(ctx, era)
}

// admit counts a call. It returns the faults that affect the call and whether
// its rate limit allows it.
func (p *Platform) admit(write bool) (Faults, bool) {
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

// serve dispatches a request to the service of its path.
func (p *Platform) serve(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == platform.PathTransact && ctx.IsPost():
		p.serveTransact(ctx)
	case path == platform.PathRows:
		p.serveRows(ctx)
	case path == platform.PathFeed:
		p.serveFeed(ctx)
	case strings.HasPrefix(path, platform.PathPutObject):
		p.putObject(ctx, strings.TrimPrefix(path, platform.PathPutObject))
	case strings.HasPrefix(path, platform.PathObject):
		p.getObject(ctx, strings.TrimPrefix(path, platform.PathObject))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// decodeAndApply decodes the body of a control request and passes the value to a function.
func decodeAndApply[T any](ctx *fasthttp.RequestCtx, set func(T)) {
	var value T
	if err := json.Unmarshal(ctx.PostBody(), &value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	set(value)
}
