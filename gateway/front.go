package gateway

import (
	"bytes"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
)

// handle answers one request of a caller.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	body, ok := g.receive(ctx)
	if !ok {
		return
	}
	began := time.Now()
	g.inFlight.Add(1)
	g.servedSinceUsage.Add(1)
	if g.stopping() {
		ctx.SetConnectionClose()
	}
	call := platform.DecodeCall(&ctx.Request.Header)
	var x *exchange
	defer func() {
		if fault := recover(); fault != nil {
			body.Release()
			g.handlePanic(ctx, &call, x, fault)
		}
	}()
	r, team, p := g.admit(&ctx.Request.Header, body.Chunks(), &call)
	if p != nil {
		body.Release()
		g.record.times.addSince(activityAdmit, began)
		g.writeRefusal(ctx, &call, team, p)
		g.inFlight.Add(-1)
		return
	}
	x = newExchange(g, ctx, admittedRequest{call: call, route: r, team: team, body: body})
	g.core.register(x)
	g.record.times.addSince(activityAdmit, began)
	if r.Kind == route.Stream {
		g.serveStream(ctx, x)
		return
	}
	g.servePlain(ctx, x)
	g.endExchange(x)
}

// handlePanic answers a request whose handler panicked, so that other requests are not affected.
func (g *Gateway) handlePanic(ctx *fasthttp.RequestCtx, call *platform.Call, x *exchange, fault any) {
	g.record.panicked(call.ID, fault, debug.Stack())
	failure(fasthttp.StatusBadGateway, reasonInternalFault).write(&ctx.Response, call.ID)
	ctx.SetConnectionClose()
	if x == nil {
		g.inFlight.Add(-1)
		return
	}
	x.cancel()
	g.endExchange(x)
}

// endExchange releases what the gateway holds for an exchange whose answer is complete or given up.
func (g *Gateway) endExchange(x *exchange) {
	x.cancelHedges()
	x.releaseEvents()
	x.body.Release()
	g.core.unregister(x)
	g.inFlight.Add(-1)
}

// admit returns the route and the team of a request, or a problem if the request may not run, the
// team is over its quota or this host is overloaded.
func (g *Gateway) admit(head *fasthttp.RequestHeader, body held.Chunks, call *platform.Call) (*route.Route, string, *problem) {
	table := g.core.table.Load()
	age := g.core.configAge() // after the table: the first one comes with its age
	r, team, p := g.identify(head, call, table, age)
	if p == nil {
		a := newArrival(r, call, team)
		if g.core.heldTraits.Load() > 0 {
			a.traits = requestTraits(team, head.RequestURI(), body, call)
		}
		p = g.core.admit(time.Now(), a)
	}
	if p != nil {
		p.age = age
	}
	return r, team, p
}

// identify finds the route and the team of a request in a configuration, nil if there is none, whose age is
// given.
func (g *Gateway) identify(head *fasthttp.RequestHeader, call *platform.Call, table *route.Table, age time.Duration) (*route.Route, string, *problem) {
	if table == nil {
		return nil, "", notRun(reasonNoConfig, staleRetryAfter)
	}
	path, _, _ := bytes.Cut(head.RequestURI(), []byte("?"))
	r := table.Match(string(head.Host()), string(path))
	switch {
	case r == nil:
		return nil, "", g.deny(fasthttp.StatusNotFound, reasonNoRoute, age)
	case g.outlastsStop(r, eventsAfter(call.LastEvent, g.core.expectedEvents(pickService(r, call), call.MaxOutput)), r.TimeLimit(call.Deadline)):
		return nil, "", notRun(reasonStopping, rejectedRetryAfter)
	case r.Public || !table.RequiresKeys():
		return r, "", nil
	case age > g.limits.Load().keyAge:
		return nil, "", notRun(reasonStale, staleRetryAfter)
	}
	team, ok := table.Team(call.Key)
	if !ok {
		return nil, "", g.deny(fasthttp.StatusUnauthorized, reasonNoKey, age)
	}
	return r, team, nil
}

// deny returns the answer to a request that the configuration does not allow. If the configuration
// is so old that a newer one may exist, or the store may have lost a newer one, the answer is a refusal that invites a
// retry instead.
func (g *Gateway) deny(status int, reason string, age time.Duration) *problem {
	if age > maxDenialAge || g.core.configMayBeLost() {
		return notRun(reasonStale, staleRetryAfter)
	}
	return failure(status, reason)
}

// writeRefusal answers a request that was refused before it had an exchange.
func (g *Gateway) writeRefusal(ctx *fasthttp.RequestCtx, call *platform.Call, team string, p *problem) {
	p.write(&ctx.Response, call.ID)
	g.record.refused(ctx.RemoteAddr(), &ctx.Request.Header, call, team, p)
}

// handleMalformed answers a request that could not be read as HTTP in time and size.
func (g *Gateway) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	p := failure(fasthttp.StatusBadRequest, reasonMalformed)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, held.ErrBodyTooLarge):
		p = failure(fasthttp.StatusRequestEntityTooLarge, reasonTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		p = failure(fasthttp.StatusRequestTimeout, reasonSlow)
	}
	p.write(&ctx.Response, "")
	ctx.SetConnectionClose()
	g.record.malformedRequest(p.reason, err)
}

// servePlain answers a request whose answer is passed on as a whole.
func (g *Gateway) servePlain(ctx *fasthttp.RequestCtx, x *exchange) {
	a, p := x.wholeAnswer()
	if p != nil {
		g.writeProblem(ctx, x, p)
		return
	}
	platform.CopyAnswer(&ctx.Response.Header, &a.response.Header)
	a.passOn(&ctx.Response)
	if g.stopping() {
		ctx.SetConnectionClose()
	}
	took := time.Since(x.arrived)
	g.lengths.observe(x.route.Name, took, took, 0)
	g.record.answered(x, a.response.StatusCode(), "", 0)
}

// writeProblem answers a request that has an exchange with a problem, and logs it.
func (g *Gateway) writeProblem(ctx *fasthttp.RequestCtx, x *exchange, p *problem) {
	p.write(&ctx.Response, x.call.ID)
	if p.status == statusCallerGone {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.SetConnectionClose()
	}
	if g.stopping() {
		ctx.SetConnectionClose()
	}
	g.record.answered(x, p.status, p.reason, p.retryAfter)
}

// wholeAnswer sends the request until a target gives an answer that can be read completely.
func (x *exchange) wholeAnswer() (*attempt, *problem) {
	for {
		a, p := x.sendUntilAnswered()
		if p != nil || a.finished {
			return a, p
		}
		err := a.readWhole()
		if err == nil {
			return a, nil
		}
		if p := x.handleFailure(a, err); p != nil {
			return nil, p
		}
	}
}
