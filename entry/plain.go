package entry

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	heldBytes     = 256 << 10 // an answer up to this size is complete before it is passed on
	maxWholeBytes = 16 << 20  // of an answer that has to be complete before
	copyBytes     = 16 << 10
)

// hopHeaders are headers that concern one connection only.
var hopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderTransferEncoding, "Keep-Alive", "Proxy-Connection",
	fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderContentLength,
}

// passage is a request whose answer is passed on as it is.
type passage struct {
	*exchange
	line     *link.Conn
	response *fasthttp.Response
	body     *link.Body
	held     []byte // leading part of the body
	complete bool   // held is the whole body
}

// repeatable returns whether a request with a method may run more than once.
func repeatable(method []byte) bool {
	switch string(method) {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodPut, fasthttp.MethodDelete:
		return true
	default:
		return false
	}
}

// run gets the answer, at least its leading part.
func (g *passage) run() *problem {
	for {
		line, p := g.slot()
		if p != nil {
			return p
		}
		g.line = line
		again, p := g.try()
		if p != nil || !again {
			return p
		}
	}
}

// try makes one attempt. It returns true if the exchange waits again.
func (g *passage) try() (bool, *problem) {
	err := g.line.Send(g.request)
	wrote := g.line.Wrote()
	g.handed = g.handed || wrote
	if err == nil {
		err = g.receive()
	}
	if err != nil {
		g.release(g.line, false)
		if !wrote {
			return true, g.fail(g.target, wire.End{Fate: wire.FateBroken})
		}
		return true, g.broke(err, g.end())
	}
	if g.overloaded() {
		g.release(g.line, g.complete)
		return true, g.fail(g.target, wire.End{Fate: wire.FateRefused})
	}
	if g.complete {
		g.release(g.line, true)
		g.done(g.end())
	}
	return false, nil
}

// overloaded returns whether the answer only says that the target is
// overloaded, and the request may be tried elsewhere.
func (g *passage) overloaded() bool {
	return !g.once && g.response.StatusCode() == fasthttp.StatusServiceUnavailable && g.retried+1 < maxAttempts
}

// receive reads the head and the leading part of the answer.
func (g *passage) receive() error {
	g.response = &fasthttp.Response{}
	g.response.SkipBody = g.request.Header.IsHead()
	if err := receive(g.line, g.response, g.service.FirstByteTimeout.Duration); err != nil {
		return err
	}
	g.head = time.Since(g.begun)
	g.body = link.NewBody(g.line, g.response)
	g.body.SetIdleTimeout(g.service.IdleTimeout.Duration)
	g.held, g.complete = nil, false
	if g.response.SkipBody {
		g.complete = true
		return nil
	}
	var buf bytes.Buffer
	limit := int64(heldBytes)
	if g.endsItself() {
		limit = maxWholeBytes
	}
	_, err := io.CopyN(&buf, g.body, limit)
	g.held = buf.Bytes()
	g.complete = errors.Is(err, io.EOF)
	switch {
	case err != nil && !g.complete:
		return err
	case g.endsItself() && (!g.complete || !ended(&g.response.Header, g.held)):
		return fault.Mark(errEnded, link.ErrBroken)
	}
	return nil
}

// endsItself returns whether only the body tells whether it is whole: the answer of a model that has
// no length ends with its connection, which may have broken.
func (g *passage) endsItself() bool {
	return !g.body.Framed() && g.service.Kind == catalog.KindModel && g.response.StatusCode() == fasthttp.StatusOK
}

// ended returns whether the body of a model's answer has its end. One of another type has none.
func ended(header *fasthttp.ResponseHeader, body []byte) bool {
	kind := bytes.ToLower(header.ContentType())
	switch {
	case bytes.HasPrefix(kind, []byte("text/event-stream")):
		return bytes.HasSuffix(bytes.ReplaceAll(body, []byte("\r"), nil), []byte("[DONE]\n\n"))
	case bytes.HasPrefix(kind, []byte("application/json")):
		return gjson.ValidBytes(body)
	}
	return true
}

// end returns the report of the present attempt: the time in its slot.
func (g *passage) end() wire.End {
	return wire.End{Cost: uint64(max(1, time.Since(g.begun).Milliseconds()))}
}

// answer writes the answer to the caller.
func (g *passage) answer(ctx *fasthttp.RequestCtx) {
	g.response.Header.CopyTo(&ctx.Response.Header)
	for _, name := range hopHeaders {
		ctx.Response.Header.Del(name)
	}
	g.entry.mark(ctx, g.exchange)
	if g.complete {
		ctx.Response.SkipBody = g.response.SkipBody
		ctx.SetBody(g.held)
		return
	}
	ctx.SetBodyStreamWriter(g.pipe)
}

// pipe passes the rest of a long answer on. An answer that breaks off ends
// with a broken connection, never cleanly.
func (g *passage) pipe(w *bufio.Writer) {
	_, err := w.Write(g.held)
	if err == nil {
		_, err = io.CopyBuffer(w, g.body, make([]byte, copyBytes))
	}
	if err == nil {
		err = w.Flush()
	}
	end := g.end()
	g.release(g.line, err == nil)
	if err == nil {
		g.done(end)
		return
	}
	end.Fate = wire.FateBroken
	g.entry.core.finish(g.exchange, end)
	g.caller.Close()
}
