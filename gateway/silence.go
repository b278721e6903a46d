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
	maxStreamPause   = 1500 * time.Millisecond // that a sound target may make in a stream
	hedgeRetryMin    = 250 * time.Millisecond  // after another target was looked for in vain, twice as long each time
	hedgeRetryMax     = time.Second             // between two looks
	minHedgeTime    = 100 * time.Millisecond  // of the caller's time, to look for another target
	hedgeSetupTimeout     = 100 * time.Millisecond  // in which a place at another target is found, and again in which it is connected to
	refusalTimeout  = 250 * time.Millisecond  // in which the other target may refuse a stream
	hedgePollInterval = 25 * time.Millisecond   // between two looks at what it says
)

// What became of a look for another target while one is silent, as it stands in the log.
const (
	hedgeMoved    = "moved"
	hedgeResumed  = "target-resumed"      // the silent one went on meanwhile
	hedgeNoRetryLeft    = "no-repeat-left"      // the allowance of repeats is used up
	hedgeNoTarget = "no-other-target"     // no other target has room
	hedgeFailed   = "other-target-failed" // another one was asked and did not take the request
)

// extendWait is asked when the wait for the target is over, and returns how much longer to wait for it.
// A target that is silent may go on, and a connection that is closed ends its run: it is left
// only for another one that has the request and had time to refuse it. Until then what it sends
// is read on. What arrived while this host stood still is no silence, once: bytes that are no answer
// arrive without end.
func (a *attempt) extendWait() time.Duration {
	x := a.exchange
	left := x.remaining()
	switch {
	case left < leastLeft || x.left():
		return 0
	case !a.excused && (a.line.Arrived() || a.line.Overslept()):
		a.excused = true
		return min(left, leastSilence)
	case x.beside != nil:
		return min(left, a.checkHedge())
	case !x.repeatable() || left < minHedgeTime || x.hasAll():
		return left
	}
	if outcome := x.startHedge(a); outcome != "" {
		return min(left, a.backOff(outcome))
	}
	return hedgePollInterval
}

// backOff notes a look in vain and returns the time until the next one.
func (a *attempt) backOff(outcome string) time.Duration {
	a.exchange.gateway.record.silence(a.exchange, a, outcome)
	a.looked = min(hedgeRetryMax, max(hedgeRetryMin, 2*a.looked))
	return a.looked
}

// startHedge sends the request to another target beside a silent one. It returns why that can't be,
// and asks what costs least first: the allowance, a place, and then the target itself.
func (x *exchange) startHedge(a *attempt) string {
	switch {
	case x.checkSend() != nil:
		return hedgeNoTarget
	case !x.gateway.core.maySpend(x.service):
		return hedgeNoRetryLeft
	}
	choice, ok := x.placeHedge(a)
	owner := x.owner
	x.owner = a.owner
	switch {
	case !ok:
		return hedgeNoTarget
	case a.line.Arrived():
		x.giveBack(choice)
		return hedgeResumed
	case !x.gateway.core.spend(x.service):
		x.giveBack(choice)
		return hedgeNoRetryLeft
	}
	ctx, cancel := link.WithLimit(x.gateway.ctx, min(x.remaining(), x.gateway.core.timeoutWithLag(hedgeSetupTimeout)))
	defer cancel()
	b, err := x.start(ctx, choice)
	b.owner, x.target = owner, a.choice.Target
	if err != nil {
		x.failed(b, err)
		return hedgeFailed
	}
	x.beside = b
	return ""
}

// placeHedge gets a place that is free now at another target than that of an attempt.
func (x *exchange) placeHedge(a *attempt) (placement.Choice, bool) {
	excluded := x.ask.Excluded
	x.ask.Excluded = append(slices.Clone(excluded), a.choice.Target)
	x.hurry = awake() + x.gateway.core.timeoutWithLag(hedgeSetupTimeout)
	choice, p := x.place()
	x.hurry = 0
	x.ask.Excluded = excluded
	return choice, p == nil
}

