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

// do sends one request and fills in its record.
func (c *client) do(ctx context.Context, start time.Time, s Stream, q query, record *Record) {
	defer func() {
		record.End = time.Since(start)
		record.Abandoned = (record.Lost || record.Broken) && ctx.Err() != nil
	}()
	line, err := c.pool.Get(ctx, c.address, false)
	if err != nil {
		record.Lost, record.Fault = true, err.Error()
		return
	}
	stop := context.AfterFunc(ctx, line.Close)
	defer stop()
	request := &fasthttp.Request{}
	c.compose(request, s, q, record)
	response := &fasthttp.Response{}
	if err := line.Send(request); err != nil {
		record.Lost, record.Fault = true, err.Error()
		line.Close()
		return
	}
	patience := time.Hour
	if err := line.Receive(response, patience); err != nil {
		record.Lost, record.Fault = true, err.Error()
		line.Close()
		return
	}
	record.Status = response.StatusCode()
	record.Outcome = string(response.Header.Peek(entry.HeaderOutcome))
	record.Replay = len(response.Header.Peek(entry.HeaderReplayed)) > 0
	if micros := response.Header.Peek(entry.HeaderWait); len(micros) > 0 {
		n, _ := fasthttp.ParseUint(micros)
		record.Waited = time.Duration(n) * time.Microsecond
	} else {
		record.Waited = time.Since(start) - record.Sent
	}
	body := link.NewBody(line, response)
	if record.Status == statusOK && s.Kind == KindModel {
		err = readStream(body, start, q, record)
	} else {
		err = readWhole(body, start, s, q, record)
	}
	if err != nil {
		record.Broken, record.Fault = true, err.Error()
	}
	c.pool.Put(c.address, line)
}

func (c *client) compose(request *fasthttp.Request, s Stream, q query, record *Record) {
	request.Header.SetMethod(fasthttp.MethodPost)
	h := &request.Header
	h.Set(fasthttp.HeaderAuthorization, "Bearer "+s.Key)
	h.Set(entry.HeaderTeam, s.Team)
	h.Set(entry.HeaderRequestID, record.ID)
	if s.Urgency != "" {
		h.Set(entry.HeaderUrgency, s.Urgency)
	}
	if s.Patient.Duration > 0 {
		h.Set(entry.HeaderDeadline, s.Patient.String())
	}
	base := "http://" + c.address.String()
	switch s.Kind {
	case KindModel, KindWhole:
		request.SetRequestURI(base + "/v1/completions")
		request.SetBody(completionBody(s, q))
	case KindPlain:
		h.SetMethod(fasthttp.MethodPut)
		request.SetRequestURI(fmt.Sprintf("%s/services/%s/lookup?ms=%d", base, s.Service, q.size))
		request.SetBodyString(q.prompt)
	case KindOrder:
		h.Set(entry.HeaderIdempotencyKey, q.order)
		request.SetRequestURI(fmt.Sprintf("%s/services/%s/order?ms=%d", base, s.Service, q.size))
		request.SetBodyString(q.prompt)
	}
}

// completion is the body of a completion request.
type completion struct {
	Model   string            `json:"model"`
	Prompt  string            `json:"prompt"`
	Stream  bool              `json:"stream"`
	Options completionOptions `json:"stream_options"`
}

// completionOptions asks for the usage.
type completionOptions struct {
	Usage bool `json:"include_usage"`
}

func completionBody(s Stream, q query) []byte {
	body, err := json.Marshal(completion{
		Model: s.Service, Prompt: q.prompt, Stream: s.Kind == KindModel, Options: completionOptions{Usage: true},
	})
	if err != nil {
		return nil
	}
	return body
}
