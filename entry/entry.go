package entry

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/publish"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	platformWorkers = 16                    // concurrent calls to the platform
	readTimeout     = 30 * time.Second      // for the head and body of a caller's request
	idleTimeout     = 2 * time.Minute       // for keep-alive connections of callers
	maxHeadBytes    = 16 << 10              // largest head of a caller's request
	drainTimeout    = 2 * time.Second       // for the last messages to peers at shutdown
	stopPollPeriod  = 20 * time.Millisecond // between checks for requests in flight at shutdown
)

// Entry is the process of one entry host.
type Entry struct {
	settings    Settings
	log         zerolog.Logger
	loop        *eventLoop
	hub         *wire.Hub
	pool        *link.Pool
	platform    *platform.Client
	store       *publish.Store
	workers     pond.Pool
	metrics     *metrics
	prompts     promptMeans
	held        *held.Budget // bytes of answers and of callers' bodies that are held
	connections *held.Connections
	bodies      heldBodies
	maxBody     atomic.Int64   // largest body of a request that any service allows, in bytes
	evictionLog zerolog.Logger // for closed connections of callers, at most one line per held.EvictionLogInterval
	view        atomic.Pointer[catalog.View]
	ready       atomic.Bool
	stopping    atomic.Bool
	polling     atomic.Bool
	listeners   listeners
	server      *fasthttp.Server
	status      *fasthttp.Server
}

// listeners are the listening sockets of an entry host.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	status  net.Listener
}

// Option changes an Entry before it starts to listen.
type Option func(e *Entry)

// WithLog sets the logger. Without it, nothing is logged.
func WithLog(log zerolog.Logger) Option { return func(e *Entry) { e.log = log } }

// New returns an Entry that listens at its addresses; it serves once Run is called. An error about
// invalid settings is marked settings.ErrInvalid.
func New(s Settings, options ...Option) (*Entry, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	e := &Entry{settings: s, log: zerolog.Nop(), metrics: newMetrics(), workers: pond.NewPool(platformWorkers)}
	e.prompts.means = map[uint32]float64{}
	for _, option := range options {
		option(e)
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	routes := map[netip.AddrPort]netip.AddrPort{}
	for _, r := range s.Routes {
		routes[r.To] = r.Via
	}
	e.pool = link.NewPool(routes)
	e.platform = platform.NewClient(s.Platform)
	e.store = publish.NewStore(e.platform, time.Now)
	e.createComponents(routes)
	return e, nil
}

// listen opens the sockets for callers, peers and status requests.
func (e *Entry) listen() error {
	bind := e.settings.Bind
	if !bind.IsValid() {
		bind = e.settings.Peer
	}
	var err error
	for _, l := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{
		{&e.listeners.callers, e.settings.Listen},
		{&e.listeners.peers, bind},
		{&e.listeners.status, e.settings.Status},
	} {
		if *l.listener, err = net.Listen("tcp", l.address.String()); err != nil {
			return errors.Wrapf(err, "listen at %s", l.address)
		}
	}
	return nil
}

// createComponents creates the event loop, the hub for peers and the HTTP servers, and connects them
// to each other.
func (e *Entry) createComponents(routes map[netip.AddrPort]netip.AddrPort) {
	boot := uint64(time.Now().UnixMilli())
	config := host.NewConfig(e.settings.Peer, boot, e.settings.Place)
	config.Policy, _ = policyByName(e.settings.Policy)
	config.Standalone = e.settings.WithoutPeers
	for _, p := range e.settings.Peers {
		config.Seeds = append(config.Seeds, host.Seed{Address: p.Address, Place: p.Place})
	}
	e.held = held.NewBudget(e.settings.Memory)
	e.evictionLog = e.log.Sample(&zerolog.BurstSampler{Burst: 1, Period: held.EvictionLogInterval})
	e.connections = held.NewConnections(e.settings.Memory, e.recordEviction)
	e.metrics.watchHeld(e.held)
	h := host.New(config)
	e.view.Store(h.View())
	e.maxBody.Store(largestBody(h.View()))
	e.loop = newEventLoop(h, time.Now, e.execute)
	e.hub = wire.NewHub(wire.Config{
		Address: e.settings.Peer, Boot: boot, Key: []byte(e.settings.Secret),
		AckTimeout: e.settings.Silence.Duration, Routes: routes,
	}, wire.Events{
		Received: e.loop.receiveMessages,
		Up: func(peer netip.AddrPort, boot uint64, fresh bool) {
			e.loop.post(func(now time.Time, h *host.Host) { h.PeerUp(now, peer, boot, fresh) })
		},
		Down: func(peer netip.AddrPort, refused bool) {
			e.loop.post(func(now time.Time, h *host.Host) { h.PeerDown(now, peer, refused) })
		},
		Rejected: func(remote netip.AddrPort, err error) {
			e.metrics.rejected.Inc()
			e.log.Warn().Stringer("remote", remote).Err(err).Msg("peer rejected")
		},
	}, e.listeners.peers)
	e.metrics.watchHub(e.hub)
	e.server = &fasthttp.Server{
		Handler: e.handle, NoDefaultServerHeader: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ReadBufferSize: maxHeadBytes, MaxRequestBodySize: catalog.MaxBodyBytesLimit, ErrorHandler: e.refuseMalformed,
		CloseOnShutdown: true, StreamRequestBody: true, DisablePreParseMultipartForm: true, ConnState: e.trackConnection,
		HeaderReceived: e.headReceived, ExpectHandler: e.checkExpected,
	}
	e.status = &fasthttp.Server{Handler: e.handleStatus, NoDefaultServerHeader: true}
}

// refuseMalformed answers a request that is not valid HTTP or whose body is too large or can't be held, and closes
// its connection.
func (e *Entry) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	p := notRunProblem(fasthttp.StatusBadRequest, "bad_request", "", "the request is malformed")
	switch {
	case errors.Is(err, held.ErrNoRoom):
		p = notRunProblem(fasthttp.StatusServiceUnavailable, "no_room", "", "this host has no room for the body")
		p.retry = held.NoRoomRetryAfter
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, held.ErrBodyTooLarge):
		p = notRunProblem(fasthttp.StatusRequestEntityTooLarge, "too_large", "", "the body is too large")
	}
	e.refuse(ctx, nil, p)
	ctx.SetConnectionClose()
}

