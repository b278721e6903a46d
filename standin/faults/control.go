package faults

import (
	"context"
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// Paths of the control interface.
const (
	PathMode    = "/mode"    // PUT a Mode
	PathSilence = "/silence" // POST
	PathBreak   = "/break"   // POST
)

// Control serves the control interface until the context ends and reports its
// end on the channel.
func (p *Proxy) Control(ctx context.Context, listener net.Listener) <-chan struct{} {
	server := &fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true}
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return done
}

func (p *Proxy) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathMode:
		var mode Mode
		if err := json.Unmarshal(ctx.PostBody(), &mode); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.Set(mode)
	case PathSilence:
		p.Silence()
	case PathBreak:
		p.Break()
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
