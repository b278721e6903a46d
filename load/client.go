package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/link"
)

// client sends requests to one entry host.
type client struct {
	address netip.AddrPort
	pool    *link.Pool
}

func newClient(address netip.AddrPort) *client {
	return &client{address: address, pool: link.NewPool(nil)}
}

// send sends one request and records its outcome.
func (c *client) send(ctx context.Context, start time.Time, s Stream, q requestSpec, record *Record) {
	defer func() {
		record.End = time.Since(start)
		record.Abandoned = (record.Lost || record.Broken) && ctx.Err() != nil
	}()
	conn, err := c.pool.Get(ctx, c.address, false)
	if err != nil {
		record.Lost, record.Error = true, err.Error()
		return
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	request := &fasthttp.Request{}
	c.fillRequest(request, s, q, record)
	response := &fasthttp.Response{}
	if err := conn.Send(request); err != nil {
		record.Lost, record.Error = true, err.Error()
		conn.Close()
		return
	}
	timeout := time.Hour
	if err := conn.Receive(response, timeout); err != nil {
		record.Lost, record.Error = true, err.Error()
		conn.Close()
		return
	}
	record.Status = response.StatusCode()
	record.Outcome = string(response.Header.Peek(entry.HeaderOutcome))
	record.Replayed = len(response.Header.Peek(entry.HeaderReplayed)) > 0
	if micros := response.Header.Peek(entry.HeaderWait); len(micros) > 0 {
		n, _ := fasthttp.ParseUint(micros)
		record.QueueTime = time.Duration(n) * time.Microsecond
	} else {
		record.QueueTime = time.Since(start) - record.Sent
	}
	body := link.NewBody(conn, response)
	if record.Status == statusOK && s.Kind == KindStreaming {
		err = readStream(body, start, q, record)
	} else {
		err = readBody(body, start, s, q, record)
	}
	if err != nil {
		record.Broken, record.Error = true, err.Error()
	}
	c.pool.Put(c.address, conn)
}

// fillRequest sets the URI, headers and body of a request.
func (c *client) fillRequest(request *fasthttp.Request, s Stream, q requestSpec, record *Record) {
	request.Header.SetMethod(fasthttp.MethodPost)
	h := &request.Header
	h.Set(fasthttp.HeaderAuthorization, "Bearer "+s.Key)
	h.Set(entry.HeaderTeam, s.Team)
	h.Set(entry.HeaderRequestID, record.ID)
	if s.Urgency != "" {
		h.Set(entry.HeaderUrgency, s.Urgency)
	}
	if s.Deadline.Duration > 0 {
		h.Set(entry.HeaderDeadline, s.Deadline.String())
	}
	base := "http://" + c.address.String()
	switch s.Kind {
	case KindStreaming, KindNonStreaming:
		request.SetRequestURI(base + "/v1/completions")
		request.SetBody(completionBody(s, q))
	case KindPlain:
		h.SetMethod(fasthttp.MethodPut)
		request.SetRequestURI(fmt.Sprintf("%s/services/%s/lookup?ms=%d", base, s.Service, q.size))
		request.SetBodyString(q.prompt)
	case KindOrder:
		h.Set(entry.HeaderIdempotencyKey, q.orderID)
		request.SetRequestURI(fmt.Sprintf("%s/services/%s/order?ms=%d", base, s.Service, q.size))
		request.SetBodyString(q.prompt)
	}
}

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model   string        `json:"model"`
	Prompt  string        `json:"prompt"`
	Stream  bool          `json:"stream"`
	Options streamOptions `json:"stream_options"`
}

// streamOptions asks the engine to report the token usage.
type streamOptions struct {
	Usage bool `json:"include_usage"`
}

func completionBody(s Stream, q requestSpec) []byte {
	body, err := json.Marshal(completionRequest{
		Model: s.Service, Prompt: q.prompt, Stream: s.Kind == KindStreaming, Options: streamOptions{Usage: true},
	})
	if err != nil {
		return nil
	}
	return body
}
