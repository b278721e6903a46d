package entry

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
)

const (
	pathModels      = "/v1/models"
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathServices    = "/services/"
)

// handle routes a caller's request by its path.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if e.stopping.Load() {
		ctx.Response.Header.SetConnectionClose()
	}
	if !e.receive(ctx) {
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathModels && ctx.IsGet():
		e.listModels(ctx)
	case path == pathChat || path == pathCompletions:
		e.serveModel(ctx, path == pathChat)
	case strings.HasPrefix(path, pathServices):
		e.servePlain(ctx, strings.TrimPrefix(path, pathServices))
	default:
		e.refuse(ctx, nil, notRunProblem(fasthttp.StatusNotFound, "no_path", "", "no such path"))
	}
}

// refuse answers a request with a problem and records it.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, c *requestInfo, p *problem) {
	p.write(ctx)
	e.recordRefusal(c, p)
}

// modelList is the list of models in the format of the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model in a modelList.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// listModels answers with the names of the model services.
func (e *Entry) listModels(ctx *fasthttp.RequestCtx) {
	view := e.view.Load()
	names, err := view.Set.Names(catalog.Services)
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range names {
		if view.Set.Services[name].Kind == catalog.KindModel {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", Owner: "cassiachute"})
		}
	}
	body, encodeErr := json.Marshal(list)
	if err != nil || encodeErr != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// serveModel serves a chat or text completion. Requests whose answer cannot be assembled from a
// stream are forwarded unchanged.
func (e *Entry) serveModel(ctx *fasthttp.RequestCtx, chat bool) {
	body := ctx.PostBody()
	if p := checkBody(ctx, body, chat); p != nil {
		e.refuse(ctx, nil, p)
		return
	}
	c, p := e.identify(ctx, e.view.Load(), gjson.GetBytes(body, "model").String())
	if p == nil && c.service.Kind != catalog.KindModel {
		p = notRunProblem(fasthttp.StatusNotFound, "no_service", "model", "the service is not a model")
	}
	if p != nil {
		e.refuse(ctx, c, p)
		return
	}
	prefixes := c.prefixHashes(promptOf(body))
	c.addPromptTraits(body, prefixes)
	if !canCollect(body) {
		e.forward(ctx, c, false)
		return
	}
	e.serveStream(ctx, c, chat, body, prefixes)
}

// checkBody checks the method and the fields of a completion request that the entry host reads.
func checkBody(ctx *fasthttp.RequestCtx, body []byte, chat bool) *problem {
	if !ctx.IsPost() {
		return notRunProblem(fasthttp.StatusMethodNotAllowed, "bad_method", "", "must be POST")
	}
	if !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		return notRunProblem(fasthttp.StatusBadRequest, "bad_body", "", "the body must be a JSON object")
	}
	if gjson.GetBytes(body, "model").Type != gjson.String {
		return notRunProblem(fasthttp.StatusBadRequest, "bad_body", "model", "model must be a string")
	}
	if chat && !gjson.GetBytes(body, "messages").IsArray() {
		return notRunProblem(fasthttp.StatusBadRequest, "bad_body", "messages", "messages must be an array")
	}
	if !chat && !gjson.GetBytes(body, "prompt").Exists() {
		return notRunProblem(fasthttp.StatusBadRequest, "bad_body", "prompt", "prompt is missing")
	}
	if s := gjson.GetBytes(body, "stream"); s.Exists() && !s.IsBool() {
		return notRunProblem(fasthttp.StatusBadRequest, "bad_body", "stream", "stream must be true or false")
	}
	return nil
}

// canCollect returns whether the events of a stream suffice to build the answer that the caller
// asked for. Several alternatives and the listed options need the answer of the engine itself.
func canCollect(body []byte) bool {
	if gjson.GetBytes(body, "stream").Bool() {
		return gjson.GetBytes(body, "n").Int() <= 1
	}
	for _, field := range []string{"tools", "functions", "logprobs", "top_logprobs", "audio", "modalities", "echo"} {
		if v := gjson.GetBytes(body, field); v.Exists() && v.Type != gjson.False && v.Type != gjson.Null {
			return false
		}
	}
	return gjson.GetBytes(body, "n").Int() <= 1 && gjson.GetBytes(body, "best_of").Int() <= 1
}

