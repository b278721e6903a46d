package gateway

import (
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/quarantine"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/route"
)

const (
	maxDenialAge       = 1800 * time.Millisecond // age of the configuration up to which an unknown route or key is denied
	staleRetryAfter    = 500 * time.Millisecond  // Retry-After when the configuration is stale or no target can be reached
	rejectedRetryAfter = 100 * time.Millisecond  // Retry-After when targets rejected the request or this host stops
	minRemaining       = 5 * time.Millisecond    // of the caller's time; with less, no step is begun
)

// exchange holds the state of one request of a caller, from its arrival until its answer is
// complete or given up.
type exchange struct {
	gateway *Gateway
	id      uint64
	call    platform.Call
	route   *route.Route
	service string
	team    string // empty without a key
	version uint64 // version of the configuration at arrival
	ask     placement.Request
	arrived time.Time
	limit   time.Time // earlier of the caller's deadline and the route's timeout
	caller  net.Conn
	request *fasthttp.Request // without its body
	body    *held.Incoming
	traits  []quarantine.Trait    // what may make targets crash: the parts of the prompt and the request as a whole
	grants  chan placement.Choice // receives the target once a queued request gets a slot; holds at most one

	history        retry.History // results of the sends that brought no answer
	sends          int           // number of sends that wrote at least one byte, for the log
	hedge          *attempt      // attempt at another target while the first one is silent
	takeover       *attempt      // hedged attempt that took over from a silent target and is not continued yet
	chooseBefore   time.Duration // time since boot until which a target may be chosen without queueing; 0 without a limit
	waited         time.Duration // total time spent choosing a target on this host
	target         string        // last target
	targetVersion  string        // its software version, as its entry said when the request was sent
	slotOwner      string        // address of the host that granted the last slot, empty for this host
	choice         placement.Choice
	chosenAt       time.Duration      // earliest time since boot at which the last target may have been chosen
	probes         []quarantine.Trait // held traits that the current attempt probes
	heldTrait      quarantine.Trait   // trait that it was refused for, 0 if it was not
	answered       bool               // a target began to answer; guarded by the lock of the core
	released       bool               // its answer showed that a held trait is sound
	heldEvents     *held.Answer       // holds the bytes of a stream that are not a whole event yet; nil before the first stream
	streamBegun    bool               // the caller may have received a part of a stream
	takeUp         string             // how the version is known at which a stream goes on that the caller takes up, empty for a new one
	framed         bool               // the last answer had a length or chunks, so that its end could be told from a broken connection
	lastEvent      string             // ID of the last event that the caller has
	expectedEvents uint64             // events in an answer of the longest length that the request allows, 0 if unknown
	gapCount       int                // gaps between the events of the current attempt
	gapTotal       time.Duration      // sum of these gaps

	streaming   atomic.Bool   // the server is writing an event stream to the caller
	lastWrite   atomic.Int64  // when the caller last took an event, in ns since arrival, 0 before the first
	abortSignal chan struct{} // closed when the exchange is aborted before its answer is complete
	abortReason string        // set before abortSignal is closed

	mu      sync.Mutex
	conns   []*link.Conn // connections to targets that have the request
	aborted bool         // abort was called
}

// admittedRequest is a request that was admitted for a route and a team.
type admittedRequest struct {
	call  platform.Call
	route *route.Route
	team  string
	body  *held.Incoming
}

// newExchange returns the exchange of an admitted request. It copies the head of the request, as the
// server reuses the one in ctx.
func newExchange(g *Gateway, ctx *fasthttp.RequestCtx, a admittedRequest) *exchange {
	call, r := a.call, a.route
	x := &exchange{
		gateway: g, call: call, route: r, team: a.team, arrived: time.Now(), caller: ctx.Conn(),
		grants: make(chan placement.Choice, 1), abortSignal: make(chan struct{}), request: &fasthttp.Request{},
		body: a.body, lastEvent: call.LastEvent,
	}
	x.service = pickService(r, &call)
	x.expectedEvents = g.core.expectedEvents(x.service, call.MaxOutput)
	x.limit = x.arrived.Add(r.TimeLimit(call.Deadline))
	x.ask = placement.Request{
		Service: x.service, Team: a.team, MaxOutput: call.MaxOutput, Seed: xxhash.Sum64String(call.ID), LatencyGoal: r.TargetLatency, AnswerTimeLimit: r.TimeLimit(call.Deadline),
		Chain: placement.NewPrefixChain(placementParts(call.Parts), call.PromptTokens),
	}
	if table := g.core.table.Load(); table != nil {
		x.version = table.Version
		x.ask.Priority, x.ask.Regions = table.Priority(r, a.team), table.AllowedRegions(r, a.team)
	}
	ctx.Request.Header.CopyTo(&x.request.Header)
	x.traits = requestTraits(a.team, x.request.Header.RequestURI(), a.body.Chunks(), &x.call)
	return x
}

