package gateway

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
)

const (
	silencePauseFactor = 4        // a stream is silent after this many times the route's longest wanted pause
	streamBytes        = 16 << 10 // bytes read from a target at once
)

var (
	// errInvalidEvent means that a stream has bytes that are no event, or an event that can't follow the one before it.
	errInvalidEvent = errors.New("invalid event")
	// errUncertainEvent means the same, and that one of the events passed on may be wrong.
	errUncertainEvent = errors.New("invalid event, and an earlier one may be wrong")
	// errIncomplete means that a stream ended before it was complete.
	errIncomplete = errors.New("stream ended before it was complete")
)

// streamBody is an event stream on its way from a target to the caller. The server reads it as
// the body of its answer, and writes what it read to the caller before it reads again.
type streamBody struct {
	exchange        *exchange
	attempt         *attempt
	events          eventParser
	pending         []byte              // whole events that the server has not read yet
	ended           bool                // the target ended the stream
	concluded       bool                // the outcome is recorded
	gapObserved     bool                // a gap in the numbers of the events was recorded
	buf             []byte              // for reads from the target
	firstEventAfter time.Duration       // time from arrival to the first event
	writes          int                 // number of writes to the caller
	handedAt        time.Time           // when the server read the events that it is writing now, zero if it is writing none
	writtenAt       time.Time           // when the last event was written to the caller
	gaps            prometheus.Observer // time between writes to the caller
}

// serveStream answers a request of a streaming route. An answer of the target that is not an
// event stream is passed on as a whole.
func (g *Gateway) serveStream(ctx *fasthttp.RequestCtx, x *exchange) {
	s := &streamBody{
		exchange: x, buf: make([]byte, streamBytes), gaps: g.record.metrics.eventGap.WithLabelValues(x.service),
	}
	p := x.fixOrigin()
	if p == nil {
		p = s.begin()
	}
	if p != nil {
		g.writeProblem(ctx, x, p)
		g.endExchange(x)
		return
	}
	a := s.attempt
	platform.CopyAnswer(&ctx.Response.Header, &a.response.Header)
	if g.stopping() {
		ctx.SetConnectionClose()
	}
	if a.finished {
		a.passOn(&ctx.Response)
		g.record.answered(x, a.response.StatusCode(), "", 0)
		g.endExchange(x)
		return
	}
	x.streaming.Store(true)
	ctx.SetBodyStream(s, -1)
}

// begin reads the stream up to its first events, or the whole answer if it is not a stream.
func (s *streamBody) begin() *problem {
	x := s.exchange
	for {
		a, p := x.sendUntilAnswered()
		if p != nil {
			return p
		}
		s.attempt = a
		if a.finished {
			return nil
		}
		if !a.isStream {
			err := a.readWhole()
			if err == nil {
				return nil
			}
			if p := x.handleFailure(a, err); p != nil {
				return p
			}
			continue
		}
		err := s.readFirst()
		if err == nil {
			s.firstEventAfter = time.Since(x.arrived)
			x.beginStream(s.attempt)
			return nil
		}
		if p := s.handleBreak(err); p != nil {
			return p
		}
	}
}

// beginStream is called when the first events of a stream are about to be passed on. From then on the stream is bound to
// the software version of their target.
func (x *exchange) beginStream(a *attempt) {
	x.streamBegun = true
	x.ask.FixVersion(a.version)
	x.noteOrigin(a.version)
}

// readFirst reads the first events of an attempt. They have to follow the last one that the
// caller has. A stream without events is accepted only if the caller itself asked to resume one.
func (s *streamBody) readFirst() error {
	x := s.exchange
	s.events = newEventParser(x.gateway.numberings.of(x.service), x.lastEvent, x.route.Resumable)
	x.holdEvents(s.attempt)
	if err := s.readEvents(); err != nil {
		return err
	}
	switch {
	case len(s.pending) > 0:
	case x.streamBegun || x.lastEvent == "" || s.events.skippedBytes > 0:
		s.ended = false
		return errIncomplete
	}
	return nil
}

// handleBreak finishes an attempt whose stream failed. It returns a problem if the request may
// not be sent again.
func (s *streamBody) handleBreak(err error) *problem {
	s.attempt.finishFailed(err)
	return s.exchange.handleFailure(s.attempt, err)
}

// readEvents reads until whole events have come or the stream has ended. All its reads share one
// timeout, which bytes that are not an event do not extend. The error is link.ErrSilent,
// link.ErrBroken, errInvalidEvent or errUncertainEvent.
func (s *streamBody) readEvents() error {
	x, a := s.exchange, s.attempt
	a.conn.SetWait(s.eventTimeout())
	for len(s.pending) == 0 && !s.ended {
		n, err := a.body.Read(s.buf)
		if x.takeover != nil {
			return link.ErrSilent // the target that took over sends what was not passed on
		}
		whole, ok := s.events.feed(s.buf[:n])
		s.observeGap()
		if !ok {
			return s.invalidEvent()
		}
		if !x.heldEvents.Resize(int64(cap(s.events.partial))) {
			s.events.partial = nil
			x.gateway.record.answerOversized(a)
			return held.ErrTooLarge
		}
		if len(whole) > 0 && !a.recordProgress() {
			return link.ErrSilent // the target that took over sends these events again
		}
		if len(whole) > 0 {
			if s.writes == 0 || a.heldLoad.Prompt > 0 {
				a.recordFirst()
			}
			s.pending = whole
		}
		switch {
		case err == nil:
		case len(whole) > 0:
			return nil // the next read returns the error again
		case !errors.Is(err, io.EOF):
			return err
		case len(s.events.partial) > 0:
			return link.ErrBroken
		default:
			s.ended = true
			return nil
		}
	}
	if x.isAborted() {
		return link.ErrBroken
	}
	return nil
}

