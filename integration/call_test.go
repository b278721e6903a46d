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

// result is the outcome of a request as the caller sees it.
type result struct {
	status   int
	outcome  string
	code     string
	text     string
	replayed bool
	complete bool // the stream ended with [DONE] and without an error
	err      error
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

// promptFor returns a prompt that the engine answers with a given number of tokens.
func promptFor(name string, tokens int) string {
	return fmt.Sprintf("request %s length=%d", name, tokens)
}

// streamCompletion sends a streamed completion request and reads its tokens.
// onToken is called after each token with the number of tokens so far.
func (f *fleet) streamCompletion(h *host, id, prompt string, onToken func(tokens int)) result {
	body, err := json.Marshal(completionBody{Model: "model", Prompt: prompt, Stream: true})
	if err != nil {
		return result{err: err}
	}
	return f.streamModel(h, id, "/v1/completions", body, onToken)
}

// chatBody is a request of the chat API.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

// chatMessage is one message in a chatBody.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// streamChat sends a streamed chat request with a system message and a user message.
func (f *fleet) streamChat(h *host, id, system, user string) result {
	body, err := json.Marshal(chatBody{
		Model: "model", Stream: true, Messages: []chatMessage{{Role: "system", Content: system}, {Role: "user", Content: user}},
	})
	if err != nil {
		return result{err: err}
	}
	return f.streamModel(h, id, "/v1/chat/completions", body, nil)
}

// streamModel sends a request for a stream to a path of the API.
func (f *fleet) streamModel(h *host, id, path string, body []byte, onToken func(tokens int)) result {
	conn, err := link.NewPool(nil).Get(context.Background(), h.settings.Listen, true)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + h.settings.Listen.String() + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+keyOf("red"))
	request.Header.Set(entry.HeaderRequestID, id)
	request.SetBody(body)
	if err := conn.Send(request); err != nil {
		return result{err: err}
	}
	if err := conn.Receive(response, waitTimeout); err != nil {
		return result{err: err}
	}
	r := result{status: response.StatusCode(), outcome: string(response.Header.Peek(entry.HeaderOutcome))}
	conn.SetWait(waitTimeout)
	if r.status != fasthttp.StatusOK {
		text, _ := io.ReadAll(link.NewBody(conn, response))
		r.code = gjson.GetBytes(text, "error.code").String()
		return r
	}
	return r.readStream(link.NewBody(conn, response), onToken)
}

// readStream reads an event stream and adds its text to the result.
func (r result) readStream(body io.Reader, onToken func(tokens int)) result {
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
				if onToken != nil {
					onToken(tokens)
				}
			}
		}
		if err != nil {
			r.text, r.complete = text.String(), done && err == io.EOF
			r.err = err
			return r
		}
	}
}

// decodeJSON decodes JSON into a value.
func decodeJSON(body []byte, value any) error { return json.Unmarshal(body, value) }

// withShortTimeouts sets timeouts of 500 ms for targets that stay silent.
func withShortTimeouts(s *catalog.Service) {
	s.FirstByteTimeout.Duration, s.IdleTimeout.Duration = 500*time.Millisecond, 500*time.Millisecond
}

// sendOrder sends an order to the plain service.
func (f *fleet) sendOrder(h *host, id, order, body string) result {
	headers := map[string]string{
		fasthttp.HeaderAuthorization: "Bearer " + keyOf("red"), entry.HeaderRequestID: id, entry.HeaderIdempotencyKey: order,
	}
	status, response := f.sendRequest(fasthttp.MethodPost, h.settings.Listen, "/services/desk/order?ms=30", headers, []byte(body))
	return result{
		status: status, outcome: string(response.Header.Peek(entry.HeaderOutcome)),
		code: gjson.GetBytes(response.Body(), "error.code").String(), text: string(response.Body()),
		replayed: len(response.Header.Peek(entry.HeaderReplayed)) > 0,
	}
}
