package gateway

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/platform"
)

// maxJoinedBytes is the size up to which a body is sent in one piece with its head.
const maxJoinedBytes = 16 << 10

// bodyLimit returns the limit on the body of a request, as the configuration sets it.
func (g *Gateway) bodyLimit() int {
	table := g.core.table.Load()
	if table == nil || table.MaxBodyBytes == 0 {
		return maxBodyBytes
	}
	return min(maxBodyBytes, table.MaxBodyBytes)
}

// headReceived returns the limit on the body of a request whose head was read.
func (g *Gateway) headReceived(head *fasthttp.RequestHeader) fasthttp.RequestConfig {
	return held.LimitBody(head, g.bodyLimit())
}

// checkExpected refuses a request before its body is read if the body is announced as too large. It returns the status
// of the answer.
func (g *Gateway) checkExpected(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() <= g.bodyLimit() {
		return fasthttp.StatusContinue
	}
	g.handleMalformed(ctx, held.ErrBodyTooLarge)
	drainOnClose(ctx.Conn())
	return ctx.Response.StatusCode()
}

// receive reads the body of a request as far as this host has room for it. It returns false if the request must not
// be sent to a target; then it is answered.
func (g *Gateway) receive(ctx *fasthttp.RequestCtx) (*held.Incoming, bool) {
	body := ctx.RequestBodyStream()
	if body == nil {
		return nil, g.beginServing(ctx)
	}
	length := ctx.Request.Header.ContentLength()
	if length == 0 {
		return nil, g.beginServing(ctx)
	}
	conn := ctx.Conn()
	incoming := g.held.NewIncoming(func() { interrupt(conn) })
	err := incoming.ReadAll(body, length, g.bodyLimit())
	if err == nil && g.beginServing(ctx) {
		return incoming, true
	}
	size := incoming.Chunks().Len()
	incoming.Release()
	switch {
	case errors.Is(err, held.ErrNoRoom):
		g.refuseBody(ctx, length, size)
	case err != nil:
		g.handleMalformed(ctx, err)
	}
	drainOnClose(conn)
	return nil, false
}

// drainOnClose makes the close of a connection discard what its caller still sends, for a short time. Otherwise the
// system resets the connection, and the caller may lose the answer.
func drainOnClose(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok {
		c.drain.Store(true)
	}
}

// beginServing protects the connection of a request from being closed for others. It returns false if it was closed.
func (g *Gateway) beginServing(ctx *fasthttp.RequestCtx) bool {
	if g.connections.Serve(ctx.Conn()) {
		return true
	}
	ctx.SetConnectionClose()
	return false
}

// refuseBody answers a request whose body this host has no room for. length is the announced length, negative if
// there is none, and size is what has arrived.
func (g *Gateway) refuseBody(ctx *fasthttp.RequestCtx, length, size int) {
	call := platform.DecodeCall(&ctx.Request.Header)
	notRun(reasonNoRoom, held.NoRoomRetryAfter).write(&ctx.Response, call.ID)
	g.record.bodyRefused(refusedBody{request: call.ID, caller: ctx.RemoteAddr(), announced: length, arrived: size}, g.held)
}

// interrupt makes the pending read of a caller's connection and all later ones fail.
func interrupt(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok {
		conn = c.Conn // a deadline of callerConn would count as the end of a wait for a request
	}
	held.InterruptReads(conn)
}

// encode returns the request as it is sent to a target. The body is not copied, unless it is small.
func (x *exchange) encode(f platform.ForwardHeaders) net.Buffers {
	chunks := x.body.Chunks()
	head := platform.AppendHead(nil, &x.request.Header, chunks.Len(), f)
	if chunks.Len() > maxJoinedBytes {
		return append(net.Buffers{head}, chunks...)
	}
	for _, chunk := range chunks {
		head = append(head, chunk...)
	}
	return net.Buffers{head}
}

// dropReader closes the connection of a caller that takes nothing of its answer while others need the room.
func (x *exchange) dropReader() {
	x.gateway.record.readerDropped(x)
	_ = x.caller.Close() // fails only if it is closed already
}
