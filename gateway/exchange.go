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

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/route"
)

const (
	deniableAge   = 1800 * time.Millisecond
	staleRetry    = 500 * time.Millisecond
	rejectedRetry = 100 * time.Millisecond
	poisonRetry   = 5 * time.Second
	leastLeft     = 5 * time.Millisecond // of the caller's time, to begin anything
)

// exchange is one request of a caller, from its arrival to its end.
type exchange struct {
	gateway *Gateway
	id      uint64
	call    platform.Call
	route   *route.Route
	service string
	team    string // empty without a key
	version uint64 // of the configuration when it arrived
	ask     placement.Ask
	arrived time.Time
	limit   time.Time // the caller or the operator waits no longer
	caller  net.Conn
	request *fasthttp.Request
	digest  uint64
	grants  chan placement.Choice // at most one at a time

	history   retry.History // of the sends that brought no answer
	sends     int           // all sends, for the log
	beside    *attempt      // at another target, while one is silent
	relief    *attempt      // took over from one that was silent, until it is gone on with
	hurry     time.Duration // awake time until which a place is looked for, without a wait for one; 0 without a limit
	waited    time.Duration // here, for a target
	target    string        // last target
	owner     string        // address of the host that gave the last slot, empty for this one
	choice    placement.Choice
	begun     bool          // a part of a stream is passed on
	lastEvent string        // last event that was passed on
	events    uint64        // in an answer as long as the request allows, 0 if that is not known
	pauses    int           // between the events of the present send
	paused    time.Duration // their sum

	streams atomic.Bool   // the server writes its events to the caller
	passed  atomic.Int64  // when the caller last took an event, in ns since it arrived, 0 before
	gone    chan struct{} // closed when it is ended before its answer is complete
	why     string        // the reason of that, set before

	mu       sync.Mutex
	lines    []*link.Line // to targets that have the request
	canceled bool
}

func newExchange(g *Gateway, ctx *fasthttp.RequestCtx, call platform.Call, r *route.Route, team string) *exchange {
	x := &exchange{
		gateway: g, call: call, route: r, team: team, arrived: time.Now(), caller: ctx.Conn(),
		grants: make(chan placement.Choice, 1), gone: make(chan struct{}), request: &fasthttp.Request{},
		lastEvent: call.LastEvent,
	}
	if table := g.core.view.Load(); table != nil {
		x.version = table.Version
	}
	x.service = serviceOf(r, &call)
	x.events = g.core.eventsOf(x.service, call.MaxOutput)
	x.limit = x.arrived.Add(r.Wait(call.Deadline))
	x.ask = placement.Ask{
		Service: x.service, Team: team, Output: call.MaxOutput, Seed: xxhash.Sum64String(call.ID), Aim: r.Aim, Time: r.Wait(call.Deadline),
		Chain: placement.NewChain(parts(call.Parts), call.PromptTokens),
	}
	ctx.Request.CopyTo(x.request)
	x.digest = digest(x)
	return x
}

// eventsOf returns the events of an answer of so many tokens, 0 if that is not known.
func (c *core) eventsOf(service string, tokens int) uint64 {
	table := c.view.Load()
	if table == nil || tokens <= 0 {
		return 0
	}
	s := table.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	stride := max(1, s.Engine.Stride)
	return uint64((tokens + stride - 1) / stride)
}

// hasAll returns whether the caller has as many events as the request allows: what is missing is the
// end of the answer, which no other target can add.
func (x *exchange) hasAll() bool {
	if x.events == 0 {
		return false
	}
	return numberOf(x.lastEvent) >= x.events
}

// numberOf returns the number of an event, 0 if it has none.
func numberOf(event string) uint64 {
	number, err := strconv.ParseUint(event, 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// eventsPassed returns the events that the caller got.
func (x *exchange) eventsPassed() uint64 {
	first, last := numberOf(x.call.LastEvent), numberOf(x.lastEvent)
	return last - min(first, last)
}

// eventsLeft returns the events that the caller may still get, 0 if that is not known.
func (x *exchange) eventsLeft() uint64 { return eventsAfter(x.lastEvent, x.events) }

// eventsAfter returns the events after the last one that a caller got, of a number that its request allows.
func eventsAfter(last string, events uint64) uint64 {
	if passed := numberOf(last); passed < events {
		return events - passed
	}
	return min(1, events)
}

// serviceOf returns the service that a request of a route goes to.
func serviceOf(r *route.Route, call *platform.Call) string {
	return r.Pick(xxhash.Sum64String(call.ID))
}

func parts(list []platform.Part) []placement.Part {
	out := make([]placement.Part, 0, len(list))
	for _, p := range list {
		out = append(out, placement.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return out
}

// digest names the team, the path and the body, which a caller that sends the
// request again keeps.
func digest(x *exchange) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(x.team) // never fails
	_, _ = d.Write(x.request.Header.RequestURI())
	_, _ = d.Write(x.request.Body())
	return d.Sum64()
}

// watched returns whether writes tell soon enough that the caller left: one that took an
// event of late is written to again before long.
func (x *exchange) watched() bool {
	passed := x.passed.Load()
	return passed > 0 && time.Since(x.arrived)-time.Duration(passed) < watchedAge
}

// cancel ends the work for a caller that left.
func (x *exchange) cancel() { x.abort(reasonCallerGone) }

// abort ends the work for a reason. An answer that is not complete ends with it.
func (x *exchange) abort(why string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return
	}
	x.canceled, x.why = true, why
	close(x.gone)
	for _, l := range x.lines {
		l.Close()
	}
}

// waits returns whether no target has the request and the caller got nothing yet.
func (x *exchange) waits() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.lines) == 0 && x.passed.Load() == 0
}

