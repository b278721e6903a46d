package gateway

import (
	"bytes"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
)

// handle answers one request of a caller.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	g.inFlight.Add(1)
	g.served.Add(1)
	if g.stopping() {
		ctx.SetConnectionClose()
	}
	call := platform.DecodeCall(&ctx.Request.Header)
	var x *exchange
	defer func() {
		if fault := recover(); fault != nil {
			g.panicked(ctx, &call, x, fault)
		}
	}()
	r, team, p := g.admit(&ctx.Request.Header, &call)
	if p != nil {
		g.record.busy.since(activityAdmit, began)
		g.refuse(ctx, &call, team, p)
		g.inFlight.Add(-1)
		return
	}
	x = newExchange(g, ctx, call, r, team)
	g.core.register(x)
	g.record.busy.since(activityAdmit, began)
	if r.Kind == route.Stream {
		g.stream(ctx, x)
		return
	}
	g.plain(ctx, x)
	g.end(x)
}

// panicked answers a request whose handling was at fault. The others go on.
func (g *Gateway) panicked(ctx *fasthttp.RequestCtx, call *platform.Call, x *exchange, fault any) {
	g.record.panicked(call.ID, fault, debug.Stack())
	failure(fasthttp.StatusBadGateway, reasonFault).write(&ctx.Response, call.ID)
	ctx.SetConnectionClose()
	if x == nil {
		g.inFlight.Add(-1)
		return
	}
	x.cancel()
	g.end(x)
}

// end forgets an exchange that is over.
func (g *Gateway) end(x *exchange) {
	x.dismiss()
	g.core.leave(x)
	g.inFlight.Add(-1)
}

// admit finds the route and the team of a request that its team has a share for and this host
// has time for.
func (g *Gateway) admit(head *fasthttp.RequestHeader, call *platform.Call) (*route.Route, string, *problem) {
	age := g.core.age()
	r, team, p := g.identify(head, call, age)
	if p == nil {
		p = g.core.admit(time.Now(), arrivalOf(r, call, team))
	}
	if p != nil {
		p.age = age
	}
	return r, team, p
}

// identify finds the route and the team of a request in a configuration of an age.
func (g *Gateway) identify(head *fasthttp.RequestHeader, call *platform.Call, age time.Duration) (*route.Route, string, *problem) {
	table := g.core.view.Load()
	if table == nil {
		return nil, "", notRun(reasonNoConfig, staleRetry)
	}
	path, _, _ := bytes.Cut(head.RequestURI(), []byte("?"))
	r := table.Match(string(head.Host()), string(path))
	switch {
	case r == nil:
		return nil, "", deny(fasthttp.StatusNotFound, reasonNoRoute, age)
	case g.outlasts(r, eventsAfter(call.LastEvent, g.core.eventsOf(serviceOf(r, call), call.MaxOutput)), r.Wait(call.Deadline)):
		return nil, "", notRun(reasonStopping, rejectedRetry)
	case r.Public || !table.Keyed():
		return r, "", nil
	case age > g.limits.Load().keyAge:
		return nil, "", notRun(reasonStale, staleRetry)
	}
	team, ok := table.Team(call.Key)
	if !ok {
		return nil, "", deny(fasthttp.StatusUnauthorized, reasonNoKey, age)
	}
	return r, team, nil
}

// deny returns the refusal of a request that the configuration does not allow, or
// one that promises nothing of a later try while a newer configuration may not
// have been seen.
func deny(status int, reason string, age time.Duration) *problem {
	if age > deniableAge {
		return notRun(reasonStale, staleRetry)
	}
	return failure(status, reason)
}

// refuse answers a request that has no exchange.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, call *platform.Call, team string, p *problem) {
	p.write(&ctx.Response, call.ID)
	g.record.refused(ctx.RemoteAddr(), &ctx.Request.Header, call, team, p)
}

// malformed answers a request that is not well-formed HTTP.
func (g *Gateway) malformed(ctx *fasthttp.RequestCtx, err error) {
	p := failure(fasthttp.StatusBadRequest, reasonMalformed)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		p = failure(fasthttp.StatusRequestEntityTooLarge, reasonTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		p = failure(fasthttp.StatusRequestTimeout, reasonSlow)
	}
	p.write(&ctx.Response, "")
	ctx.SetConnectionClose()
	g.record.malformed(p.reason, err)
}

// plain answers a request whose answer is passed on as a whole.
func (g *Gateway) plain(ctx *fasthttp.RequestCtx, x *exchange) {
	a, p := x.whole()
	if p != nil {
		g.problem(ctx, x, p)
		return
	}
	platform.CopyAnswer(&ctx.Response.Header, &a.response.Header)
	ctx.Response.SkipBody = a.response.SkipBody
	ctx.Response.SetBodyRaw(a.whole)
	if g.stopping() {
		ctx.SetConnectionClose()
	}
	took := time.Since(x.arrived)
	g.lengths.learn(x.route.Name, took, took, 0)
	g.record.answered(x, a.response.StatusCode(), "", 0)
}

// problem answers an exchange with a problem.
func (g *Gateway) problem(ctx *fasthttp.RequestCtx, x *exchange, p *problem) {
	p.write(&ctx.Response, x.call.ID)
	if p.status == statusGone {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.SetConnectionClose()
	}
	if g.stopping() {
		ctx.SetConnectionClose()
	}
	g.record.answered(x, p.status, p.reason, p.retry)
}

// whole gets a whole answer.
func (x *exchange) whole() (*attempt, *problem) {
	for {
		a, p := x.open()
		if p != nil || a.over {
			return a, p
		}
		err := a.take()
		if err == nil {
			return a, nil
		}
		if p := x.lost(a, err); p != nil {
			return nil, p
		}
	}
}
