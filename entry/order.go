package entry

import "github.com/valyala/fasthttp"

// order serves a request that names an order and must not run twice.
func (e *Entry) order(ctx *fasthttp.RequestCtx, g *passage) {
	g.enter(true, nil, e.suspected(g.call))
	if p := g.run(); p != nil {
		e.refuse(ctx, g.call, p)
		return
	}
	g.answer(ctx)
	e.observe(g.exchange, ctx.Response.StatusCode(), "", 0)
}
