package entry

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/held"
)

// bodyCopies is the number of times that the body of a request is held: as it came, and as it is sent to a model.
const bodyCopies = 2

// heldBodies holds the bodies of the requests that are served, by connection.
type heldBodies struct {
	mu     sync.Mutex
	bodies map[net.Conn]*held.Incoming
}

// put records the body of the request on a connection.
func (h *heldBodies) put(conn net.Conn, body *held.Incoming) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bodies == nil {
		h.bodies = map[net.Conn]*held.Incoming{}
	}
	h.bodies[conn] = body
}

// release gives back what the body of the last request on a connection holds.
func (h *heldBodies) release(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodies[conn].Release() // nothing if there is none
	delete(h.bodies, conn)
}

// trackConnection records the state of a connection of a caller. A request is over when its answer was written or its
// connection is closed.
func (e *Entry) trackConnection(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle || state == fasthttp.StateClosed {
		e.bodies.release(conn)
	}
	e.connections.Track(conn, state)
}

// bodyLimit returns the limit on the body of a request before its service is known: the largest of all services.
func (e *Entry) bodyLimit() int { return int(e.maxBody.Load()) }

// largestBody returns the largest body that a service of a configuration allows.
func largestBody(view *catalog.View) int64 {
	largest := catalog.DefaultMaxBodyBytes
	for _, s := range view.Services {
		largest = max(largest, s.MaxBodyBytes)
	}
	return int64(largest)
}

// headReceived returns the limit on the body of a request whose head was read.
func (e *Entry) headReceived(head *fasthttp.RequestHeader) fasthttp.RequestConfig {
	return held.LimitBody(head, e.bodyLimit())
}

// checkExpected refuses a request before its body is read if the body is announced as too large. It returns the status
// of the answer.
func (e *Entry) checkExpected(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() <= e.bodyLimit() {
		return fasthttp.StatusContinue
	}
	e.refuseMalformed(ctx, held.ErrBodyTooLarge)
	return ctx.Response.StatusCode()
}

// receive reads the body of a request as far as this host has room for it. It returns false if the request must not
// be sent to a target; then it is answered.
func (e *Entry) receive(ctx *fasthttp.RequestCtx) bool {
	length := ctx.Request.Header.ContentLength()
	stream := ctx.RequestBodyStream()
	switch {
	case stream == nil:
	case length == 0:
		ctx.Request.ResetBody() // the stream is empty; a look at the body would log a warning
	default:
		if err := e.readBody(ctx, length); err != nil {
			e.refuseMalformed(ctx, err)
			return false
		}
	}
	if !e.connections.Serve(ctx.Conn()) {
		ctx.SetConnectionClose() // it was closed for others
		return false
	}
	return true
}

// readBody reads the body of a request in place of the server. length is its announced length, negative if there is
// none. The error is held.ErrNoRoom, held.ErrBodyTooLarge or that of the connection.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx, length int) error {
	conn := ctx.Conn()
	body := e.held.NewIncoming(func() { held.InterruptReads(conn) })
	err := body.ReadAll(ctx.RequestBodyStream(), length, e.bodyLimit())
	if err != nil {
		body.Release()
		return err
	}
	whole, err := body.Join(bodyCopies)
	if err != nil {
		body.Release()
		return err
	}
	e.bodies.put(conn, body)
	ctx.Request.SetBodyRaw(whole)
	return nil
}

// copyRequest copies a request but for its body, which both share.
func copyRequest(from, to *fasthttp.Request) {
	body := from.Body()
	from.SetBodyRaw(nil)
	from.CopyTo(to)
	from.SetBodyRaw(body)
	to.SetBodyRaw(body)
}

// recordEviction counts and logs a connection of a caller that was closed for others, since more than limit were open.
func (e *Entry) recordEviction(limit int) {
	e.metrics.evicted.Inc()
	e.evictionLog.Warn().Int("limit", limit).Msg("connection evicted")
}
