package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/standin/reply"
)

// Headers of requests that the engine reads.
const (
	HeaderRequest = "X-Request-Id"
	HeaderTeam    = "Cassia-Team"
	HeaderFence   = "Cassia-Fence"
)

// Engine is a stand-in for a model engine that serves completions over HTTP.
type Engine struct {
	config   Config
	batch    *batch
	listener net.Listener
	server   *fasthttp.Server
	crash    func()
	cancel   context.CancelFunc

	mu           sync.Mutex
	runs         []*Run
	highestFence uint64
}

// Option configures an Engine beyond its Config.
type Option func(e *Engine)

// WithCrash sets the function that a prompt with the configured poison word calls, in place of Close.
func WithCrash(crash func()) Option { return func(e *Engine) { e.crash = crash } }

// New returns an Engine that serves on a listener once Run is called.
func New(config Config, listener net.Listener, options ...Option) *Engine {
	e := &Engine{config: config, batch: newBatch(config), listener: listener}
	e.crash = e.Close
	for _, option := range options {
		option(e)
	}
	e.server = &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true, StreamRequestBody: false}
	return e
}

// Run serves until the context ends or the engine crashes. The returned channel
// is closed once serving has ended.
func (e *Engine) Run(ctx context.Context) <-chan struct{} {
	ctx, e.cancel = context.WithCancel(ctx)
	batchDone := e.batch.run(ctx)
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { e.listener.Close() })
	go func() {
		defer close(done)
		_ = e.server.Serve(e.listener)
		e.cancel()
		<-batchDone
	}()
	return done
}

// Close simulates a crash: the engine aborts all requests and stops listening. Call it only after Run.
func (e *Engine) Close() { e.cancel() }

// Runs returns the records of all accepted completion requests.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		list = append(list, *r)
	}
	return list
}

// Stats returns the current state of the engine.
func (e *Engine) Stats() Stats { return e.batch.stats() }

// message is a message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt"`
	Messages []message `json:"messages"`
	Limit    int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
	Resume   int       `json:"resume"` // number of tokens of the answer that the caller already has
	Options  struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// promptText returns the prompt, for a chat the contents of all messages.
func (c *completionRequest) promptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	parts := make([]string, 0, len(c.Messages))
	for _, m := range c.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		e.complete(ctx)
	case "/load":
		reply.JSON(ctx, fasthttp.StatusOK, e.batch.load())
	case "/stats":
		reply.JSON(ctx, fasthttp.StatusOK, e.Stats())
	case "/runs":
		reply.JSON(ctx, fasthttp.StatusOK, e.Runs())
	case "/events":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		reply.JSON(ctx, fasthttp.StatusOK, e.batch.eventsAfter(after))
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// hasStaleFence returns whether the request carries a lower fencing number than an earlier request.
// It returns false for a request without a valid number and if the Config doesn't ask for the check.
func (e *Engine) hasStaleFence(ctx *fasthttp.RequestCtx) bool {
	number, err := strconv.ParseUint(string(ctx.Request.Header.Peek(HeaderFence)), 10, 64)
	if !e.config.Fence || err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := number < e.highestFence
	e.highestFence = max(e.highestFence, number)
	return stale
}

// complete runs a completion request and answers it as a stream or as one body.
func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var c completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if e.hasStaleFence(ctx) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	prompt := c.promptText()
	if e.config.Poison != "" && slices.Contains(strings.Fields(prompt), e.config.Poison) {
		e.crash()
	}
	run := &Run{
		Request: string(ctx.Request.Header.Peek(HeaderRequest)),
		Team:    string(ctx.Request.Header.Peek(HeaderTeam)),
	}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	streamCtx, cancel := context.WithCancel(context.Background())
	q := &sequence{
		ctx: streamCtx, prompt: prompt, promptTokens: PromptTokens(prompt), outputTokens: Length(prompt, c.Limit),
		next: c.Resume,
	}
	conn := ctx.Conn()
	q.callerGone = func() bool { return link.ClosedByPeer(conn) }
	q.tokens = make(chan int, max(0, q.outputTokens-q.next)+1)
	e.batch.enqueue(q)
	chat := string(ctx.Path()) == "/v1/chat/completions"
	if c.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer cancel()
			e.writeStream(w, &c, q, run, chat)
		})
		return
	}
	defer cancel()
	e.writeJSON(ctx, &c, q, run, chat)
}

