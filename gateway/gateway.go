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

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/mesh"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
)

const (
	readTimeout      = 30 * time.Second // to read the head and body of a caller's request
	idleTimeout      = time.Minute      // for callers' connections before a configuration is known; longer than readTimeout, which tells waits for a request from reads of one
	maxHeadBytes     = 64 << 10
	maxBodyBytes     = 64 << 20               // of a request, unless the configuration sets a lower limit
	tickInterval     = 10 * time.Millisecond  // while requests are in flight
	idleTickInterval = 50 * time.Millisecond  // while there are none
	sweepInterval    = 150 * time.Millisecond // between checks for callers that left
	recentEventAge   = 75 * time.Millisecond  // a stream with a younger event is written to again soon, which shows whether its caller left
	pathMetrics      = "/metrics"
)

// Gateway accepts the requests of callers on one host, sends each to a target and returns the
// answer. It exchanges load, configuration and slots with the gateways of other hosts.
type Gateway struct {
	settings       Settings
	log            zerolog.Logger
	record         *recorder
	core           *core
	pool           *link.Pool
	client         *platform.Client
	mesh           *mesh.Socket
	peers          *peerTable
	lengths        durationTracker
	numberings     numberingTracker
	origins        *originTable
	held           *held.Budget // bytes of answers and of callers' bodies that are held
	connections    *held.Connections
	storeCache     storeCache
	targetsMu      sync.Mutex               // serializes updates of the list of targets
	decodedTargets map[string]decodedTarget // decoded entries of the list, by key, guarded by targetsMu
	listing        *route.Listing           // guarded by core.mu
	responder      *mesh.Responder
	droppedLines   func() map[string]uint64 // returns the number of dropped log lines by event
	boot           uint64                   // start time in Unix milliseconds, which tells processes of this host apart
	stateNumber    uint64                   // number of the state report sent last

	ctx              context.Context // for connections to targets and queries of other hosts
	cancelSends      context.CancelFunc
	limits           atomic.Pointer[limits]
	stopSignalAt     atomic.Int64 // time since boot of the stop signal, in ns, 0 before it
	stalls           stallDetector
	stopDeadline     atomic.Int64 // time since boot by which a stopping host must have finished its requests, in ns
	inFlight         atomic.Int64
	servedSinceUsage atomic.Int64                        // requests since the last usage line in the log
	targetEndpoints  atomic.Pointer[map[string]endpoint] // by identity of the target
	listeners        []net.Listener
	callers          *callerTracker // connections of the listener for callers
	server           *fasthttp.Server
}

// Option configures a Gateway.
type Option func(g *Gateway)

// WithLog sets the logger. Without it nothing is logged.
func WithLog(log zerolog.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithDroppedLines sets the function that returns the number of dropped log lines by event, which
// is published as a metric.
func WithDroppedLines(dropped func() map[string]uint64) Option {
	return func(g *Gateway) { g.droppedLines = dropped }
}

// New returns a Gateway that listens on its addresses; it serves them once Run is called. The
// error is marked settings.ErrInvalid if the settings are invalid.
func New(s Settings, options ...Option) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: s, log: zerolog.Nop(), core: newCore(s), droppedLines: func() map[string]uint64 { return nil },
		client:  platform.NewClient(s.Store, platform.WithTimeout(storeTimeout)),
		peers:   newPeerTable(s.Peer),
		held:    held.NewBudget(float64(s.Memory)),
		listing: route.NewListing(s.Heartbeat.Or(defaultHeartbeat)),
		lengths: durationTracker{routes: map[string]routeDurations{}}, cancelSends: func() {},
		numberings:     numberingTracker{services: map[string]numberingHistory{}},
		decodedTargets: map[string]decodedTarget{},
		boot:           uint64(time.Now().UnixMilli()),
	}
	g.origins = newOriginTable(g)
	g.pool = link.NewPool(nil, link.WithDialTimeout(func() time.Duration { return g.core.timeoutWithLag(dialTimeout) }))
	for _, option := range options {
		option(g)
	}
	g.log = g.log.With().Str("host", s.Name).Logger()
	g.record = newRecorder(g.log, newMetrics(), g.core.times)
	g.connections = held.NewConnections(float64(s.Memory), g.record.connectionEvicted)
	g.limits.Store(newLimits(&s))
	g.targetEndpoints.Store(&map[string]endpoint{})
	g.server = g.newCallerServer()
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.record.metrics.registry.MustRegister(newStateCollector(g))
	return g, nil
}

