package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/link"
)

// result is what a caller saw.
type result struct {
	status  int
	outcome string
	code    string
	text    string
	replay  bool
	clean   bool // the answer ended as it should
	err     error
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

// promptOf returns a prompt whose answer has so many tokens.
func promptOf(name string, tokens int) string {
	return fmt.Sprintf("request %s length=%d", name, tokens)
}

// stream sends a completion and reads it token by token. seen is called with
// the number of tokens so far.
func (f *fleet) stream(h *host, id, prompt string, seen func(tokens int)) result {
	body, err := json.Marshal(completionBody{Model: "model", Prompt: prompt, Stream: true})
	if err != nil {
		return result{err: err}
	}
	line, err := link.NewPool(nil).Get(context.Background(), h.settings.Listen, true)
	if err != nil {
		return result{err: err}
	}
	defer line.Close()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + h.settings.Listen.String() + "/v1/completions")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key("red"))
	request.Header.Set(entry.HeaderRequestID, id)
	request.SetBody(body)
	if err := line.Send(request); err != nil {
		return result{err: err}
	}
	if err := line.Receive(response, patience); err != nil {
		return result{err: err}
	}
	r := result{status: response.StatusCode(), outcome: string(response.Header.Peek(entry.HeaderOutcome))}
	line.SetWait(patience)
	if r.status != fasthttp.StatusOK {
		text, _ := io.ReadAll(link.NewBody(line, response))
		r.code = gjson.GetBytes(text, "error.code").String()
		return r
	}
	return r.read(link.NewBody(line, response), seen)
}

func (r result) read(body io.Reader, seen func(tokens int)) result {
	rd := bufio.NewReader(body)
	var text strings.Builder
	tokens, done := 0, false
	for {
		line, err := rd.ReadBytes('\n')
		if data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: ")); ok {
			done = done || string(data) == "[DONE]"
			if part := gjson.GetBytes(data, "choices.0.text").String(); part != "" {
				text.WriteString(part)
				tokens++
				if seen != nil {
					seen(tokens)
				}
			}
		}
		if err != nil {
			r.text, r.clean = text.String(), done && err == io.EOF
			r.err = err
			return r
		}
	}
}

// jsonInto decodes JSON.
func jsonInto(body []byte, value any) error { return json.Unmarshal(body, value) }

// withShortTimeouts makes a service give up on a silent target soon.
func withShortTimeouts(s *catalog.Service) {
	s.FirstByteTimeout.Duration, s.IdleTimeout.Duration = 500*time.Millisecond, 500*time.Millisecond
}

// order sends an order for the plain service.
func (f *fleet) order(h *host, id, order, body string) result {
	headers := map[string]string{
		fasthttp.HeaderAuthorization: "Bearer " + key("red"), entry.HeaderRequestID: id, entry.HeaderIdempotencyKey: order,
	}
	status, response := f.http(fasthttp.MethodPost, h.settings.Listen, "/services/desk/order?ms=30", headers, []byte(body))
	return result{
		status: status, outcome: string(response.Header.Peek(entry.HeaderOutcome)),
		code: gjson.GetBytes(response.Body(), "error.code").String(), text: string(response.Body()),
		replay: len(response.Header.Peek(entry.HeaderReplayed)) > 0,
	}
}