// recordToken counts a generated token in the record of a run.
func (e *Engine) recordToken(run *Run, q *sequence) {
	e.mu.Lock()
	run.Tokens++
	run.Prompt = q.promptTokens - q.cachedTokens
	e.mu.Unlock()
}

// recordDone marks a run as complete.
func (e *Engine) recordDone(run *Run) {
	e.mu.Lock()
	run.Done = true
	e.mu.Unlock()
}

// writeStream writes the answer as server-sent events.
func (e *Engine) writeStream(w *bufio.Writer, c *completionRequest, q *sequence, run *Run, chat bool) {
	index := c.Resume
	for ; index < q.outputTokens; index++ {
		if _, ok := <-q.tokens; !ok {
			return
		}
		e.recordToken(run, q)
		if !writeEvent(w, encodeChunk(c.Model, Token(q.prompt, index), "", chat)) {
			return
		}
	}
	if !writeEvent(w, encodeChunk(c.Model, "", "stop", chat)) {
		return
	}
	if c.Options.Usage && !writeEvent(w, encodeUsageChunk(c.Model, run, q)) {
		return
	}
	e.recordDone(run)
	fmt.Fprint(w, "data: [DONE]\n\n")
	w.Flush()
}

// writeEvent writes and flushes a server-sent event. It returns whether that succeeded.
func writeEvent(w *bufio.Writer, body []byte) bool {
	fmt.Fprintf(w, "data: %s\n\n", body)
	return w.Flush() == nil
}

// writeJSON waits for all tokens and writes the answer as one JSON body.
func (e *Engine) writeJSON(ctx *fasthttp.RequestCtx, c *completionRequest, q *sequence, run *Run, chat bool) {
	var text strings.Builder
	for index := c.Resume; index < q.outputTokens; index++ {
		if _, ok := <-q.tokens; !ok {
			ctx.Error("aborted", fasthttp.StatusInternalServerError)
			return
		}
		e.recordToken(run, q)
		text.WriteString(Token(q.prompt, index))
	}
	e.recordDone(run)
	ctx.SetContentType("application/json")
	ctx.SetBody(encodeCompletion(c.Model, text.String(), run, q, chat))
}

// choice is an alternative of an answer or of a chunk of a streamed answer.
type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// usage counts the tokens of a request and its answer.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// completion is an answer or a chunk of a streamed answer.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newCompletion(object, model string) completion {
	return completion{ID: "standin", Object: object, Created: time.Now().Unix(), Model: model, Choices: []choice{}}
}

// newUsage returns the token counts of a run.
func newUsage(run *Run, q *sequence) *usage {
	u := &usage{Prompt: q.promptTokens, Completion: run.Tokens, Total: q.promptTokens + run.Tokens}
	u.Details.Cached = q.cachedTokens
	return u
}

func encode(r completion) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return body
}

// encodeChunk returns the JSON of a chunk of a streamed answer, with a reason if it finishes the answer.
func encodeChunk(model, text, finish string, chat bool) []byte {
	r := newCompletion("text_completion", model)
	part := choice{}
	if chat {
		r.Object = "chat.completion.chunk"
		part.Delta = &message{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	if finish != "" {
		part.Finish = &finish
	}
	r.Choices = append(r.Choices, part)
	return encode(r)
}

// encodeUsageChunk returns the JSON of the chunk that carries the token counts of a streamed answer.
func encodeUsageChunk(model string, run *Run, q *sequence) []byte {
	r := newCompletion("chat.completion.chunk", model)
	r.Usage = newUsage(run, q)
	return encode(r)
}

// encodeCompletion returns the JSON of a whole answer.
func encodeCompletion(model, text string, run *Run, q *sequence, chat bool) []byte {
	r := newCompletion("text_completion", model)
	stop := "stop"
	part := choice{Finish: &stop}
	if chat {
		r.Object = "chat.completion"
		part.Message = &message{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	r.Choices = append(r.Choices, part)
	r.Usage = newUsage(run, q)
	return encode(r)
}
