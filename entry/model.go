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
	eventReaderBytes = 4 << 10 // buffer for reading events
	maxEventBytes    = 1 << 20 // largest event, and largest answer that is not a stream
	promptMeanWeight = 0.05    // weight of one request in the moving average of uncached tokens per byte
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")

	errEventTooLong = errors.New("stream event of the target is too long")
	errEventInvalid = errors.New("stream event of the target is invalid")
	errAnswerEnded  = errors.New("answer ended")
)

// stream is a model request that is answered with an event stream. If an attempt breaks, another
// engine resumes the stream after the tokens already received.
type stream struct {
	*exchange
	body          []byte // as the caller sent it, with the options that streamBody sets
	wantUsage     bool   // the caller asked for the usage
	conn          *link.Conn
	response      *fasthttp.Response
	reader        *bufio.Reader
	passedTokens  int    // tokens passed on to the caller
	attemptTokens int    // tokens of the current attempt
	answerID      string // id of the answer, from the first attempt
	lastEventAt   time.Time
	usage         usage
	chargedCost   uint64 // cost reported for earlier attempts
	ended         bool
	finishReason  string
	created       int64
}

// usage is the token count of an attempt as the engine reported it.
type usage struct {
	prompt     int64
	cached     int64
	completion int64
	known      bool
}

// streamEvent is one event of the answer, or an answer that is not a stream.
type streamEvent struct {
	raw     []byte // the event's data
	text    string
	refusal *targetAnswer // set if the answer is not a stream
}

// targetAnswer is a complete answer of a target that is not a stream.
type targetAnswer struct {
	status      int
	contentType []byte
	body        []byte
}

// streamBody sets the options in the request body that make engines stream and report usage.
func streamBody(body []byte) ([]byte, error) {
	body, err := sjson.SetBytes(body, "stream", true)
	if err != nil {
		return nil, err
	}
	return sjson.SetBytes(body, "stream_options.include_usage", true)
}

// nextEvent returns the next event of the answer, errAnswerEnded after the last one, or a problem if the
// answer cannot be completed. It starts new attempts as needed.
func (s *stream) nextEvent() (*streamEvent, *problem, error) {
	for {
		if s.ended {
			return nil, nil, errAnswerEnded
		}
		if s.conn == nil {
			if p := s.connect(); p != nil {
				return nil, p, nil
			}
		}
		if s.reader == nil {
			if refused, p := s.receive(); p != nil || refused != nil {
				return refused, p, nil
			}
			continue
		}
		event, err := s.read()
		if err != nil {
			if p := s.handleLostAttempt(err); p != nil {
				return nil, p, nil
			}
			continue
		}
		if event != nil {
			return event, nil, nil
		}
	}
}

// connect waits for a slot and sends the request, with the number of tokens to skip if an earlier
// attempt had some.
func (s *stream) connect() *problem {
	for {
		conn, p := s.waitForSlot()
		if p != nil {
			return p
		}
		s.conn, s.reader, s.attemptTokens, s.usage = conn, nil, 0, usage{}
		body := s.body
		if s.passedTokens > 0 {
			resumed, err := sjson.SetBytes(body, "resume", s.passedTokens)
			if err != nil {
				return notRunProblem(fasthttp.StatusBadRequest, "bad_body", "", err.Error())
			}
			body = resumed
		}
		s.request.SetBodyRaw(body)
		err := conn.Send(s.request)
		s.mayHaveRun = s.mayHaveRun || conn.Wrote()
		if err == nil {
			return nil
		}
		if p := s.handleLostAttempt(err); p != nil {
			return p
		}
	}
}

