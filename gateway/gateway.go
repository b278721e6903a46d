package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/mesh"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
)

const (
	readTimeout   = 30 * time.Second // for the head and body of a caller's request
	idleTimeout   = time.Minute      // of callers without a configuration; longer than readTimeout, by which waits are told apart
	maxHeadBytes  = 64 << 10
	maxBodyBytes  = 64 << 20
	tickEvery     = 10 * time.Millisecond
	idleTickEvery = 50 * time.Millisecond
	sweepEvery    = 150 * time.Millisecond
	watchedAge    = 75 * time.Millisecond // of an event, in which the next one is due
	pathMetrics   = "/metrics"
)

// Gateway is the process of one host.
type Gateway struct {
	settings Settings
	log      zerolog.Logger
	record   *recorder
	core     *core
	pool     *link.Pool
	client   *platform.Client
	mesh     *mesh.Socket
	peers    *contacts
	lengths  lengths
	known    knowledge
	taking   sync.Mutex               // held while a list of targets is taken
	decoded  map[string]decodedTarget // entries of the list, by key, guarded by taking
	listing  *route.Listing           // guarded by the lock of the core
	answers  *mesh.Responder
	dropped  func() map[string]uint64 // log lines that were dropped, by event
	boot     uint64
	number   uint64 // of the last news

	ctx       context.Context // of connections to targets and queries of other hosts
	endSends  context.CancelFunc
	limits    atomic.Pointer[limits]
	stopFrom  atomic.Int64 // awake time of the signal to stop in ns, 0 before
	pulse     pulse
	stopEnd   atomic.Int64 // awake time by which the work is to be over then, in ns
	inFlight  atomic.Int64
	served    atomic.Int64 // requests since the last line on usage
	addresses atomic.Pointer[map[string]netip.AddrPort]
	listeners []net.Listener
	callers   *callers // at the first listener
	server    *fasthttp.Server
}

// Option changes a Gateway.
type Option func(g *Gateway)

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithDropped sets where the number of log lines that were dropped is read.
func WithDropped(dropped func() map[string]uint64) Option {
	return func(g *Gateway) { g.dropped = dropped }
}

// New returns a Gateway that listens at its addresses and serves once Run is
// called. The error is marked settings.ErrInvalid if the settings are at fault.
func New(s Settings, options ...Option) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: s, log: zerolog.Nop(), core: newCore(s), dropped: func() map[string]uint64 { return nil },
		client:  platform.NewClient(s.Store, platform.WithTimeout(storeTimeout)),
		peers:   newContacts(s.Peer),
		listing: route.NewListing(s.Heartbeat.Or(defaultHeartbeat)),
		lengths: lengths{routes: map[string]length{}}, endSends: func() {},
		decoded: map[string]decodedTarget{},
		boot:    uint64(time.Now().UnixMilli()),
	}
	g.pool = link.NewPool(nil, link.WithDialTimeout(func() time.Duration { return g.core.allow(dialTimeout) }))
	for _, option := range options {
		option(g)
	}
	g.log = g.log.With().Str("host", s.Name).Logger()
	g.record = newRecorder(g.log, newMetrics(), g.core.busy)
	g.limits.Store(newLimits(&s))
	g.addresses.Store(&map[string]netip.AddrPort{})
	g.server = g.newServer()
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.record.metrics.registry.MustRegister(newState(g))
	return g, nil
}

func (g *Gateway) listen() error {
	for _, address := range []netip.AddrPort{g.settings.Listen, g.settings.Ready, g.settings.Metrics} {
		if !address.IsValid() {
			continue
		}
		l, err := listening.Listen(context.Background(), "tcp", address.String())
		if err != nil {
			return errors.Wrapf(err, "listen at %s", address)
		}
		open := newCallers(g.idle)
		patient := newPatientListener(l.(*net.TCPListener), open)
		patient.note = g.record.descriptors
		if address == g.settings.Listen {
			raw, err := l.(*net.TCPListener).SyscallConn()
			if err != nil {
				return errors.Wrapf(err, "listen at %s", address)
			}
			patient.shed = newShedder(g, raw).next
			g.callers, open.crossed = open, g.record.crossed
		}
		g.listeners = append(g.listeners, patient)
	}
	socket, err := mesh.NewSocket(g.settings.Peer, mesh.Events{
		Received: g.hear,
		Message:  g.take,
		Took:     func(began time.Time) { g.record.busy.since(activityNews, began) },
		Rejected: func(_ netip.AddrPort, err error) { g.record.peerFailed(err) },
	})
	if err != nil {
		return err
	}
	g.mesh = socket
	g.core.self, g.core.post = peerNumber(g.settings.Peer), g.post
	g.core.last = g.boot << numberBits
	g.core.board.SetHosts(placement.Host{ID: g.core.self, Place: g.settings.Place}, nil)
	g.answers, err = mesh.NewResponder(g.settings.Peer, g.reply)
	return err
}

