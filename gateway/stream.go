package gateway

import (
	"bufio"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/target"
)

const (
	silencePauses = 4 // pauses between events after which a stream counts as silent
	streamBytes   = 16 << 10
)

// errOrder means that an event does not follow the one before it.
var errOrder = errors.New("event out of order")

// flow is a stream that is passed on.
type flow struct {
	exchange *exchange
	attempt  *attempt
	events   events
	next     []byte // whole events that are not passed on yet
	done     bool   // the target ended the stream
	buf      []byte
	head     time.Duration // time to the first event
	count    int           // flushes
	passed   time.Time     // when the last event was passed on
	gaps     prometheus.Observer
}

// stream answers a request with a series of events.
func (g *Gateway) stream(ctx *fasthttp.RequestCtx, x *exchange) {
	f := &flow{
		exchange: x, buf: make([]byte, streamBytes), gaps: g.record.metrics.gap.WithLabelValues(x.service),
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
		ctx.Response.SetBodyRaw(a.whole)
		g.record.answered(x, a.response.StatusCode(), "", 0)
		g.end(x)
		return
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.end(x)
		f.pipe(w)
	})
}

// begin gets the stream up to its first event.
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
		err := f.read()
		if err == nil {
			f.head = time.Since(x.arrived)
			return nil
		}
		if p := f.broke(err); p != nil {
			return p
		}
	}
}

// broke takes the error of a stream. It returns a problem if the request may not
// be sent once more.
func (f *flow) broke(err error) *problem {
	f.events.rest = nil // a part of an event belongs to no other attempt
	f.attempt.fail(err)
	return f.exchange.lost(f.attempt, err)
}

// read reads until whole events have come or the stream has ended. It is one wait: bytes
// that are no event do not prolong it. The error is target.ErrSilent, target.ErrBroken or
// errOrder.
func (f *flow) read() error {
	x, a := f.exchange, f.attempt
	a.line.SetWait(f.patience())
	for len(f.next) == 0 && !f.done {
		n, err := a.body.Read(f.buf)
		whole, ok := f.events.take(f.buf[:n])
		if !ok {
			return errOrder
		}
		if len(whole) > 0 {
			if f.count == 0 || a.left.Prompt > 0 {
				a.first()
			}
			f.next = whole
		}
		if errors.Is(err, io.EOF) {
			if len(f.events.rest) > 0 {
				return target.ErrBroken
			}
			f.done = true
			return nil
		}
		if err != nil && len(whole) == 0 {
			return err
		}
		if err != nil {
			return nil // the next read tells again
		}
	}
	if x.left() {
		return target.ErrBroken
	}
	return nil
}

// patience returns how long to wait for the next event.
func (f *flow) patience() time.Duration {
	x := f.exchange
	left := max(leastLeft, x.remaining())
	if !x.route.Resumable || x.history.Sends+1 >= x.route.Attempts {
		return left
	}
	return min(left, x.gateway.core.allow(max(silencePauses*x.route.Pause, leastSilence)))
}

// pipe passes the stream on. A stream that breaks and can't go on at another
// target ends with a broken connection, never cleanly.
func (f *flow) pipe(w *bufio.Writer) {
	x := f.exchange
	reason := ""
	for reason == "" {
		if reason = f.pass(w); reason != "" || f.done {
			break
		}
		if err := f.read(); err != nil {
			reason = f.resume(err)
		}
	}
	if reason == "" {
		f.attempt.finish(placement.Done)
		x.gateway.core.clear(x.digest)
		x.gateway.lengths.learn(x.route.Name, time.Since(x.arrived))
		x.gateway.record.streamed(x, f, "")
		return
	}
	outcome := placement.Failed
	if reason == reasonCallerGone {
		outcome = placement.Withdrawn
	}
	f.attempt.finish(outcome)
	x.caller.Close()
	x.gateway.record.streamed(x, f, reason)
}

// pass writes the events that have come. It returns why the stream ends.
func (f *flow) pass(w *bufio.Writer) string {
	x := f.exchange
	if len(f.next) == 0 {
		return ""
	}
	began := time.Now()
	_, err := w.Write(f.next)
	if err == nil {
		err = w.Flush()
	}
	f.next = nil
	f.count++
	now := time.Now()
	x.gateway.record.busy.add(activityPass, now.Sub(began))
	if f.count > 1 {
		x.gateway.core.gap(x.target, now.Sub(f.passed))
		x.pauses++
		x.paused += now.Sub(f.passed)
		f.gaps.Observe(now.Sub(f.passed).Seconds())
	}
	f.passed = now
	x.passed.Store(int64(now.Sub(x.arrived)))
	if err != nil || x.left() {
		return reasonCallerGone
	}
	x.lastEvent = f.events.last
	if x.remaining() <= 0 {
		return reasonTimeout
	}
	return ""
}

// resume goes on with the stream at another target after an error. It returns why
// that can't be.
func (f *flow) resume(err error) string {
	x := f.exchange
	if x.left() {
		return reasonCallerGone
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
		if a.over {
			return reasonBroken
		}
		if err = f.read(); err == nil {
			break
		}
	}
	if !follows(x.lastEvent, f.next) {
		return reasonBroken
	}
	x.gateway.record.resumed(x)
	return ""
}

// follows returns whether the first of some events comes right after an event.
func follows(last string, whole []byte) bool {
	if last == "" || len(whole) == 0 {
		return true
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return false
	}
	first, err := strconv.ParseUint(idOf(whole), 10, 64)
	return err == nil && first == before+1
}

// lengths learns how long the streams of each route take.
type lengths struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// lengthWeight is the part of the newest stream in the mean.
const lengthWeight = 0.05

func (l *lengths) learn(name string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.means[name]
	if !ok {
		l.means[name] = took
		return
	}
	l.means[name] = mean + time.Duration(lengthWeight*float64(took-mean))
}

// expect returns a time that most streams of a route do not exceed.
func (l *lengths) expect(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 2 * l.means[name]
}