// receive reads the head of the answer.
func (s *stream) receive() (*streamEvent, *problem) {
	s.response = &fasthttp.Response{}
	err := receive(s.conn, s.response, s.service.FirstByteTimeout.Duration)
	if err != nil {
		return nil, s.handleLostAttempt(err)
	}
	s.firstByteTime = time.Since(s.attemptStart)
	body := link.NewBody(s.conn, s.response)
	if s.response.StatusCode() == fasthttp.StatusOK {
		s.reader = bufio.NewReaderSize(body, eventReaderBytes)
		s.lastEventAt = time.Now()
		return nil, nil
	}
	return s.readRefusal(body)
}

// readRefusal reads an answer that is not a stream. After status 429 or 503 another target is
// tried; any other answer is passed on to the caller.
func (s *stream) readRefusal(body *link.Body) (*streamEvent, *problem) {
	s.conn.SetWait(s.service.IdleTimeout.Duration)
	text, err := io.ReadAll(io.LimitReader(body, maxEventBytes))
	if err != nil {
		return nil, s.handleLostAttempt(err)
	}
	status := s.response.StatusCode()
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		s.dropConn(false)
		return nil, s.retryOrFail(s.target, wire.RequestEnd{Outcome: wire.OutcomeRejected})
	}
	contentType := append([]byte(nil), s.response.Header.ContentType()...)
	s.dropConn(true)
	s.succeed(wire.RequestEnd{})
	s.ended = true
	return &streamEvent{refusal: &targetAnswer{status: status, contentType: contentType, body: text}}, nil
}

// dropConn ends the use of the connection and returns whether the attempt was preempted.
func (s *stream) dropConn(reuse bool) bool {
	preempted := s.releaseConn(s.conn, reuse)
	s.conn, s.reader = nil, nil
	return preempted
}

// handleLostAttempt accounts for a failed attempt and queues the next one, or returns a problem.
func (s *stream) handleLostAttempt(err error) *problem {
	end := s.attemptReport(0)
	s.chargedCost += end.Cost
	if s.dropConn(false) {
		err = errPreempted
	}
	return s.handleBrokenAttempt(err, end)
}

// attemptReport returns the cost and token interval of the current attempt. The prompt is charged once, with
// the attempt that ends the request, so failed attempts pass 0 for unknown. That estimate replaces
// the uncached prompt tokens if the engine reported no usage.
func (s *stream) attemptReport(unknown float64) wire.RequestEnd {
	prompt, output := s.usage.prompt-s.usage.cached, s.usage.completion
	if !s.usage.known {
		prompt, output = int64(unknown), int64(s.attemptTokens)
	}
	end := wire.RequestEnd{
		Cost: s.service.InputCost*uint64(max(0, prompt)) + s.service.OutputCost*uint64(max(0, output)),
	}
	if s.attemptTokens > 1 {
		end.TokenInterval = uint32((time.Since(s.attemptStart) - s.firstByteTime).Microseconds() / int64(s.attemptTokens))
	}
	return end
}

// promptTokens returns the estimated number of uncached tokens of the prompt.
func (s *stream) promptTokens() float64 {
	return s.entry.prompts.estimate(s.service.Service.Number, len(s.body))
}

// read reads one event. The idle limit applies to the event as a whole. It returns nil for events
// that are not passed on.
func (s *stream) read() (*streamEvent, error) {
	s.conn.SetWait(s.service.IdleTimeout.Duration)
	data, err := s.readData()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = fault.Mark(io.ErrUnexpectedEOF, link.ErrBroken)
		}
		return nil, err
	}
	if bytes.Equal(data, doneMarker) {
		s.finishAnswer()
		return nil, nil
	}
	if !gjson.ValidBytes(data) {
		return nil, fault.Mark(errEventInvalid, link.ErrBroken)
	}
	return s.recordEvent(data), nil
}