// serveStream serves a completion from the event stream of an engine, as a stream or as one JSON
// answer. prefixes are the hashes of the prefixes of its prompt.
func (e *Entry) serveStream(ctx *fasthttp.RequestCtx, c *requestInfo, chat bool, body []byte, prefixes []uint32) {
	prepared, err := streamBody(append([]byte(nil), body...))
	if err != nil {
		e.refuse(ctx, c, notRunProblem(fasthttp.StatusBadRequest, "bad_body", "", "the body can't be prepared"))
		return
	}
	s := &stream{
		exchange:  newExchange(e, ctx, c),
		body:      prepared,
		wantUsage: gjson.GetBytes(body, "stream_options.include_usage").Bool(),
	}
	streamed := gjson.GetBytes(body, "stream").Bool()
	if p := s.enqueue(false, prefixes); p != nil {
		e.refuse(ctx, c, p)
		return
	}
	first, p, err := s.nextEvent()
	switch {
	case p != nil:
		e.refuse(ctx, c, p)
	case errors.Is(err, errAnswerEnded):
		e.refuse(ctx, c, &problem{
			status: fasthttp.StatusBadGateway, code: "empty", message: "the target sent no event", outcome: OutcomeRan,
		})
	case first.refusal != nil:
		e.setInfoHeaders(ctx, s.exchange)
		ctx.SetStatusCode(first.refusal.status)
		ctx.SetContentTypeBytes(first.refusal.contentType)
		ctx.SetBody(first.refusal.body)
		e.recordAnswer(s.exchange, first.refusal.status, "", 0)
	case streamed:
		e.setInfoHeaders(ctx, s.exchange)
		ctx.SetContentType("text/event-stream")
		ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeEvents(w, first) })
	default:
		e.serveCollected(ctx, s, chat, first)
	}
}

// serveCollected reads the stream to its end and answers with one JSON body.
func (e *Entry) serveCollected(ctx *fasthttp.RequestCtx, s *stream, chat bool, first *streamEvent) {
	text, p := s.collect(chat, first)
	if p != nil {
		e.refuse(ctx, s.info, p)
		return
	}
	e.setInfoHeaders(ctx, s.exchange)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
	e.recordAnswer(s.exchange, fasthttp.StatusOK, "", s.chargedCost)
}

// promptOf returns the prompt or the raw messages of a request, by which cached prefixes are
// found.
func promptOf(body []byte) string {
	if p := gjson.GetBytes(body, "prompt"); p.Exists() {
		return p.String()
	}
	return gjson.GetBytes(body, "messages").Raw
}

// servePlain serves a request to a plain service. The first path element names the service; the
// rest is the path at the target.
func (e *Entry) servePlain(ctx *fasthttp.RequestCtx, rest string) {
	name, path, _ := strings.Cut(rest, "/")
	c, p := e.identify(ctx, e.view.Load(), name)
	if p == nil && c.service.Kind != catalog.KindPlain {
		p = notRunProblem(fasthttp.StatusNotFound, "no_service", "", "the service is not a plain one")
	}
	if p != nil {
		e.refuse(ctx, c, p)
		return
	}
	ctx.Request.URI().SetPath("/" + path)
	e.forward(ctx, c, !c.service.Retryable && !mayRepeatMethod(ctx.Method()))
}

// forward serves a request whose answer is passed on unchanged. If once is set, the request
// is not repeated after a target may have run it.
func (e *Entry) forward(ctx *fasthttp.RequestCtx, c *requestInfo, once bool) {
	g := &forwardedRequest{exchange: newExchange(e, ctx, c)}
	g.atMostOnce = once
	if once && c.idempotencyKey != "" {
		e.serveOrder(ctx, g)
		return
	}
	p := g.enqueue(true, nil)
	if p == nil {
		p = g.fetch()
	}
	if p != nil {
		e.refuse(ctx, c, p)
		return
	}
	g.writeAnswer(ctx)
	e.recordAnswer(g.exchange, ctx.Response.StatusCode(), "", 0)
}

// setInfoHeaders adds the request id and the time without a slot in microseconds to the answer.
func (e *Entry) setInfoHeaders(ctx *fasthttp.RequestCtx, x *exchange) {
	ctx.Response.Header.Set(HeaderRequestID, x.info.id)
	ctx.Response.Header.Set(HeaderWait, strconv.FormatInt(x.waited.Microseconds(), 10))
}
