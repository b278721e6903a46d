package faults

import (
	"context"
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// Paths of the control interface.
const (
	PathMode    = "/mode"    // sets the Mode in the body
	PathSilence = "/silence" // silences the open connections
	PathBreak   = "/break"   // closes the open connections
)

// Control serves the control interface until the context ends. The returned
// channel is closed once serving has ended.
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
		p.SetMode(mode)
	case PathSilence:
		p.Silence()
	case PathBreak:
		p.Break()
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
