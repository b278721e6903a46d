package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/route"
)

const (
	dialTimeout   = 300 * time.Millisecond
	crashDial     = 150 * time.Millisecond
	silenceAims   = 2 // aims after which an answer that has not begun counts as silent
	silenceExpect = 4 // expected times, likewise
	leastSilence  = 250 * time.Millisecond
	keepMargin    = time.Second // before the end of the time that a target keeps a connection
)

var (
	// errRejected means that the target says that it did not run the request.
	errRejected = errors.New("target rejected the request")
	// errFailed means that the target answered with a failure.
	errFailed = errors.New("target answered with a failure")
	// errForeign means that the answer is not that of the target to this request.
	errForeign = errors.New("answer of another request or maker")
	// errExtra means that an answer to another request was left out.
	errExtra = errors.New("extra answer")
	// errUnfit means that the answer does not go on with a stream that has begun.
	errUnfit = errors.New("answer does not go on with the stream")
	// errUnsent means that no byte was handed over.
	errUnsent = errors.New("nothing sent")
)

// attempt is one send of a request to a target.
type attempt struct {
	exchange *exchange
	choice   placement.Choice
	left     placement.Load // what the request holds at the target
	address  netip.AddrPort // that the line leads to
	line     *link.Line
	response *fasthttp.Response
	answer   platform.Answer
	body     *link.Body
	streams  bool   // the body is a series of events
	whole    []byte // body, if it was read as a whole
	sent     time.Time
	extras   int           // answers to other requests that came before the own one
	alive    time.Time     // last sign of life of the target
	looked   time.Duration // wait after the last look for another target
	excused  bool          // the wait went on for what arrived while this host stood still
	owner    string        // address of the host that gave the slot, empty for this one
	over     bool
}

// start hands the request to the target of a choice. The error is errUnsent,
// link.ErrSilent or link.ErrBroken.
func (x *exchange) start(ctx context.Context, choice placement.Choice) (*attempt, error) {
	a := &attempt{exchange: x, choice: choice, left: choice.Load, owner: x.owner}
	address, ok := x.gateway.address(choice.Target)
	if !ok {
		a.finish(placement.Returned) // it left the list meanwhile
		return a, errUnsent
	}
	x.target, a.address = choice.Target, address
	unnamed := x.call.ID == "" // its answer could not be told from an earlier one
	line, err := x.gateway.pool.Get(ctx, address, unnamed)
	if err != nil && x.gateway.ctx.Err() != nil { // the work of this host is over
		a.finish(placement.Returned)
		return a, errUnsent
	}
	if err != nil {
		x.gateway.pool.Forget(address)
		a.finish(placement.Unreached)
		return a, fault.Mark(err, errUnsent)
	}
	a.line = line
	if !x.use(line) {
		a.finish(placement.Returned)
		return a, errUnsent
	}
	a.sent = time.Now()
	a.alive = a.sent
	err = line.SendBytes(platform.AppendRequest(nil, x.request, platform.ForwardHeaders{
		Team: x.team, Target: choice.Target, Deadline: x.remaining(), LastEvent: x.lastEvent,
	}), max(leastLeft, x.remaining()))
	x.gateway.record.busy.since(activitySend, a.sent)
	if line.Wrote() {
		x.sends++
	}
	return a, a.settle(err)
}

// receive waits for the head of the answer. The error is errRejected, errFailed, errForeign,
// link.ErrBroken or link.ErrSilent; with errFailed the answer can be passed on.
func (a *attempt) receive() error {
	a.line.SetMore(a.more)
	if a.response != nil {
		return nil
	}
	err := errExtra
	for errors.Is(err, errExtra) {
		a.line.SetMore(a.more)
		if err = a.line.Await(a.patience()); err == nil {
			err = a.head(a.headTime())
		}
	}
	if err == nil && !a.goesOn() {
		err = link.ErrSilent
	}
	if errors.Is(err, errFailed) {
		err = a.read(errFailed)
	}
	return a.settle(err)
}

// patience returns how long to wait for the answer to begin before another target is looked for.
func (a *attempt) patience() time.Duration {
	x := a.exchange
	left := max(leastLeft, x.remaining())
	if !x.repeatable() {
		return left
	}
	return min(left, x.gateway.core.allow(a.silence()))
}

// silence returns the time without an answer from which a target counts as silent.
func (a *attempt) silence() time.Duration {
	r := a.exchange.route
	silence := max(silenceAims*r.Aim, silenceExpect*a.choice.Expect, leastSilence)
	if r.Kind == route.Stream {
		silence = max(silence, soundPause)
	}
	return silence
}

// settle accounts for the error of a send. One that is over was accounted for.
func (a *attempt) settle(err error) error {
	switch {
	case err == nil || a.over:
		return err
	case !a.line.Wrote():
		a.finish(placement.Unreached)
		return fault.Mark(err, errUnsent)
	case errors.Is(err, errRejected):
		a.drain()
		if a.answer.WrongTarget {
			a.finish(placement.Misdirected)
		} else {
			a.finish(placement.Rejected)
		}
		return err
	}
	a.fail(err)
	return err
}

// fail ends an attempt that reached its target, by what its error says of the
// target.
func (a *attempt) fail(err error) {
	switch {
	case a.over:
	case a.exchange.left():
		a.finish(placement.Withdrawn)
	case errors.Is(err, link.ErrSilent) && time.Since(a.alive) < a.silence(): // the caller's time is over
		a.finish(placement.Withdrawn)
	case errors.Is(err, errFailed):
		a.finish(placement.Failed)
	case errors.Is(err, link.ErrSilent):
		a.finish(placement.Silent)
	default:
		if a.crashed() {
			a.finish(placement.Unreached)
			return
		}
		a.finish(placement.Failed)
	}
}