// observeGap records the first gap in the numbers of the stream.
func (s *streamBody) observeGap() {
	if s.events.gap && !s.gapObserved {
		s.gapObserved = true
		s.observeNumbering()
	}
}

// observeNumbering records whether the numbers of the stream had a gap.
func (s *streamBody) observeNumbering() {
	x := s.exchange
	if n, changed := x.gateway.numberings.observe(x.service, s.gapObserved); changed {
		x.gateway.record.numberingChanged(x.service, n, x.call.ID)
	}
}

// invalidEvent returns the error of a stream that the parser refuses.
func (s *streamBody) invalidEvent() error {
	if s.events.uncertain && s.writes > 0 {
		return errors.Wrap(errUncertainEvent, s.events.problem)
	}
	return errors.Wrap(errInvalidEvent, s.events.problem)
}

// eventTimeout returns how long to wait for the next event before the request is sent to another
// target as well.
func (s *streamBody) eventTimeout() time.Duration {
	x := s.exchange
	left := max(minRemaining, x.remaining())
	if !x.canHedge() || x.hasAllEvents() {
		return left
	}
	return min(left, x.gateway.core.timeoutWithLag(max(silencePauseFactor*x.route.TargetEventGap, maxStreamPause)))
}

// Read implements io.Reader. A stream that breaks and can't be resumed at another target closes
// the connection to the caller, so that it never looks complete.
func (s *streamBody) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if err := s.advance(); err != nil {
			return 0, err
		}
	}
	if s.handedAt.IsZero() {
		s.handedAt = time.Now()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// advance waits for the next events once the previous ones are written. It returns io.EOF after a
// complete stream and errIncomplete after any other.
func (s *streamBody) advance() error {
	if !s.handedAt.IsZero() {
		s.recordWrite()
	}
	if reason := s.stopReason(); reason != "" {
		return s.conclude(reason)
	}
	if !s.ended {
		if err := s.readEvents(); err != nil {
			if reason := s.resume(err); reason != "" {
				return s.conclude(reason)
			}
		}
	}
	if len(s.pending) == 0 {
		return s.conclude("")
	}
	return nil
}

// Close implements io.Closer. The server closes a stream early if it can't write to the caller.
func (s *streamBody) Close() error {
	if !s.concluded {
		reason := reasonCallerGone
		if x := s.exchange; x.isAborted() {
			reason = x.abortReason
		}
		_ = s.conclude(reason) // returns errIncomplete, which the server already knows
	}
	s.exchange.gateway.endExchange(s.exchange)
	return nil
}

// conclude records the outcome of the stream. An empty reason means that it is complete.
func (s *streamBody) conclude(reason string) error {
	x := s.exchange
	s.concluded = true
	if reason == "" {
		s.attempt.finish(placement.Done)
		x.gateway.origins.streams.End(x.originKey())
		if !s.gapObserved && x.eventsPassed() > 1 {
			s.observeNumbering()
		}
		x.gateway.lengths.observe(x.route.Name, s.firstEventAfter, time.Since(x.arrived), x.eventsPassed())
		x.gateway.record.streamed(x, s, "")
		return io.EOF
	}
	outcome := placement.Failed
	if reason == reasonCallerGone || reason == reasonStopping || reason == reasonPoison {
		outcome = placement.CallerLeft
	}
	s.attempt.finish(outcome)
	x.caller.Close()
	x.gateway.record.streamed(x, s, reason)
	return errIncomplete
}

// recordWrite records that the last events were written to the caller.
func (s *streamBody) recordWrite() {
	x := s.exchange
	now := time.Now()
	x.gateway.record.times.add(activityPass, now.Sub(s.handedAt))
	s.handedAt = time.Time{}
	s.writes++
	if s.writes > 1 {
		pause := now.Sub(s.writtenAt)
		x.gateway.core.onEventGap(x.target, pause)
		x.gapCount++
		x.gapTotal += pause
		s.gaps.Observe(pause.Seconds())
	}
	s.writtenAt = now
	x.lastWrite.Store(int64(now.Sub(x.arrived)))
	x.lastEvent = s.events.lastID
}

// stopReason returns why the stream has to end before the target ends it, or an empty string.
func (s *streamBody) stopReason() string {
	switch x := s.exchange; {
	case x.isAborted() && (x.abortReason != reasonStopping || !s.ended):
		return x.abortReason
	case x.remaining() <= 0 && !s.ended:
		return reasonTimeout
	}
	return ""
}

// resume continues the stream at another target after an error. It returns the reason if that
// is not possible.
func (s *streamBody) resume(err error) string {
	x := s.exchange
	if x.isAborted() {
		return x.abortReason
	}
	if x.remaining() < minRemaining {
		return reasonTimeout
	}
	if errors.Is(err, errUncertainEvent) {
		s.attempt.finishFailed(err)
		x.recordFailure(s.attempt, err)
		return reasonTargetFailed
	}
	for {
		if p := s.handleBreak(err); p != nil {
			return p.reason
		}
		a, p := x.sendUntilAnswered()
		if p != nil {
			return p.reason
		}
		s.attempt = a
		if err = s.readFirst(); err == nil {
			x.gateway.record.streamResumed(x)
			return ""
		}
	}
}
