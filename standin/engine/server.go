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

// Headers that the engine reads.
const (
	HeaderRequest = "X-Request-Id"
	HeaderTeam    = "Cassia-Team"
	HeaderFence   = "Cassia-Fence"
)

// Engine is the stand-in.
type Engine struct {
	config   Config
	batch    *batch
	listener net.Listener
	server   *fasthttp.Server
	crash    func()
	cancel   context.CancelFunc

	mu    sync.Mutex
	runs  []*Run
	fence uint64
}

// Option changes an Engine.
type Option func(e *Engine)

// WithCrash sets what a poisoned prompt does in place of closing the engine.
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

// Run serves until the context ends or the engine crashes, and reports its end
// on the channel.
func (e *Engine) Run(ctx context.Context) <-chan struct{} {
	ctx, e.cancel = context.WithCancel(ctx)
	stepping := e.batch.run(ctx)
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { e.listener.Close() })
	go func() {
		defer close(done)
		_ = e.server.Serve(e.listener)
		e.cancel()
		<-stepping
	}()
	return done
}

// Close crashes the engine: its connections break and it listens no more.
func (e *Engine) Close() { e.cancel() }

// Runs returns the records of all admitted requests.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		list = append(list, *r)
	}
	return list
}

// Stats returns the state of the engine.
func (e *Engine) Stats() Stats { return e.batch.stats() }

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// call is the body of a completion request.
type call struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt"`
	Messages []message `json:"messages"`
	Limit    int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
	Resume   int       `json:"resume"` // tokens of the answer that the caller has
	Options  struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// text returns the whole prompt.
func (c *call) text() string {
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

// fenced returns whether the request carries an old fencing number.
func (e *Engine) fenced(ctx *fasthttp.RequestCtx) bool {
	number, err := strconv.ParseUint(string(ctx.Request.Header.Peek(HeaderFence)), 10, 64)
	if !e.config.Fence || err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	old := number < e.fence
	e.fence = max(e.fence, number)
	return old
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var c call
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if e.fenced(ctx) {
		ctx.Error("old fencing number", fasthttp.StatusPreconditionFailed)
		return
	}
	prompt := c.text()
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
		ctx: streamCtx, prompt: prompt, words: Words(prompt), length: Length(prompt, c.Limit),
		next: c.Resume,
	}
	conn := ctx.Conn()
	q.gone = func() bool { return link.ClosedByPeer(conn) }
	q.tokens = make(chan int, max(0, q.length-q.next)+1)
	e.batch.enter(q)
	chat := string(ctx.Path()) == "/v1/chat/completions"
	if c.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer cancel()
			e.stream(w, &c, q, run, chat)
		})
		return
	}
	defer cancel()
	e.whole(ctx, &c, q, run, chat)
}

// produced notes a generated token.
func (e *Engine) produced(run *Run, q *sequence) {
	e.mu.Lock()
	run.Tokens++
	run.Prompt = q.words - q.cached
	e.mu.Unlock()
}

func (e *Engine) finished(run *Run) {
	e.mu.Lock()
	run.Done = true
	e.mu.Unlock()
}

// stream writes the answer as server-sent events.
func (e *Engine) stream(w *bufio.Writer, c *call, q *sequence, run *Run, chat bool) {
	index := c.Resume
	for ; index < q.length; index++ {
		if _, ok := <-q.tokens; !ok {
			return
		}
		e.produced(run, q)
		if !event(w, chunk(c.Model, Token(q.prompt, index), "", chat)) {
			return
		}
	}
	if !event(w, chunk(c.Model, "", "stop", chat)) {
		return
	}
	if c.Options.Usage && !event(w, usageChunk(c.Model, run, q)) {
		return
	}
	e.finished(run)
	fmt.Fprint(w, "data: [DONE]\n\n")
	w.Flush()
}

func event(w *bufio.Writer, body []byte) bool {
	fmt.Fprintf(w, "data: %s\n\n", body)
	return w.Flush() == nil
}

// whole writes the answer as one JSON body.
func (e *Engine) whole(ctx *fasthttp.RequestCtx, c *call, q *sequence, run *Run, chat bool) {
	var text strings.Builder
	for index := c.Resume; index < q.length; index++ {
		if _, ok := <-q.tokens; !ok {
			ctx.Error("aborted", fasthttp.StatusInternalServerError)
			return
		}
		e.produced(run, q)
		text.WriteString(Token(q.prompt, index))
	}
	e.finished(run)
	ctx.SetContentType("application/json")
	ctx.SetBody(answer(c.Model, text.String(), run, q, chat))
}

// choice is one alternative of an answer or of a part of it.
type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// usage counts the tokens of an exchange.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// completion is an answer or a part of it.
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

func newUsage(run *Run, q *sequence) *usage {
	u := &usage{Prompt: q.words, Completion: run.Tokens, Total: q.words + run.Tokens}
	u.Details.Cached = q.cached
	return u
}

func encode(r completion) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return body
}

func chunk(model, text, finish string, chat bool) []byte {
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

func usageChunk(model string, run *Run, q *sequence) []byte {
	r := newCompletion("chat.completion.chunk", model)
	r.Usage = newUsage(run, q)
	return encode(r)
}

func answer(model, text string, run *Run, q *sequence, chat bool) []byte {
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
