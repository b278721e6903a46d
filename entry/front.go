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
	path := string(ctx.Path())
	switch {
	case path == pathModels && ctx.IsGet():
		e.models(ctx)
	case path == pathChat || path == pathCompletions:
		e.model(ctx, path == pathChat)
	case strings.HasPrefix(path, pathServices):
		e.plain(ctx, strings.TrimPrefix(path, pathServices))
	default:
		e.refuse(ctx, nil, notRun(fasthttp.StatusNotFound, "no_path", "", "no such path"))
	}
}

// refuse answers a request with a problem and records it.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, c *requestInfo, p *problem) {
	p.write(ctx)
	e.observeRefusal(c, p)
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

// models answers with the names of the model services.
func (e *Entry) models(ctx *fasthttp.RequestCtx) {
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

// model serves a completion.
func (e *Entry) model(ctx *fasthttp.RequestCtx, chat bool) {
	body := ctx.PostBody()
	if p := checkBody(ctx, body, chat); p != nil {
		e.refuse(ctx, nil, p)
		return
	}
	c, p := e.identify(ctx, e.view.Load(), gjson.GetBytes(body, "model").String())
	if p == nil && c.service.Kind != catalog.KindModel {
		p = notRun(fasthttp.StatusNotFound, "no_service", "model", "the service is not a model")
	}
	if p != nil {
		e.refuse(ctx, c, p)
		return
	}
	if !mayCompose(body) {
		e.pass(ctx, c, false)
		return
	}
	e.stream(ctx, c, chat, body)
}

// checkBody checks the method and the fields of a completion request that the entry host reads.
func checkBody(ctx *fasthttp.RequestCtx, body []byte, chat bool) *problem {
	if !ctx.IsPost() {
		return notRun(fasthttp.StatusMethodNotAllowed, "bad_method", "", "must be POST")
	}
	if !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		return notRun(fasthttp.StatusBadRequest, "bad_body", "", "the body must be a JSON object")
	}
	if gjson.GetBytes(body, "model").Type != gjson.String {
		return notRun(fasthttp.StatusBadRequest, "bad_body", "model", "model must be a string")
	}
	if chat && !gjson.GetBytes(body, "messages").IsArray() {
		return notRun(fasthttp.StatusBadRequest, "bad_body", "messages", "messages must be an array")
	}
	if !chat && !gjson.GetBytes(body, "prompt").Exists() {
		return notRun(fasthttp.StatusBadRequest, "bad_body", "prompt", "prompt is missing")
	}
	if s := gjson.GetBytes(body, "stream"); s.Exists() && !s.IsBool() {
		return notRun(fasthttp.StatusBadRequest, "bad_body", "stream", "stream must be true or false")
	}
	return nil
}

// mayCompose returns whether a whole answer can be put together from the events
// of a stream without loss.
func mayCompose(body []byte) bool {
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

// stream serves a completion from the events of an engine.
func (e *Entry) stream(ctx *fasthttp.RequestCtx, c *requestInfo, chat bool, body []byte) {
	prepared, err := prepare(append([]byte(nil), body...))
	if err != nil {
		e.refuse(ctx, c, notRun(fasthttp.StatusBadRequest, "bad_body", "", "the body can't be prepared"))
		return
	}
	s := &stream{
		exchange:  newExchange(e, ctx, c),
		body:      prepared,
		wantUsage: gjson.GetBytes(body, "stream_options.include_usage").Bool(),
	}
	streamed := gjson.GetBytes(body, "stream").Bool()
	if p := s.enqueue(false, c.blocks(promptOf(body))); p != nil {
		e.refuse(ctx, c, p)
		return
	}
	first, p, err := s.nextEvent()
	switch {
	case p != nil:
		e.refuse(ctx, c, p)
	case errors.Is(err, errEnded):
		e.refuse(ctx, c, &problem{
			status: fasthttp.StatusBadGateway, code: "empty", message: "the target sent no event", outcome: OutcomeRan,
		})
	case first.refusal != nil:
		e.mark(ctx, s.exchange)
		ctx.SetStatusCode(first.refusal.status)
		ctx.SetContentTypeBytes(first.refusal.kind)
		ctx.SetBody(first.refusal.body)
		e.observe(s.exchange, first.refusal.status, "", 0)
	case streamed:
		e.mark(ctx, s.exchange)
		ctx.SetContentType("text/event-stream")
		ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeEvents(w, first) })
	default:
		e.compose(ctx, s, chat, first)
	}
}

// compose answers with the whole of a completion.
func (e *Entry) compose(ctx *fasthttp.RequestCtx, s *stream, chat bool, first *streamEvent) {
	text, p := s.collect(chat, first)
	if p != nil {
		e.refuse(ctx, s.info, p)
		return
	}
	e.mark(ctx, s.exchange)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
	e.observe(s.exchange, fasthttp.StatusOK, "", s.charged)
}

// promptOf returns the prompt or the raw messages of a request, by which cached prefixes are
// found.
func promptOf(body []byte) string {
	if p := gjson.GetBytes(body, "prompt"); p.Exists() {
		return p.String()
	}
	return gjson.GetBytes(body, "messages").Raw
}

// plain serves a request of a plain service.
func (e *Entry) plain(ctx *fasthttp.RequestCtx, rest string) {
	name, path, _ := strings.Cut(rest, "/")
	c, p := e.identify(ctx, e.view.Load(), name)
	if p == nil && c.service.Kind != catalog.KindPlain {
		p = notRun(fasthttp.StatusNotFound, "no_service", "", "the service is not a plain one")
	}
	if p != nil {
		e.refuse(ctx, c, p)
		return
	}
	ctx.Request.URI().SetPath("/" + path)
	e.pass(ctx, c, !c.service.Repeat && !mayRepeatMethod(ctx.Method()))
}

// pass serves a request whose answer is passed on as it is.
func (e *Entry) pass(ctx *fasthttp.RequestCtx, c *requestInfo, once bool) {
	g := &forwardedRequest{exchange: newExchange(e, ctx, c)}
	g.atMostOnce = once
	if once && c.order != "" {
		e.order(ctx, g)
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
	e.observe(g.exchange, ctx.Response.StatusCode(), "", 0)
}

// mark sets the headers of an answer that tell how it came about.
func (e *Entry) mark(ctx *fasthttp.RequestCtx, x *exchange) {
	ctx.Response.Header.Set(HeaderRequest, x.info.id)
	ctx.Response.Header.Set(HeaderWait, strconv.FormatInt(x.waited.Microseconds(), 10))
}