// idle returns how long a caller's connection may stay idle. A longer time that was not noticed
// yet counts from its writing.
func (g *Gateway) idle() time.Duration {
	if table := g.core.view.Load(); table != nil && table.Idle > 0 {
		return min(table.Idle, mostIdle) + max(0, min(g.core.age(), mostUnnoticed))
	}
	return idleTimeout
}

// Run serves until the context ends, then stops as planned.
func (g *Gateway) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.ctx, g.endSends = context.WithCancel(inner)
	defer g.endSends()
	for _, seed := range g.settings.Seeds {
		g.peers.meet(netip.AddrPortFrom(seed.Addr(), g.settings.Peer.Port()), time.Now())
	}
	w := &watcher{gateway: g, client: g.client, up: map[string]bool{}}
	telling, fallSilent := context.WithCancel(inner)
	defer fallSilent()
	told := every(telling, g.tell)
	ends := []<-chan struct{}{
		g.mesh.Run(inner), g.answers.Run(inner), every(inner, g.consult),
		every(inner, w.config), every(inner, w.targets), every(inner, w.hosts),
		told, every(inner, g.renew), every(inner, g.tick), every(inner, g.sweep), every(inner, g.usage), g.pool.Run(inner),
	}
	served := make(chan error, len(g.listeners))
	g.serve(served)
	g.record.process(eventStart, &g.settings)
	var err error
	select {
	case <-ctx.Done():
		g.stop()
		fallSilent()
		g.farewell(told)
	case err = <-served:
	}
	cancel()
	g.client.Close()
	late := joined(ends, marginOf(g.limits.Load().grace)/joinPart)
	g.record.stopped(&g.settings, g.stopSince(), late)
	return err
}

// newServer returns the server of callers.
func (g *Gateway) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: g.handle, ErrorHandler: g.malformed,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Logger: quiet{record: g.record},
		ReadBufferSize: maxHeadBytes, MaxRequestBodySize: maxBodyBytes,
	}
}

// serve starts the servers.
func (g *Gateway) serve(served chan<- error) {
	handlers := []fasthttp.RequestHandler{g.handle, g.ready, g.status()}
	for i, l := range g.listeners {
		server := g.server
		if i > 0 {
			server = &fasthttp.Server{Handler: handlers[i], NoDefaultServerHeader: true}
		}
		go func() { served <- server.Serve(l) }()
	}
}

// ready answers whether the host takes new connections.
func (g *Gateway) ready(ctx *fasthttp.RequestCtx) {
	fit := !g.stopping() && g.core.view.Load() != nil && !g.core.away()
	if !fit || string(ctx.Path()) != platform.PathReady {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// status answers with the metrics.
func (g *Gateway) status() fasthttp.RequestHandler {
	handler := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(g.record.metrics.registry, promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != pathMetrics {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		handler(ctx)
	}
}

// apply puts a configuration in force unless it is older than the present one.
func (g *Gateway) apply(table *route.Table, value []byte) {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	present := g.core.view.Load()
	if present != nil && table.Version <= present.Version {
		return
	}
	g.core.board.Configure(table)
	g.core.view.Store(table)
	g.known.setConfig(value)
	g.record.config(table)
}

// tick runs what depends on time alone.
func (g *Gateway) tick() time.Duration {
	g.pulse.beat(awake())
	now, period := inTurn(), tickEvery
	if g.inFlight.Load() == 0 {
		period = idleTickEvery
	}
	if g.core.electionDue(now) {
		g.core.elect(now, g.peers.owners())
	}
	changed, heardBy := g.core.tick(now, period)
	if changed {
		g.record.overload(g.core.late())
	}
	g.rotate(now)
	for _, address := range g.peers.silent(heardBy) {
		g.record.peer(address, "", false)
	}
	return period
}

// sweep ends the work for callers that left.
func (g *Gateway) sweep() time.Duration {
	for _, x := range g.core.active() {
		if !x.watched() && link.ClosedByPeer(x.caller) {
			x.cancel()
		}
	}
	return sweepEvery
}

// quiet drops what the server says of connections that callers broke off, and notes faults in
// streams.
type quiet struct{ record *recorder }

// Printf implements fasthttp.Logger.
func (q quiet) Printf(_ string, details ...any) {
	for _, detail := range details {
		if err, ok := detail.(*fasthttp.ErrBodyStreamWritePanic); ok {
			q.record.panicked("", err, nil)
		}
	}
}