// listen opens the listeners for callers, readiness checks and metrics, and the sockets for
// messages and queries of other hosts.
func (g *Gateway) listen() error {
	for _, address := range []netip.AddrPort{g.settings.Listen, g.settings.Ready, g.settings.Metrics} {
		if !address.IsValid() {
			continue
		}
		l, err := listenConfig.Listen(context.Background(), "tcp", address.String())
		if err != nil {
			return errors.Wrapf(err, "listen at %s", address)
		}
		tracker := newCallerTracker(g.callerIdleTimeout)
		listener := newCallerListener(l.(*net.TCPListener), tracker)
		listener.onDescriptors = g.record.acceptResult
		if address == g.settings.Listen {
			raw, err := l.(*net.TCPListener).SyscallConn()
			if err != nil {
				return errors.Wrapf(err, "listen at %s", address)
			}
			listener.shed = newShedder(g, raw).next
			g.callers, tracker.onCrossed = tracker, g.record.requestCrossed
		}
		g.listeners = append(g.listeners, listener)
	}
	socket, err := mesh.NewSocket(g.settings.Peer, mesh.Events{
		HostStateReceived: g.receiveHostState,
		MessageReceived:   g.handleMessage,
		DatagramHandled:   func(began time.Time) { g.record.times.addSince(activityHostState, began) },
		Rejected:          func(_ netip.AddrPort, err error) { g.record.peerFailed(err) },
	})
	if err != nil {
		return err
	}
	g.mesh = socket
	g.core.self, g.core.post = hostNumber(g.settings.Peer), g.post
	g.core.lastNumber = g.boot << sequenceBits
	g.core.board.SetHeartbeat(g.settings.Heartbeat.Or(defaultHeartbeat))
	g.core.board.SetRegions(g.settings.Regions)
	g.core.board.SetHosts(placement.Host{ID: g.core.self, Place: g.settings.Place}, nil)
	g.responder, err = mesh.NewResponder(g.settings.Peer, g.reply)
	return err
}

// callerIdleTimeout returns how long a caller's connection may stay idle. It is longer while
// the configuration is old, since a longer timeout may have been set that this host has not
// read yet.
func (g *Gateway) callerIdleTimeout() time.Duration {
	if table := g.core.table.Load(); table != nil && table.IdleTimeout > 0 {
		return min(table.IdleTimeout, maxIdle) + max(0, min(g.core.configAge(), maxUnnoticed))
	}
	return idleTimeout
}

// Run serves until the context ends or a listener fails. When the context ends, it finishes
// the requests in flight within the grace period and tells the other hosts that it is gone.
func (g *Gateway) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.ctx, g.cancelSends = context.WithCancel(inner)
	defer g.cancelSends()
	for _, seed := range g.settings.Seeds {
		g.peers.add(netip.AddrPortFrom(seed.Addr(), g.settings.Peer.Port()), time.Now())
	}
	w := &watcher{gateway: g, client: g.client}
	stateCtx, stopStates := context.WithCancel(inner)
	defer stopStates()
	statesDone := runLoop(stateCtx, g.sendHostState)
	loops := []<-chan struct{}{
		g.mesh.Run(inner), g.responder.Run(inner), runLoop(inner, g.queryPeers),
		runLoop(inner, w.pollConfig), runLoop(inner, w.pollTargets), runLoop(inner, w.pollHosts), runLoop(inner, newSavedTraits(g).sync),
		runLoop(inner, g.origins.sync), runLoop(inner, (&originSweep{gateway: g}).sweep),
		statesDone, runLoop(inner, g.sendLeaseLists), runLoop(inner, g.tick), runLoop(inner, g.cancelGoneCallers), runLoop(inner, g.logUsage), g.pool.Run(inner),
	}
	served := make(chan error, len(g.listeners))
	g.startServers(served)
	g.record.process(eventStart, &g.settings)
	var err error
	select {
	case <-ctx.Done():
		g.stop()
		stopStates()
		g.sendFinalState(statesDone)
	case err = <-served:
	}
	cancel()
	g.client.Close()
	unfinished := countUnfinished(loops, stopMargin(g.limits.Load().grace)/loopEndDivisor)
	g.record.stopped(&g.settings, g.timeSinceStop(), unfinished)
	return err
}