// checkHedge looks at what the target beside a silent one says, and returns how much longer to wait for
// the silent one. The other one has the request once it has answered. A stream is at work at one of the two
// only: the other one has it once it had time to refuse, and the silent one does not keep a stream that the
// other one may have run in vain.
func (a *attempt) checkHedge() time.Duration {
	x := a.exchange
	b := x.beside
	err := b.tryReadHead()
	switch {
	case err != nil && !errors.Is(err, link.ErrSilent) && !errors.Is(err, errExtra):
		x.beside = nil
		x.failed(b, b.settle(err))
		if x.route.Kind == route.Stream && mayHaveRun(err) {
			a.finish(placement.Silent)
			x.gateway.record.silence(x, a, hedgeFailed)
			return 0
		}
		return a.backOff(hedgeFailed)
	case err != nil && (x.route.Kind != route.Stream || time.Since(b.sent) < refusalTimeout):
		return hedgePollInterval
	}
	a.finish(placement.Silent)
	x.switchToHedge(a, link.ErrSilent)
	return 0
}

// tryReadHead reads the head of the answer if it has begun. The error is link.ErrSilent if it has not, or not
// all of it came.
func (a *attempt) tryReadHead() error {
	if a.response != nil {
		return nil
	}
	if !a.line.Begun() {
		return link.ErrSilent
	}
	return a.head(hedgePollInterval)
}

// switchToHedge lets the target beside a failed one take over.
func (x *exchange) switchToHedge(a *attempt, err error) {
	x.gateway.record.silence(x, a, hedgeMoved)
	x.failed(a, err)
	x.relief, x.beside = x.beside, nil
	x.pauses, x.paused = 0, 0
}

// adoptHedge returns the attempt that took over, to be gone on with, or nil.
func (x *exchange) adoptHedge() *attempt {
	a := x.relief
	if a == nil {
		return nil
	}
	x.relief, x.choice, x.owner, x.target = nil, a.choice, a.owner, a.choice.Target
	return a
}

// mayHaveRun returns whether a target may have run a request that it did not answer.
func mayHaveRun(err error) bool { return resultOf(err) >= retry.Failed }

// noteProgress takes a sign of life of the target. If another one was asked meanwhile, one of the two is left: no
// stream is at work at both for long, and the other one may have begun. It returns false if this target is.
func (a *attempt) noteProgress() bool {
	a.looked, a.excused = 0, false
	a.alive = time.Now()
	x := a.exchange
	switch {
	case x.beside == nil:
		return true
	case x.route.Kind == route.Stream:
		return a.resolveStreamHedge()
	}
	x.beside.finish(placement.Returned)
	x.beside = nil
	x.history.Take(retry.Silent)
	x.gateway.record.silence(x, a, hedgeResumed)
	return true
}

// resolveStreamHedge decides which of two targets a stream stays at, once the silent one went on: there, if the other
// one refuses it in the time for that.
func (a *attempt) resolveStreamHedge() bool {
	x := a.exchange
	b := x.beside
	err := b.awaitHead(refusalTimeout - time.Since(b.sent))
	switch {
	case errors.Is(err, errRejected):
		x.beside = nil
		x.failed(b, b.settle(err))
		x.gateway.record.silence(x, a, hedgeResumed)
		return true
	case err == nil || errors.Is(err, link.ErrSilent) || errors.Is(err, errExtra):
		a.finish(placement.Withdrawn)
		x.switchToHedge(a, link.ErrSilent)
	default:
		x.beside = nil
		x.failed(b, b.settle(err))
		a.finish(placement.Withdrawn)
		x.gateway.record.silence(x, a, hedgeFailed)
	}
	return false
}

// awaitHead is listen after a awaitHead for the answer to begin.
func (a *attempt) awaitHead(limit time.Duration) error {
	if a.response == nil && limit > 0 {
		if err := a.line.Await(limit); err != nil {
			return err
		}
	}
	return a.tryReadHead()
}

// cancelHedges ends what other targets still have of an exchange that is over.
func (x *exchange) cancelHedges() {
	for _, a := range []*attempt{x.beside, x.relief} {
		if a != nil {
			a.finish(placement.Withdrawn)
		}
	}
	x.beside, x.relief = nil, nil
}