// use makes a line one of those that abort ends. It returns false if that was before.
func (x *exchange) use(l *link.Line) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lines = append(x.lines, l)
	return !x.canceled
}

// drop takes a line from those that abort ends.
func (x *exchange) drop(l *link.Line) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lines = slices.DeleteFunc(x.lines, func(used *link.Line) bool { return used == l })
}

// left returns whether the caller left, or the work was ended for another reason.
func (x *exchange) left() bool {
	select {
	case <-x.gone:
		return true
	default:
		return false
	}
}

// aborted returns the answer to an exchange that was ended.
func (x *exchange) aborted() *problem {
	switch {
	case x.why != reasonStopping:
		return failure(statusGone, x.why)
	case x.history.MayHave || x.beside != nil || x.relief != nil:
		return failure(fasthttp.StatusGatewayTimeout, x.why)
	}
	return notRun(x.why, rejectedRetry)
}

// remaining returns the time that is left to answer.
func (x *exchange) remaining() time.Duration { return time.Until(x.limit) }

// checkSend returns a problem if the request may not go to a target now.
func (x *exchange) checkSend() *problem {
	g := x.gateway
	if time.Since(x.arrived) > sweepEvery && link.Gone(x.caller) {
		x.cancel()
	}
	switch {
	case x.left():
		return x.aborted()
	case x.remaining() < leastLeft:
		return x.timeout()
	case !x.begun && g.outlastsInHand(x.route, x.eventsLeft(), x.remaining()):
		return x.refuse(notRun(reasonStopping, rejectedRetry))
	case x.team != "" && g.core.age() > g.limits.Load().keyAge:
		return x.refuse(notRun(reasonStale, staleRetry))
	case g.core.crashes(x.digest) >= poisonous:
		return x.refuse(notRun(reasonPoison, poisonRetry))
	}
	return nil
}

// refuse returns a refusal, or a failure if a target may have run the request.
func (x *exchange) refuse(p *problem) *problem {
	if x.history.MayHave {
		return failure(fasthttp.StatusBadGateway, p.reason)
	}
	return p
}

// timeout returns the answer when the time is over.
func (x *exchange) timeout() *problem {
	if x.history.MayHave {
		return failure(fasthttp.StatusGatewayTimeout, reasonTimeout)
	}
	return notRun(reasonTimeout, 0)
}

// place gets a target for the request. It waits for one if that may help in time.
func (x *exchange) place() (placement.Choice, *problem) {
	began := time.Now()
	defer func() { x.waited += time.Since(began) }()
	x.ask.Restart()
	x.owner = ""
	var last placement.Choice
	for {
		x.ask.Elapsed = time.Since(x.arrived)
		s := x.gateway.core.next(x)
		if s.over {
			return last, x.refuse(notRun(string(last.Reason), last.After))
		}
		choice, p := x.follow(s)
		if p != nil || choice.Target != "" {
			return choice, p
		}
		x.ask.Ahead = max(x.ask.Ahead, choice.Waiting)
		if last = choice; s.last || x.hurry > 0 && awake() > x.hurry {
			return last, x.refuse(notRun(string(last.Reason), last.After))
		}
	}
}

// follow waits for the outcome of a step.
func (x *exchange) follow(s step) (placement.Choice, *problem) {
	if s.lease != nil {
		return x.await(s.lease)
	}
	if s.choice.Target != "" || !s.waits {
		return s.choice, nil
	}
	timer := time.NewTimer(x.remaining())
	defer timer.Stop()
	select {
	case choice := <-x.grants:
		return choice, nil
	case <-x.gone:
		x.gateway.core.withdraw(x)
		return s.choice, x.aborted()
	case <-timer.C:
		x.gateway.core.withdraw(x)
		return s.choice, x.timeout()
	}
}

// await waits for the answer of an owner. An answer that comes after the time that it may
// take counts for nothing, also if this host stood still meanwhile.
func (x *exchange) await(l *lease) (placement.Choice, *problem) {
	core := x.gateway.core
	limit := core.allow(ownerTimeout)
	until := awake() + limit
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case a := <-l.answers:
			switch {
			case awake() > until:
				return x.replaceOwner(l)
			case !a.queued:
				x.ask.Hint = a.hint
				if a.choice.Target != "" {
					x.owner = hostAddress(l.host).String()
				}
				return a.choice, nil
			}
			limit += core.patience(x)
			until = awake() + limit
			timer.Reset(limit)
		case <-x.gone:
			core.abandon(l)
			return placement.Choice{}, x.aborted()
		case <-timer.C:
			return x.replaceOwner(l)
		}
	}
}

// replaceOwner decides in place of an owner that did not answer.
func (x *exchange) replaceOwner(l *lease) (placement.Choice, *problem) {
	x.gateway.record.silent(x, l.host)
	return x.follow(x.gateway.core.silent(x, l))
}