// readData returns the data of the next event. Comments and other fields count towards
// maxEventBytes, so that a target cannot send them without end. An event with unknown fields but no data is invalid,
// since its data may be what was overwritten.
func (s *stream) readData() ([]byte, error) {
	var data, text []byte
	var unknown bool
	for size := 0; ; {
		piece, err := s.reader.ReadSlice('\n')
		if size += len(piece); size > maxEventBytes {
			return nil, fault.Mark(errEventTooLong, link.ErrBroken)
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
		switch rest, isData := bytes.CutPrefix(line, dataPrefix); {
		case isData:
			data = append(data, bytes.TrimSpace(rest)...)
		case len(line) > 0:
			unknown = unknown || !isOptionalLine(line)
		case data != nil:
			return data, nil
		case unknown:
			return nil, fault.Mark(errEventInvalid, link.ErrBroken)
		}
	}
}

// isOptionalLine returns whether a line of an event is a comment, or a field that says nothing without data.
func isOptionalLine(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "event", "id", "retry":
		return true
	}
	return false
}

// recordEvent records the usage, tokens and finish reason in an event, and replaces its id by that
// of the first attempt. It returns nil if the event is not for the caller.
func (s *stream) recordEvent(data []byte) *streamEvent {
	s.lastEventAt = time.Now()
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
		s.passedTokens++
		s.attemptTokens++
		s.markAnswered()
	}
	if f := gjson.GetBytes(data, "choices.0.finish_reason").String(); f != "" {
		s.finishReason = f
	}
	id := gjson.GetBytes(data, "id").String()
	if s.answerID == "" {
		s.answerID = id
		s.created = gjson.GetBytes(data, "created").Int()
	}
	if id != s.answerID {
		if renamed, err := sjson.SetBytes(data, "id", s.answerID); err == nil {
			data = renamed
		}
	}
	return &streamEvent{raw: data, text: text}
}

// finishAnswer ends a complete answer. A connection on which more follows than the end of the body
// is not reused.
func (s *stream) finishAnswer() {
	s.conn.SetWait(s.service.IdleTimeout.Duration)
	rest, err := io.Copy(io.Discard, io.LimitReader(s.reader, maxEventBytes))
	end := s.attemptReport(s.promptTokens())
	if s.usage.known && s.passedTokens == s.attemptTokens {
		s.entry.prompts.learn(s.service.Service.Number, len(s.body), s.usage.prompt-s.usage.cached)
	}
	s.dropConn(err == nil && rest <= 2)
	s.succeed(end)
	s.chargedCost += end.Cost
	s.ended = true
}

// abandon ends the exchange after the caller disconnected.
func (s *stream) abandon() {
	if s.ended {
		return
	}
	end := s.attemptReport(s.promptTokens())
	end.Outcome = wire.OutcomeCanceled
	if s.conn != nil {
		s.dropConn(false)
	}
	s.entry.loop.finish(s.exchange, end)
	s.ended = true
}

// writeEvents passes the events on to the caller. A stream that cannot be completed ends with an
// error event and a closed connection, so that the caller does not take it for complete.
func (s *stream) writeEvents(w *bufio.Writer, current *streamEvent) {
	for current != nil {
		if !writeEvent(w, current.raw) {
			s.abandon()
			return
		}
		following, p, err := s.nextEvent()
		if errors.Is(err, errAnswerEnded) {
			writeEvent(w, doneMarker)
			s.entry.recordAnswer(s.exchange, fasthttp.StatusOK, "", s.chargedCost)
			return
		}
		if p != nil {
			s.abortCaller(w, p)
			return
		}
		current = following
	}
}

// abortCaller sends an error event and closes the caller's connection.
func (s *stream) abortCaller(w *bufio.Writer, p *problem) {
	body, err := json.Marshal(errorBody{Error: errorDetail{Message: p.message, Type: "server_error", Code: p.code}})
	if err == nil {
		writeEvent(w, body)
	}
	s.callerConn.Close()
	s.entry.recordAnswer(s.exchange, p.status, OutcomeUnknown, s.chargedCost)
}

// writeEvent writes and flushes one event. It returns whether that succeeded.
func writeEvent(w *bufio.Writer, data []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
