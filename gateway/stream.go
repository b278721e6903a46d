package gateway

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
)

const (
	silencePauses = 4 // pauses between events after which a stream counts as silent
	streamBytes   = 16 << 10
)

var (
	// errOrder means that an event does not follow the one before it.
	errOrder = errors.New("event out of order")
	// errEnded means that a stream ended before it was complete.
	errEnded = errors.New("stream not complete")
)

// flow is a stream that is passed on. The server reads it as the body of its answer, and
// writes to the caller what it read before it reads again.
type flow struct {
	exchange *exchange
	attempt  *attempt
	events   events
	next     []byte // whole events that are not passed on yet
	done     bool   // the target ended the stream
	over     bool   // the outcome is noted
	buf      []byte
	head     time.Duration // time to the first event
	count    int           // writes to the caller
	handed   time.Time     // when the server got the events that it writes now, zero if there are none
	passed   time.Time     // when the last event was passed on
	gaps     prometheus.Observer
}

// stream answers a request with a series of events.
func (g *Gateway) stream(ctx *fasthttp.RequestCtx, x *exchange) {
	f := &flow{
		exchange: x, buf: make([]byte, streamBytes), gaps: g.record.metrics.eventGap.WithLabelValues(x.service),
	}
	if p := f.begin(); p != nil {
		g.problem(ctx, x, p)
		g.end(x)
		return
	}
	a := f.attempt
	platform.CopyAnswer(&ctx.Response.Header, &a.response.Header)
	if g.stopping() {
		ctx.SetConnectionClose()
	}
	if a.over {
		ctx.Response.SkipBody = a.response.SkipBody
		ctx.Response.SetBodyRaw(a.whole)
		g.record.answered(x, a.response.StatusCode(), "", 0)
		g.end(x)
		return
	}
	x.streams.Store(true)
	ctx.SetBodyStream(f, -1)
}

// begin gets the stream up to its first event, or the whole answer if that is no stream.
func (f *flow) begin() *problem {
	x := f.exchange
	for {
		a, p := x.open()
		if p != nil {
			return p
		}
		f.attempt = a
		if a.over {
			return nil
		}
		if !a.streams {
			err := a.take()
			if err == nil {
				return nil
			}
			if p := x.lost(a, err); p != nil {
				return p
			}
			continue
		}
		err := f.start()
		if err == nil {
			f.head, x.begun = time.Since(x.arrived), true
			return nil
		}
		if p := f.broke(err); p != nil {
			return p
		}
	}
}

// start reads the first events of an attempt, which have to follow the last one that the caller
// has. A stream without any is believed only if the caller itself asked for the rest of one.
func (f *flow) start() error {
	x := f.exchange
	f.events = events{}
	if err := f.read(); err != nil {
		return err
	}
	switch {
	case len(f.next) > 0:
		if x.route.Resumable && isNumber(x.lastEvent) && !follows(x.lastEvent, f.next) {
			f.next = nil
			return errOrder
		}
	case x.begun || x.lastEvent == "" || f.events.skipped > 0:
		f.done = false
		return errEnded
	}
	return nil
}

// broke takes the error of a stream. It returns a problem if the request may not
// be sent once more.
func (f *flow) broke(err error) *problem {
	f.attempt.fail(err)
	return f.exchange.lost(f.attempt, err)
}

// read reads until whole events have come or the stream has ended. It is one wait: bytes
// that are no event do not prolong it. The error is link.ErrSilent, link.ErrBroken or
// errOrder.
func (f *flow) read() error {
	x, a := f.exchange, f.attempt
	a.line.SetWait(f.patience())
	for len(f.next) == 0 && !f.done {
		n, err := a.body.Read(f.buf)
		if x.relief != nil {
			return link.ErrSilent // the other target sends again what was not passed on
		}
		whole, ok := f.events.take(f.buf[:n])
		if !ok {
			return errOrder
		}
		if len(whole) > 0 && !a.goesOn() {
			return link.ErrSilent // the other target sends them again
		}
		if len(whole) > 0 {
			if f.count == 0 || a.left.Prompt > 0 {
				a.first()
			}
			f.next = whole
		}
		switch {
		case err == nil:
		case len(whole) > 0:
			return nil // the next read tells again
		case !errors.Is(err, io.EOF):
			return err
		case len(f.events.rest) > 0:
			return link.ErrBroken
		default:
			f.done = true
			return nil
		}
	}
	if x.left() {
		return link.ErrBroken
	}
	return nil
}

