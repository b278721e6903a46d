package entry

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	bufferBytes      = 256 << 10 // shorter answers are complete before they are passed on
	maxUnframedBytes = 16 << 20  // largest answer without a length that is checked for its end
	copyBytes        = 16 << 10  // buffer for passing on the rest of an answer
)

// forwardedRequest is an exchange whose answer is passed on unchanged.
type forwardedRequest struct {
	*exchange
	conn     *link.Conn
	response *fasthttp.Response
	body     *link.Body
	buffered []byte       // first bytes of the body
	held     *held.Answer // holds buffered
	complete bool         // buffered is the whole body
}

// mayRepeatMethod returns whether requests with the method are idempotent and may run more than
// once.
func mayRepeatMethod(method []byte) bool {
	switch string(method) {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodPut, fasthttp.MethodDelete:
		return true
	default:
		return false
	}
}

// fetch makes attempts until one has answered. On success the answer is buffered, or its first
// bufferBytes if it is longer.
func (g *forwardedRequest) fetch() *problem {
	for {
		conn, p := g.waitForSlot()
		if p != nil {
			return p
		}
		g.conn = conn
		again, p := g.attempt()
		if p != nil || !again {
			return p
		}
	}
}

// attempt sends the request to a target and reads the answer. It returns true if the exchange
// waits for another slot.
func (g *forwardedRequest) attempt() (bool, *problem) {
	err := g.conn.Send(g.request)
	wrote := g.conn.Wrote()
	g.mayHaveRun = g.mayHaveRun || wrote
	if err == nil {
		err = g.receive()
	}
	if err != nil {
		g.releaseConn(g.conn, false)
		if !wrote {
			return true, g.retryOrFail(g.target, wire.RequestEnd{Outcome: wire.OutcomeConnectionLost})
		}
		return true, g.handleBrokenAttempt(err, g.attemptReport())
	}
	if g.overloaded() {
		g.releaseHeld()
		g.releaseConn(g.conn, g.complete)
		return true, g.retryOrFail(g.target, wire.RequestEnd{Outcome: wire.OutcomeRejected})
	}
	if g.complete {
		g.releaseConn(g.conn, true)
		g.succeed(g.attemptReport())
	}
	return false, nil
}

// overloaded returns whether the target refused the request as overloaded and another target may
// be tried.
func (g *forwardedRequest) overloaded() bool {
	return !g.atMostOnce && g.response.StatusCode() == fasthttp.StatusServiceUnavailable && g.failedAttempts+1 < maxAttempts
}

// receive reads the head and the buffered part of the answer.
func (g *forwardedRequest) receive() error {
	g.response = &fasthttp.Response{}
	g.response.SkipBody = g.request.Header.IsHead()
	if err := receive(g.conn, g.response, g.service.FirstByteTimeout.Duration); err != nil {
		return err
	}
	g.firstByteTime = time.Since(g.attemptStart)
	g.body = link.NewBody(g.conn, g.response)
	g.body.SetIdleTimeout(g.service.IdleTimeout.Duration)
	g.buffered, g.complete = nil, false
	if g.response.SkipBody {
		g.complete = true
		return nil
	}
	limit := bufferBytes
	if g.endsWithConnection() {
		limit = maxUnframedBytes
	}
	g.held = g.entry.held.NewAnswer(g.target.Name, g.conn.Close)
	var err error
	g.buffered, err = g.held.ReadAll(io.LimitReader(g.body, int64(limit)), limit)
	g.complete = g.body.Complete()
	switch {
	case err != nil:
		g.releaseHeld()
		return err
	case g.endsWithConnection() && (!g.complete || !hasEnd(&g.response.Header, g.buffered)):
		g.releaseHeld()
		return fault.Mark(errAnswerEnded, link.ErrBroken)
	}
	return nil
}

// releaseHeld gives back what the answer holds, if it is not on its way to the caller.
func (g *forwardedRequest) releaseHeld() {
	if g.held != nil {
		g.held.Release()
	}
}

// endsWithConnection returns whether the end of a model's answer shows only in its content:
// without a length or chunks the body ends with the connection, which may have broken.
func (g *forwardedRequest) endsWithConnection() bool {
	return !g.body.Framed() && g.service.Kind == catalog.KindModel && g.response.StatusCode() == fasthttp.StatusOK
}

// hasEnd returns whether the body of a model's answer is complete: an event stream up to its end
// marker, or valid JSON. Bodies of other types are taken as complete.
func hasEnd(header *fasthttp.ResponseHeader, body []byte) bool {
	contentType := bytes.ToLower(header.ContentType())
	switch {
	case bytes.HasPrefix(contentType, []byte("text/event-stream")):
		return bytes.HasSuffix(bytes.ReplaceAll(body, []byte("\r"), nil), []byte("[DONE]\n\n"))
	case bytes.HasPrefix(contentType, []byte("application/json")):
		return gjson.ValidBytes(body)
	}
	return true
}

// attemptReport returns the cost of the current attempt, which is its time in the slot in
// milliseconds.
func (g *forwardedRequest) attemptReport() wire.RequestEnd {
	return wire.RequestEnd{Cost: uint64(max(1, time.Since(g.attemptStart).Milliseconds()))}
}

// writeAnswer writes the answer to the caller.
func (g *forwardedRequest) writeAnswer(ctx *fasthttp.RequestCtx) {
	platform.CopyAnswer(&ctx.Response.Header, &g.response.Header)
	ctx.Response.Header.SetStatusMessage(g.response.Header.StatusMessage())
	g.entry.setInfoHeaders(ctx, g.exchange)
	if g.complete {
		g.writeWhole(&ctx.Response)
		return
	}
	ctx.SetBodyStreamWriter(g.copyRest)
}

// writeWhole writes a complete answer. A large one is held until the server has written it.
func (g *forwardedRequest) writeWhole(response *fasthttp.Response) {
	response.SkipBody = g.response.SkipBody
	if response.SkipBody || len(g.buffered) <= held.FreeBytes {
		g.releaseHeld()
		response.SetBody(g.buffered)
		return
	}
	conn := g.callerConn
	response.SetBodyStream(held.NewBody(g.buffered, g.held, func() { conn.Close() }), len(g.buffered))
}

// copyRest passes a long answer on. If the answer breaks off, the connection of the caller is
// closed, so that it does not take the answer for complete.
func (g *forwardedRequest) copyRest(w *bufio.Writer) {
	defer g.releaseHeld()
	_, err := w.Write(g.buffered)
	if err == nil {
		_, err = io.CopyBuffer(w, g.body, make([]byte, copyBytes))
	}
	if err == nil {
		err = w.Flush()
	}
	end := g.attemptReport()
	g.releaseConn(g.conn, err == nil)
	if err == nil {
		g.succeed(end)
		return
	}
	end.Outcome = wire.OutcomeConnectionLost
	g.entry.loop.finish(g.exchange, end)
	g.callerConn.Close()
}