// execute carries out the commands of the host that concern peers, the configuration, the platform
// and the log.
func (e *Entry) execute(c host.Commands) {
	e.ready.Store(c.Ready && !e.stopping.Load())
	for _, peer := range c.Connect {
		e.hub.Connect(peer)
	}
	for _, s := range c.Sends {
		e.hub.Send(s.To, s.Message)
	}
	for _, peer := range c.Disconnect {
		e.hub.Forget(peer)
	}
	if c.View != nil {
		e.view.Store(c.View)
		e.maxBody.Store(largestBody(c.View))
		e.metrics.revision.Set(float64(c.View.Set.Revision))
		e.log.Info().Uint64("revision", c.View.Set.Revision).Msg("configuration in force")
	}
	e.logChanges(c)
	for _, commit := range c.OrderCommits {
		e.workers.Submit(func() { e.commitOrders(commit) })
	}
	for _, read := range c.OrderReads {
		e.workers.Submit(func() { e.readOrder(read) })
	}
	if c.Poll && e.polling.CompareAndSwap(false, true) {
		e.workers.Submit(e.poll)
	}
}

// poll asks the platform for a newer configuration and the list of hosts.
func (e *Entry) poll() {
	defer e.polling.Store(false)
	set, err := e.store.Newest(e.view.Load().Set)
	if err != nil {
		e.log.Warn().Err(err).Msg("platform gives no configuration")
		return
	}
	hosts, hostsErr := e.platform.Hosts()
	e.loop.post(func(now time.Time, h *host.Host) {
		if set.Revision > 0 {
			h.Apply(now, set)
		}
		if hostsErr == nil {
			h.SetListedHosts(now, seeds(hosts))
		}
	})
}

// seeds converts the list of hosts of the platform.
func seeds(hosts []platform.Host) []host.Seed {
	list := make([]host.Seed, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, host.Seed{Address: h.Address, Place: h.Place, Leaving: h.Leaving})
	}
	return list
}

// Run serves until the context ends and then shuts down in order: its peers take over its shards,
// and requests in flight are completed.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loopDone := e.loop.run(runCtx)
	hubDone := e.hub.Run(runCtx)
	poolDone := e.pool.Run(runCtx)
	served := make(chan error, 2)
	go func() { served <- e.server.Serve(e.listeners.callers) }()
	go func() { served <- e.status.Serve(e.listeners.status) }()
	e.log.Info().Stringer("listen", e.settings.Listen).Stringer("peer", e.settings.Peer).Msg("serving")
	var err error
	select {
	case <-ctx.Done():
		e.stop()
	case err = <-served:
	}
	_ = e.status.Shutdown()
	cancel()
	<-hubDone
	<-poolDone
	<-loopDone
	e.workers.StopAndWait()
	e.log.Info().Msg("stopped")
	return err
}

// stop shuts down in order. It reports not ready, waits for the grace time so that the load
// balancer notices, and then waits for requests in flight and messages to peers.
func (e *Entry) stop() {
	e.log.Info().Msg("stopping")
	e.stopping.Store(true)
	e.ready.Store(false)
	e.loop.postAndWait(func(now time.Time, h *host.Host) { h.Leave(now) })
	time.Sleep(e.settings.Grace.Duration)
	_ = e.server.Shutdown()
	ticker := time.NewTicker(stopPollPeriod)
	defer ticker.Stop()
	for e.inFlight() > 0 {
		<-ticker.C
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	e.hub.Drain(ctx)
}

// inFlight returns the number of requests in the host plus that of connections being served. It is
// 0 once all requests are answered.
func (e *Entry) inFlight() int {
	total := 0
	e.loop.postAndWait(func(_ time.Time, h *host.Host) { _, total = h.RequestCounts() })
	return total + int(e.server.GetCurrentConcurrency())
}

// logChanges logs shards that were taken or given up, changes of the live hosts of this place, and properties of
// requests that are held for crashes of targets or are not any more.
func (e *Entry) logChanges(c host.Commands) {
	for _, shard := range c.Acquired {
		e.log.Info().Uint32("service", shard.Service).Uint32("place", shard.Place).Msg("shard taken")
	}
	for _, shard := range c.Released {
		e.log.Info().Uint32("service", shard.Service).Uint32("place", shard.Place).Msg("shard given up")
	}
	if c.Live != nil {
		e.log.Info().Int("live", len(c.Live)).Msg("hosts of this place")
	}
	for _, change := range c.Traits {
		message := "trait released"
		if change.Held {
			message = "trait held"
		}
		e.log.Warn().Str("trait", strconv.FormatUint(uint64(change.Trait), 16)).Int("crashes", change.Incidents).Dur("hold", change.Hold).
			Bool("evicted", change.Evicted).Msg(message)
	}
}