// newCallerServer returns the HTTP server for callers.
func (g *Gateway) newCallerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: g.handle, ErrorHandler: g.handleMalformed,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, Logger: serverLogger{recorder: g.record},
		ReadBufferSize: maxHeadBytes, MaxRequestBodySize: maxBodyBytes, HeaderReceived: g.headReceived, ExpectHandler: g.checkExpected,
		StreamRequestBody: true, DisablePreParseMultipartForm: true, ConnState: g.connections.Track,
	}
}

// startServers starts an HTTP server on each listener and sends their errors to served.
func (g *Gateway) startServers(served chan<- error) {
	handlers := []fasthttp.RequestHandler{g.handle, g.handleReady, g.metricsHandler()}
	for i, l := range g.listeners {
		server := g.server
		if i > 0 {
			server = &fasthttp.Server{Handler: handlers[i], NoDefaultServerHeader: true}
		}
		go func() { served <- server.Serve(l) }()
	}
}

// handleReady answers the readiness checks of the load balancer: 200 if the host takes new
// connections, 503 if it does not.
func (g *Gateway) handleReady(ctx *fasthttp.RequestCtx) {
	ready := !g.stopping() && g.core.table.Load() != nil && !g.core.outOfRotation()
	if !ready || string(ctx.Path()) != platform.PathReady {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// metricsHandler returns the handler that serves the metrics.
func (g *Gateway) metricsHandler() fasthttp.RequestHandler {
	handler := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(g.record.metrics.registry, promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != pathMetrics {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		handler(ctx)
	}
}

// applyConfig puts a configuration in force unless its version is not newer than the present
// one. value is its encoding, which is passed on to other hosts.
func (g *Gateway) applyConfig(table *route.Table, value []byte) {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	current := g.core.table.Load()
	if current != nil && table.Version <= current.Version {
		return
	}
	g.core.board.Configure(table)
	g.core.table.Store(table)
	if current != nil {
		g.core.configIsNew()
	}
	g.storeCache.setConfig(value)
	g.record.configApplied(table)
}

// tick updates what depends on time alone, and returns the time until the next tick.
func (g *Gateway) tick() time.Duration {
	g.stalls.beat(sinceBoot())
	now, period := nowAfterYield(), tickInterval
	if g.inFlight.Load() == 0 {
		period = idleTickInterval
	}
	if g.core.electionDue(now) {
		g.core.updateOwners(now, g.peers.owners())
	}
	changed, receivedUntil := g.core.tick(now, period)
	if changed {
		g.record.overloadChanged(g.core.overloadState())
	}
	g.updateRotation(now)
	g.reportAnswers()
	for _, change := range g.core.takeColdChanges() {
		g.record.targetCold(now, change)
	}
	for _, change := range g.core.takeSpeedChanges() {
		g.record.targetSpeed(change)
	}
	for _, address := range g.peers.expireSilent(receivedUntil) {
		g.record.peerChanged(address, "", false)
	}
	return period
}

// cancelGoneCallers cancels the requests of callers that left, and returns the time until the
// next check.
func (g *Gateway) cancelGoneCallers() time.Duration {
	for _, x := range g.core.activeExchanges() {
		if !x.recentlyWritten() && link.ClosedByPeer(x.caller) {
			x.cancel()
		}
	}
	return sweepInterval
}

// serverLogger is the logger of the HTTP server for callers. It drops the server's messages on
// connections that callers closed and records panics in streamed bodies.
type serverLogger struct{ recorder *recorder }

// Printf implements fasthttp.Logger.
func (q serverLogger) Printf(_ string, details ...any) {
	for _, detail := range details {
		if err, ok := detail.(*fasthttp.ErrBodyStreamWritePanic); ok {
			q.recorder.panicked("", err, nil)
		}
	}
}
