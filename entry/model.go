package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	eventReaderBytes = 4 << 10
	maxEventBytes    = 1 << 20
	promptLearning   = 0.05 // weight of one request in the mean of uncached tokens a byte
)

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")

	errTooLong = errors.New("event too long")
	errEnded   = errors.New("answer ended")
)

// stream is a model request whose answer comes in events. It goes on on another
// engine where one breaks.
type stream struct {
	*exchange
	body      []byte // as the caller sent it, with the options that the entry needs
	wantUsage bool   // the caller asked for the usage
	line      *link.Conn
	response  *fasthttp.Response
	rd        *bufio.Reader
	passed    int    // tokens passed on to the caller
	attempt   int    // tokens of the present attempt
	first     string // id of the answer, from the first attempt
	last      time.Time
	usage     usage
	charged   uint64 // cost reported for earlier attempts
	ended     bool
	finish    string
	created   int64
}

// usage is what the engine says of the tokens of an attempt.
type usage struct {
	prompt     int64
	cached     int64
	completion int64
	known      bool
}

// part is one event of the answer.
type part struct {
	raw     []byte // the event's data
	text    string
	refusal *answer // the engine's answer is not a stream
}

// answer is a whole answer of a target.
type answer struct {
	status int
	kind   []byte
	body   []byte
}

// prepare makes the body to send to engines.
func prepare(body []byte) ([]byte, error) {
	body, err := sjson.SetBytes(body, "stream", true)
	if err != nil {
		return nil, err
	}
	return sjson.SetBytes(body, "stream_options.include_usage", true)
}

// next returns the next event of the answer, errEnded after the last one, or a
// problem if the answer can't be completed.
func (s *stream) next() (*part, *problem, error) {
	for {
		if s.ended {
			return nil, nil, errEnded
		}
		if s.line == nil {
			if p := s.connect(); p != nil {
				return nil, p, nil
			}
		}
		if s.rd == nil {
			if refused, p := s.receive(); p != nil || refused != nil {
				return refused, p, nil
			}
			continue
		}
		event, err := s.read()
		if err != nil {
			if p := s.lost(err); p != nil {
				return nil, p, nil
			}
			continue
		}
		if event != nil {
			return event, nil, nil
		}
	}
}

// connect waits for a slot and sends the request.
func (s *stream) connect() *problem {
	for {
		line, p := s.slot()
		if p != nil {
			return p
		}
		s.line, s.rd, s.attempt, s.usage = line, nil, 0, usage{}
		body := s.body
		if s.passed > 0 {
			resumed, err := sjson.SetBytes(body, "resume", s.passed)
			if err != nil {
				return notRun(fasthttp.StatusBadRequest, "bad_body", "", err.Error())
			}
			body = resumed
		}
		s.request.SetBodyRaw(body)
		err := line.Send(s.request)
		s.handed = s.handed || line.Wrote()
		if err == nil {
			return nil
		}
		if p := s.lost(err); p != nil {
			return p
		}
	}
}

// receive reads the head of the answer.
func (s *stream) receive() (*part, *problem) {
	s.response = &fasthttp.Response{}
	err := receive(s.line, s.response, s.service.FirstByteTimeout.Duration)
	if err != nil {
		return nil, s.lost(err)
	}
	s.head = time.Since(s.begun)
	body := link.NewBody(s.line, s.response)
	if s.response.StatusCode() == fasthttp.StatusOK {
		s.rd = bufio.NewReaderSize(body, eventReaderBytes)
		s.last = time.Now()
		return nil, nil
	}
	return s.refused(body)
}

// refused takes an answer that is not a stream. Overload is tried elsewhere;
// other answers go to the caller as they are.
func (s *stream) refused(body *link.Body) (*part, *problem) {
	s.line.SetWait(s.service.IdleTimeout.Duration)
	text, err := io.ReadAll(io.LimitReader(body, maxEventBytes))
	if err != nil {
		return nil, s.lost(err)
	}
	status := s.response.StatusCode()
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		s.drop(false)
		return nil, s.fail(s.target, wire.End{Fate: wire.FateRefused})
	}
	kind := append([]byte(nil), s.response.Header.ContentType()...)
	s.drop(true)
	s.done(wire.End{})
	s.ended = true
	return &part{refusal: &answer{status: status, kind: kind, body: text}}, nil
}

// drop ends the use of the line.
func (s *stream) drop(reuse bool) bool {
	preempted := s.release(s.line, reuse)
	s.line, s.rd = nil, nil
	return preempted
}

// lost takes the failure of the present attempt.
func (s *stream) lost(err error) *problem {
	end := s.end(0)
	s.charged += end.Cost
	if s.drop(false) {
		err = errPreempted
	}
	return s.broke(err, end)
}