// patience returns how long to wait for the next event before another target is looked for.
func (f *flow) patience() time.Duration {
	x := f.exchange
	left := max(leastLeft, x.remaining())
	if !x.repeatable() || x.hasAll() {
		return left
	}
	return min(left, x.gateway.core.allow(max(silencePauses*x.route.Pause, soundPause)))
}

// Read implements io.Reader. A stream that breaks and can't go on at another target ends with
// a broken connection, never cleanly.
func (f *flow) Read(p []byte) (int, error) {
	if len(f.next) == 0 {
		if err := f.advance(); err != nil {
			return 0, err
		}
	}
	if f.handed.IsZero() {
		f.handed = time.Now()
	}
	n := copy(p, f.next)
	f.next = f.next[n:]
	return n, nil
}

// advance waits for the next events once the last ones are passed on. It returns io.EOF after
// a complete stream, and errEnded after any other.
func (f *flow) advance() error {
	if !f.handed.IsZero() {
		f.pass()
	}
	if reason := f.stopped(); reason != "" {
		return f.end(reason)
	}
	if !f.done {
		if err := f.read(); err != nil {
			if reason := f.resume(err); reason != "" {
				return f.end(reason)
			}
		}
	}
	if len(f.next) == 0 {
		return f.end("")
	}
	return nil
}

// Close implements io.Closer. The server closes a stream that it can't write on.
func (f *flow) Close() error {
	if !f.over {
		reason := reasonCallerGone
		if x := f.exchange; x.left() {
			reason = x.why
		}
		_ = f.end(reason) // the server knows that the stream is not complete
	}
	f.exchange.gateway.end(f.exchange)
	return nil
}

// end notes the outcome of the stream, which is complete if there is no reason.
func (f *flow) end(reason string) error {
	x := f.exchange
	f.over = true
	if reason == "" {
		f.attempt.finish(placement.Done)
		x.gateway.core.clearCrashes(x.digest)
		x.gateway.lengths.learn(x.route.Name, f.head, time.Since(x.arrived), x.eventsPassed())
		x.gateway.record.streamed(x, f, "")
		return io.EOF
	}
	outcome := placement.Failed
	if reason == reasonCallerGone || reason == reasonStopping {
		outcome = placement.Withdrawn
	}
	f.attempt.finish(outcome)
	x.caller.Close()
	x.gateway.record.streamed(x, f, reason)
	return errEnded
}

// pass takes that the last events were written to the caller.
func (f *flow) pass() {
	x := f.exchange
	now := time.Now()
	x.gateway.record.times.add(activityPass, now.Sub(f.handed))
	f.handed = time.Time{}
	f.count++
	if f.count > 1 {
		pause := now.Sub(f.passed)
		x.gateway.core.onEventGap(x.target, pause)
		x.pauses++
		x.paused += pause
		f.gaps.Observe(pause.Seconds())
	}
	f.passed = now
	x.passed.Store(int64(now.Sub(x.arrived)))
	x.lastEvent = f.events.last
}

// stopped returns why the stream ends before its target ended it.
func (f *flow) stopped() string {
	switch x := f.exchange; {
	case x.left() && (x.why != reasonStopping || !f.done):
		return x.why
	case x.remaining() <= 0 && !f.done:
		return reasonTimeout
	}
	return ""
}

// resume goes on with the stream at another target after an error. It returns why
// that can't be.
func (f *flow) resume(err error) string {
	x := f.exchange
	if x.left() {
		return x.why
	}
	if x.remaining() < leastLeft {
		return reasonTimeout
	}
	for {
		if p := f.broke(err); p != nil {
			return p.reason
		}
		a, p := x.open()
		if p != nil {
			return p.reason
		}
		f.attempt = a
		if err = f.start(); err == nil {
			x.gateway.record.streamResumed(x)
			return ""
		}
	}
}