// crashed returns whether the target that broke off can't be reached any more, and blames
// the request for that.
func (a *attempt) crashed() bool {
	x := a.exchange
	address, ok := x.gateway.address(a.choice.Target)
	if !ok {
		return false
	}
	ctx, cancel := link.WithLimit(x.gateway.ctx, x.gateway.core.allow(crashDial))
	defer cancel()
	line, err := x.gateway.pool.Get(ctx, address, true)
	if err == nil {
		x.gateway.pool.Put(address, line)
		return false
	}
	if x.gateway.ctx.Err() != nil {
		return false
	}
	x.gateway.pool.Forget(address)
	x.gateway.record.crash(x, x.gateway.core.blame(x.digest))
	return true
}

// finish ends the attempt. Unless the answer is complete, the connection is
// closed, which cancels what still runs on it.
func (a *attempt) finish(o placement.Outcome) {
	if a.over {
		return
	}
	a.over = true
	x := a.exchange
	if a.line != nil {
		x.drop(a.line)
		a.line.SetMore(nil)
		address, ok := x.gateway.address(a.choice.Target)
		if ok && address == a.address && a.complete() {
			a.keep()
			x.gateway.pool.Put(address, a.line)
		} else {
			a.line.Close()
		}
	}
	x.gateway.core.ended(x, a.choice, a.left, o, time.Since(a.sent))
}

// complete returns whether the answer was read to its end and the connection may
// be used again.
func (a *attempt) complete() bool {
	return a.body != nil && a.extras == 0 && a.body.Framed() && a.body.Complete() && !a.answer.Close
}

func (a *attempt) keep() {
	if a.answer.KeepAlive > keepMargin {
		a.line.Keep(a.answer.KeepAlive - keepMargin)
	}
}

// first takes the first event or the whole answer.
func (a *attempt) first() time.Duration {
	took := time.Since(a.sent)
	a.exchange.pauses, a.exchange.paused = 0, 0
	a.left = a.exchange.gateway.core.first(a.exchange, a.choice, took)
	return took
}

// open sends the request until a target answers it. The attempt is nil if there is
// a problem; its answer may be a failure of the target, which is passed on.
func (x *exchange) open() (*attempt, *problem) {
	for {
		a, p := x.reach()
		if p != nil {
			return nil, p
		}
		err := a.receive()
		if err == nil {
			return a, nil
		}
		if p := x.lost(a, err); p != nil {
			if errors.Is(err, errFailed) {
				return a, nil
			}
			return nil, p
		}
	}
}

// reach hands the request to a target, unless one that took over from a silent one has it.
func (x *exchange) reach() (*attempt, *problem) {
	if a := x.takeRelief(); a != nil {
		return a, nil
	}
	for {
		if p := x.checkSend(); p != nil {
			return nil, p
		}
		choice, p := x.place()
		x.choice = choice
		if p != nil {
			return nil, p
		}
		if p := x.checkSend(); p != nil {
			x.giveBack(choice)
			return nil, p
		}
		a, err := x.start(x.gateway.ctx, choice)
		if err == nil {
			return a, nil
		}
		if p := x.lost(a, err); p != nil {
			return nil, p
		}
	}
}

// giveBack returns the place of a choice at which nothing was sent.
func (x *exchange) giveBack(choice placement.Choice) {
	x.gateway.core.ended(x, choice, choice.Load, placement.Returned, 0)
}

// lost takes an attempt that failed. It returns the problem if the request may not be
// sent once more. There is none if another target takes over.
func (x *exchange) lost(a *attempt, err error) *problem {
	if x.beside != nil && !x.left() && x.remaining() >= leastLeft {
		x.handOver(a, err)
	}
	if x.relief != nil {
		return nil
	}
	x.failed(a, err)
	return x.again(err)
}

// failed notes an attempt that failed.
func (x *exchange) failed(a *attempt, err error) {
	x.gateway.record.attempt(x, a, err)
	x.ask.Excluded = append(x.ask.Excluded, a.choice.Target)
	x.history.Take(resultOf(err))
}

// resultOf returns the result of a send that brought no answer.
func resultOf(err error) retry.Result {
	switch {
	case errors.Is(err, errUnsent):
		return retry.Unsent
	case errors.Is(err, errRejected):
		return retry.Rejected
	case errors.Is(err, errFailed):
		return retry.Failed
	case errors.Is(err, link.ErrSilent):
		return retry.Silent
	default:
		return retry.Broken
	}
}

// again returns the problem if the request may not be sent once more after an
// error.
func (x *exchange) again(err error) *problem {
	if x.left() {
		return x.aborted()
	}
	if x.remaining() < leastLeft {
		return x.timeout()
	}
	result := resultOf(err)
	spend := func() bool { return x.gateway.core.spend(x.service) }
	switch x.history.Decide(x.rule(), result, spend) {
	case retry.Again:
		return nil
	case retry.Refuse:
		if result == retry.Unsent {
			return notRun(reasonUnreached, staleRetry)
		}
		return notRun(reasonRejected, rejectedRetry)
	default:
		return failure(fasthttp.StatusBadGateway, reasonTarget)
	}
}

// repeatable returns whether the request may go to one more target while one has it.
func (x *exchange) repeatable() bool {
	return x.route.Repeatable() && x.history.Sends+1 < x.route.Attempts
}

// rule returns what the route allows.
func (x *exchange) rule() retry.Rule {
	return retry.Rule{Repeatable: x.route.Repeatable(), Attempts: x.route.Attempts}
}