// end returns the report of the present attempt. The prompt is charged once, with
// the attempt that ends the request; unknown stands in for its tokens where the
// engine did not tell.
func (s *stream) end(unknown float64) wire.End {
	prompt, output := s.usage.prompt-s.usage.cached, s.usage.completion
	if !s.usage.known {
		prompt, output = int64(unknown), int64(s.attempt)
	}
	end := wire.End{
		Cost: s.service.InputCost*uint64(max(0, prompt)) + s.service.OutputCost*uint64(max(0, output)),
	}
	if s.attempt > 1 {
		end.TokenInterval = uint32((time.Since(s.begun) - s.head).Microseconds() / int64(s.attempt))
	}
	return end
}

// promptTokens returns the estimated number of uncached tokens of the prompt.
func (s *stream) promptTokens() float64 {
	return s.entry.prompts.estimate(s.service.Service.Number, len(s.body))
}

// read reads one event, which is one wait. It returns nil for what is not passed on.
func (s *stream) read() (*part, error) {
	s.line.SetWait(s.service.IdleTimeout.Duration)
	data, err := s.readData()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = fault.Mark(io.ErrUnexpectedEOF, link.ErrBroken)
		}
		return nil, err
	}
	if bytes.Equal(data, doneMark) {
		s.close()
		return nil, nil
	}
	return s.take(data), nil
}

// readData returns the data of the next event. What is no event counts towards the most bytes
// of one.
func (s *stream) readData() ([]byte, error) {
	var data, text []byte
	for size := 0; ; {
		piece, err := s.rd.ReadSlice('\n')
		if size += len(piece); size > maxEventBytes {
			return nil, fault.Mark(errTooLong, link.ErrBroken)
		}
		text = append(text, piece...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		line := bytes.TrimRight(text, "\r\n")
		text = text[:0]
		if len(line) == 0 && data != nil {
			return data, nil
		}
		if rest, ok := bytes.CutPrefix(line, dataPrefix); ok {
			data = append(data, bytes.TrimSpace(rest)...)
		}
	}
}

// take notes what an event says. It returns nil if the caller is not to have it.
func (s *stream) take(data []byte) *part {
	s.last = time.Now()
	if u := gjson.GetBytes(data, "usage"); u.IsObject() {
		s.usage = usage{
			prompt:     u.Get("prompt_tokens").Int(),
			cached:     u.Get("prompt_tokens_details.cached_tokens").Int(),
			completion: u.Get("completion_tokens").Int(),
			known:      true,
		}
		if !s.wantUsage && len(gjson.GetBytes(data, "choices").Array()) == 0 {
			return nil
		}
	}
	text := gjson.GetBytes(data, "choices.0.delta.content").String()
	if text == "" {
		text = gjson.GetBytes(data, "choices.0.text").String()
	}
	if text != "" {
		s.passed++
		s.attempt++
	}
	if f := gjson.GetBytes(data, "choices.0.finish_reason").String(); f != "" {
		s.finish = f
	}
	id := gjson.GetBytes(data, "id").String()
	if s.first == "" {
		s.first = id
		s.created = gjson.GetBytes(data, "created").Int()
	}
	if id != s.first {
		if renamed, err := sjson.SetBytes(data, "id", s.first); err == nil {
			data = renamed
		}
	}
	return &part{raw: data, text: text}
}

// close ends a complete answer. What follows the last event is the end of the
// body; a line that has more is not used again.
func (s *stream) close() {
	s.line.SetWait(s.service.IdleTimeout.Duration)
	rest, err := io.Copy(io.Discard, io.LimitReader(s.rd, maxEventBytes))
	end := s.end(s.promptTokens())
	if s.usage.known && s.passed == s.attempt {
		s.entry.prompts.learn(s.service.Service.Number, len(s.body), s.usage.prompt-s.usage.cached)
	}
	s.drop(err == nil && rest <= 2)
	s.done(end)
	s.charged += end.Cost
	s.ended = true
}

// abandon ends the exchange because the caller went away.
func (s *stream) abandon() {
	if s.ended {
		return
	}
	end := s.end(s.promptTokens())
	end.Fate = wire.FateWithdrawn
	if s.line != nil {
		s.drop(false)
	}
	s.entry.core.finish(s.exchange, end)
	s.ended = true
}

// pipe passes the events on to the caller. A stream that can't be completed
// ends with an error event and a broken connection, never cleanly.
func (s *stream) pipe(w *bufio.Writer, current *part) {
	for current != nil {
		if !writeEvent(w, current.raw) {
			s.abandon()
			return
		}
		following, p, err := s.next()
		if errors.Is(err, errEnded) {
			writeEvent(w, doneMark)
			s.entry.observe(s.exchange, fasthttp.StatusOK, "", s.charged)
			return
		}
		if p != nil {
			s.cut(w, p)
			return
		}
		current = following
	}
}

// cut breaks the caller's connection after an error event.
func (s *stream) cut(w *bufio.Writer, p *problem) {
	body, err := json.Marshal(errorBody{Error: errorDetail{Message: p.message, Type: "server_error", Code: p.code}})
	if err == nil {
		writeEvent(w, body)
	}
	s.caller.Close()
	s.entry.observe(s.exchange, p.status, OutcomeUnknown, s.charged)
}

func writeEvent(w *bufio.Writer, data []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
