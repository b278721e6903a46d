package gateway

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/route"
)

const (
	soundPause   = 1500 * time.Millisecond // that a sound target may make in a stream
	lookAgain    = 250 * time.Millisecond  // after another target was looked for in vain, twice as long each time
	mostLook     = time.Second             // between two looks
	leastLook    = 100 * time.Millisecond  // of the caller's time, to look for another target
	lookTime     = 100 * time.Millisecond  // in which a place at another target is found, and again in which it is connected to
	refusalTime  = 250 * time.Millisecond  // in which the other target may refuse a stream
	refusalCheck = 25 * time.Millisecond   // between two looks at what it says
)

// What became of a look for another target while one is silent, as it stands in the log.
const (
	lookMoved    = "moved"
	lookResumed  = "target-resumed"      // the silent one went on meanwhile
	lookSpent    = "no-repeat-left"      // the allowance of repeats is used up
	lookNoTarget = "no-other-target"     // no other target has room
	lookFailed   = "other-target-failed" // another one was asked and did not take the request
)

// more is asked when the wait for the target is over, and returns how much longer to wait for it.
// A target that is silent may go on, and a connection that is closed ends its run: it is left
// only for another one that has the request and had time to refuse it. Until then what it sends
// is read on. What arrived while this host stood still is no silence, once: bytes that are no answer
// arrive without end.
func (a *attempt) more() time.Duration {
	x := a.exchange
	left := x.remaining()
	switch {
	case left < leastLeft || x.left():
		return 0
	case !a.excused && (a.line.FirstBytesUnread() || a.line.StalledWithUnread()):
		a.excused = true
		return min(left, leastSilence)
	case x.beside != nil:
		return min(left, a.compare())
	case !x.repeatable() || left < leastLook || x.hasAll():
		return left
	}
	if outcome := x.look(a); outcome != "" {
		return min(left, a.stay(outcome))
	}
	return refusalCheck
}

// stay notes a look in vain and returns the time until the next one.
func (a *attempt) stay(outcome string) time.Duration {
	a.exchange.gateway.record.silence(a.exchange, a, outcome)
	a.looked = min(mostLook, max(lookAgain, 2*a.looked))
	return a.looked
}

// look sends the request to another target beside a silent one. It returns why that can't be,
// and asks what costs least first: the allowance, a place, and then the target itself.
func (x *exchange) look(a *attempt) string {
	switch {
	case x.checkSend() != nil:
		return lookNoTarget
	case !x.gateway.core.maySpend(x.service):
		return lookSpent
	}
	choice, ok := x.placeBeside(a)
	owner := x.owner
	x.owner = a.owner
	switch {
	case !ok:
		return lookNoTarget
	case a.line.FirstBytesUnread():
		x.giveBack(choice)
		return lookResumed
	case !x.gateway.core.spend(x.service):
		x.giveBack(choice)
		return lookSpent
	}
	ctx, cancel := link.WithLimit(x.gateway.ctx, min(x.remaining(), x.gateway.core.allow(lookTime)))
	defer cancel()
	b, err := x.start(ctx, choice)
	b.owner, x.target = owner, a.choice.Target
	if err != nil {
		x.failed(b, err)
		return lookFailed
	}
	x.beside = b
	return ""
}

// placeBeside gets a place that is free now at another target than that of an attempt.
func (x *exchange) placeBeside(a *attempt) (placement.Choice, bool) {
	excluded := x.ask.Excluded
	x.ask.Excluded = append(slices.Clone(excluded), a.choice.Target)
	x.hurry = awake() + x.gateway.core.allow(lookTime)
	choice, p := x.place()
	x.hurry = 0
	x.ask.Excluded = excluded
	return choice, p == nil
}

// compare looks at what the target beside a silent one says, and returns how much longer to wait for
// the silent one. The other one has the request once it has answered. A stream is at work at one of the two
// only: the other one has it once it had time to refuse, and the silent one does not keep a stream that the
// other one may have run in vain.
func (a *attempt) compare() time.Duration {
	x := a.exchange
	b := x.beside
	err := b.listen()
	switch {
	case err != nil && !errors.Is(err, link.ErrSilent) && !errors.Is(err, errExtra):
		x.beside = nil
		x.failed(b, b.settle(err))
		if x.route.Kind == route.Stream && mayHaveRun(err) {
			a.finish(placement.Silent)
			x.gateway.record.silence(x, a, lookFailed)
			return 0
		}
		return a.stay(lookFailed)
	case err != nil && (x.route.Kind != route.Stream || time.Since(b.sent) < refusalTime):
		return refusalCheck
	}
	a.finish(placement.Silent)
	x.handOver(a, link.ErrSilent)
	return 0
}

// listen reads the head of the answer if it has begun. The error is link.ErrSilent if it has not, or not
// all of it came.
func (a *attempt) listen() error {
	if a.response != nil {
		return nil
	}
	if !a.line.HasInput() {
		return link.ErrSilent
	}
	return a.head(refusalCheck)
}

// handOver lets the target beside a failed one take over.
func (x *exchange) handOver(a *attempt, err error) {
	x.gateway.record.silence(x, a, lookMoved)
	x.failed(a, err)
	x.relief, x.beside = x.beside, nil
	x.pauses, x.paused = 0, 0
}

// takeRelief returns the attempt that took over, to be gone on with, or nil.
func (x *exchange) takeRelief() *attempt {
	a := x.relief
	if a == nil {
		return nil
	}
	x.relief, x.choice, x.owner, x.target = nil, a.choice, a.owner, a.choice.Target
	return a
}

// mayHaveRun returns whether a target may have run a request that it did not answer.
func mayHaveRun(err error) bool { return resultOf(err) >= retry.Failed }

// goesOn takes a sign of life of the target. If another one was asked meanwhile, one of the two is left: no
// stream is at work at both for long, and the other one may have begun. It returns false if this target is.
func (a *attempt) goesOn() bool {
	a.looked, a.excused = 0, false
	a.alive = time.Now()
	x := a.exchange
	switch {
	case x.beside == nil:
		return true
	case x.route.Kind == route.Stream:
		return a.keepsStream()
	}
	x.beside.finish(placement.Returned)
	x.beside = nil
	x.history.Take(retry.Silent)
	x.gateway.record.silence(x, a, lookResumed)
	return true
}

// keepsStream decides which of two targets a stream stays at, once the silent one went on: there, if the other
// one refuses it in the time for that.
func (a *attempt) keepsStream() bool {
	x := a.exchange
	b := x.beside
	err := b.wait(refusalTime - time.Since(b.sent))
	switch {
	case errors.Is(err, errRejected):
		x.beside = nil
		x.failed(b, b.settle(err))
		x.gateway.record.silence(x, a, lookResumed)
		return true
	case err == nil || errors.Is(err, link.ErrSilent) || errors.Is(err, errExtra):
		a.finish(placement.Withdrawn)
		x.handOver(a, link.ErrSilent)
	default:
		x.beside = nil
		x.failed(b, b.settle(err))
		a.finish(placement.Withdrawn)
		x.gateway.record.silence(x, a, lookFailed)
	}
	return false
}

// wait is listen after a wait for the answer to begin.
func (a *attempt) wait(limit time.Duration) error {
	if a.response == nil && limit > 0 {
		if err := a.line.Await(limit); err != nil {
			return err
		}
	}
	return a.listen()
}

// dismiss ends what other targets still have of an exchange that is over.
func (x *exchange) dismiss() {
	for _, a := range []*attempt{x.beside, x.relief} {
		if a != nil {
			a.finish(placement.Withdrawn)
		}
	}
	x.beside, x.relief = nil, nil
}