// expectedEvents returns the number of events in an answer of a number of tokens, 0 if it is
// unknown.
func (c *core) expectedEvents(service string, tokens int) uint64 {
	table := c.table.Load()
	if table == nil || tokens <= 0 {
		return 0
	}
	s := table.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	stride := max(1, s.Engine.TokensPerEvent)
	return uint64((tokens + stride - 1) / stride)
}

// hasAllEvents returns whether the caller has as many events as the request allows. What is
// missing then is only the end of the stream, which no other target can supply.
func (x *exchange) hasAllEvents() bool {
	if x.expectedEvents == 0 {
		return false
	}
	return eventNumber(x.lastEvent) >= x.expectedEvents
}

// eventNumber returns the number in an event ID, 0 if the ID is not a number.
func eventNumber(event string) uint64 {
	number, err := strconv.ParseUint(event, 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// eventsPassed returns the number of events that were passed on to the caller.
func (x *exchange) eventsPassed() uint64 {
	first, last := eventNumber(x.call.LastEvent), eventNumber(x.lastEvent)
	return last - min(first, last)
}

// eventsLeft returns the number of events that the caller may still get, 0 if it is unknown.
func (x *exchange) eventsLeft() uint64 { return eventsAfter(x.lastEvent, x.expectedEvents) }

// eventsAfter returns the number of events after the last one that a caller has, out of the total
// that its request allows. It is at least 1, for the end of the stream, unless the total is 0.
func eventsAfter(last string, events uint64) uint64 {
	if passed := eventNumber(last); passed < events {
		return events - passed
	}
	return min(1, events)
}

// pickService returns the service that a request of a route goes to. A request that is sent
// again under the same ID goes to the same service, and one that takes a stream up to that of the stream.
func pickService(r *route.Route, call *platform.Call) string {
	if isTakeUp(call) && call.Origin != "" {
		return r.Pick(xxhash.Sum64String(call.Origin))
	}
	return r.Pick(xxhash.Sum64String(call.ID))
}

// placementParts converts the parts of a prompt to the type of package placement.
func placementParts(list []platform.Part) []placement.Part {
	out := make([]placement.Part, 0, len(list))
	for _, p := range list {
		out = append(out, placement.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return out
}

// recentlyWritten returns whether the caller took an event so recently that the next write will
// soon tell if it disconnected.
func (x *exchange) recentlyWritten() bool {
	passed := x.lastWrite.Load()
	return passed > 0 && time.Since(x.arrived)-time.Duration(passed) < recentEventAge
}

// cancel aborts the exchange because the caller disconnected.
func (x *exchange) cancel() { x.abort(reasonCallerGone) }

// abort ends the exchange for a reason and closes its connections to targets, which cancels the
// work there. Only the first call has an effect.
func (x *exchange) abort(why string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aborted {
		return
	}
	x.aborted, x.abortReason = true, why
	close(x.abortSignal)
	for _, l := range x.conns {
		l.Close()
	}
}

// isUnserved returns whether no target has the request and the caller received nothing yet.
func (x *exchange) isUnserved() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.conns) == 0 && x.lastWrite.Load() == 0
}

// trackConn registers a connection that abort has to close. It returns false if the exchange was
// aborted before.
func (x *exchange) trackConn(l *link.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = append(x.conns, l)
	return !x.aborted
}

// untrackConn removes a connection from those that abort closes.
func (x *exchange) untrackConn(l *link.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns = slices.DeleteFunc(x.conns, func(used *link.Conn) bool { return used == l })
}

// isAborted returns whether the caller disconnected or the exchange was ended for another reason.
func (x *exchange) isAborted() bool {
	select {
	case <-x.abortSignal:
		return true
	default:
		return false
	}
}

// abortProblem returns the answer to an exchange that was aborted.
func (x *exchange) abortProblem() *problem {
	switch {
	case x.abortReason == reasonPoison:
		return x.heldProblem()
	case x.abortReason != reasonStopping:
		return failure(statusCallerGone, x.abortReason)
	case x.history.MayHaveRun || x.hedge != nil || x.takeover != nil:
		return failure(fasthttp.StatusGatewayTimeout, x.abortReason)
	}
	return notRun(x.abortReason, rejectedRetryAfter)
}

// heldProblem returns the answer to an exchange that was aborted because one of its traits was held.
func (x *exchange) heldProblem() *problem {
	if p := x.refuseHeld(x.gateway.core.checkTraits(x.traits)); p != nil {
		return p
	}
	return x.refusalOrFailure(notRun(reasonPoison, rejectedRetryAfter)) // it is not held any more
}

// remaining returns the time until the deadline of the exchange.
func (x *exchange) remaining() time.Duration { return time.Until(x.limit) }

// checkSend returns a problem if the request may not be sent to a target now.
func (x *exchange) checkSend() *problem {
	g := x.gateway
	if time.Since(x.arrived) > sweepInterval && link.ClosedByPeer(x.caller) {
		x.cancel()
	}
	switch {
	case x.isAborted():
		return x.abortProblem()
	case x.remaining() < minRemaining:
		return x.timeoutProblem()
	case !x.streamBegun && g.admittedOutlastsStop(x.route, x.eventsLeft(), x.remaining()):
		return x.refusalOrFailure(notRun(reasonStopping, rejectedRetryAfter))
	case x.team != "" && g.core.configAge() > g.limits.Load().keyAge:
		return x.refusalOrFailure(notRun(reasonStale, staleRetryAfter))
	}
	return x.refuseHeld(g.core.checkTraits(x.traits))
}

// refuseHeld returns the answer to an exchange that is kept from targets because of a trait, or nil without a
// problem.
func (x *exchange) refuseHeld(p *problem) *problem {
	if p == nil {
		return nil
	}
	x.heldTrait = p.trait
	return x.refusalOrFailure(p)
}

// refusalOrFailure returns the given refusal, or a failure with its reason if a target may have
// run the request.
func (x *exchange) refusalOrFailure(p *problem) *problem {
	if x.history.MayHaveRun {
		return failure(fasthttp.StatusBadGateway, p.reason)
	}
	return p
}

// timeoutProblem returns the answer for an exchange whose deadline passed.
func (x *exchange) timeoutProblem() *problem {
	if x.history.MayHaveRun {
		return failure(fasthttp.StatusGatewayTimeout, reasonTimeout)
	}
	return notRun(reasonTimeout, 0)
}

// chooseTarget chooses a target for the request. It waits for a slot if one may come free in time.
func (x *exchange) chooseTarget() (placement.Choice, *problem) {
	began := time.Now()
	defer func() { x.waited += time.Since(began) }()
	x.ask.ResetReferrals()
	x.slotOwner = ""
	var last placement.Choice
	for {
		x.ask.Elapsed = time.Since(x.arrived)
		s := x.gateway.core.nextStep(x)
		if s.exhausted {
			return last, x.refusalOrFailure(unplaced(last))
		}
		choice, p := x.awaitStep(s)
		if p != nil || choice.Target != "" {
			return choice, p
		}
		x.ask.PreferredQueue = max(x.ask.PreferredQueue, choice.QueueTime)
		if last = choice; s.final || x.chooseBefore > 0 && sinceBoot() > x.chooseBefore {
			return last, x.refusalOrFailure(unplaced(last))
		}
	}
}

// awaitStep waits for the outcome of one step of the choice: the answer of a slot owner, or a
// grant from the queue of this host.
func (x *exchange) awaitStep(s placementStep) (placement.Choice, *problem) {
	if s.lease != nil {
		return x.awaitOwner(s.lease)
	}
	if s.choice.Target != "" || !s.queued {
		return s.choice, nil
	}
	timer := time.NewTimer(x.remaining())
	defer timer.Stop()
	select {
	case choice := <-x.grants:
		return choice, nil
	case <-x.abortSignal:
		x.gateway.core.cancelWait(x)
		return s.choice, x.abortProblem()
	case <-timer.C:
		x.gateway.core.cancelWait(x)
		return s.choice, x.timeoutProblem()
	}
}

// awaitOwner waits for the answer of the host that owns a slot. An answer that comes after the
// time limit is ignored, also if it is late only because this host was suspended.
func (x *exchange) awaitOwner(l *lease) (placement.Choice, *problem) {
	core := x.gateway.core
	limit := core.timeoutWithLag(ownerTimeout)
	until := sinceBoot() + limit
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case a := <-l.answers:
			switch {
			case sinceBoot() > until:
				return x.decideWithoutOwner(l)
			case !a.queued:
				x.ask.Alternative = a.hint
				if a.choice.Target != "" {
					x.slotOwner, x.chosenAt = hostAddress(l.host).String(), a.grantedAt
				}
				return a.choice, nil
			}
			limit += core.maxWait(x)
			until = sinceBoot() + limit
			timer.Reset(limit)
		case <-x.abortSignal:
			core.abandonLease(l)
			return placement.Choice{}, x.abortProblem()
		case <-timer.C:
			return x.decideWithoutOwner(l)
		}
	}
}

// decideWithoutOwner goes on with the choice on this host after a slot owner did not answer.
func (x *exchange) decideWithoutOwner(l *lease) (placement.Choice, *problem) {
	x.gateway.record.ownerSilent(x, l.host)
	return x.awaitStep(x.gateway.core.ownerTimedOut(x, l))
}
