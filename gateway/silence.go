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
	maxStreamPause    = 1500 * time.Millisecond // longest pause in a stream before the target counts as silent
	hedgeRetryMin     = 250 * time.Millisecond  // after the first failed hedge, doubled each time
	hedgeRetryMax     = time.Second             // longest time between two hedges
	minHedgeTime      = 100 * time.Millisecond  // time that the caller must have left to start a hedge
	hedgeSetupTimeout = 100 * time.Millisecond  // to find a slot for a hedge, and again to connect to its target
	refusalTimeout    = 250 * time.Millisecond  // in which the second target of a hedge may refuse a stream
	hedgePollInterval = 25 * time.Millisecond   // between two checks of the answer of the second target
)

// Outcomes of a hedge, which is the send of a request to a second target while the first one is silent, as they
// are written to the log.
const (
	hedgeMoved       = "moved"
	hedgeResumed     = "target-resumed"      // the silent target sent something meanwhile
	hedgeNoRetryLeft = "no-repeat-left"      // the retry budget is used up
	hedgeNoTarget    = "no-other-target"     // no other target has a free slot
	hedgeFailed      = "other-target-failed" // the second target did not take the request, or failed
)

// extendWait is called when the wait for the target has timed out, and returns how much longer to wait. A
// silent target may resume, and closing its connection ends its run, so it is given up only once another
// target has the request and had time to refuse it; until then its output is still read. Bytes that arrived
// while this process was stalled do not count as silence, but only once, because bytes that never form an
// answer could arrive without end.
func (a *attempt) extendWait() time.Duration {
	x := a.exchange
	left := x.remaining()
	switch {
	case left < minRemaining || x.isAborted():
		return 0
	case !a.stallExcused && (a.conn.FirstBytesUnread() || a.conn.StalledWithUnread()):
		a.stallExcused = true
		return min(left, minSilence)
	case x.hedge != nil:
		return min(left, a.checkHedge())
	case !x.canHedge() || left < minHedgeTime || x.hasAllEvents():
		return left
	}
	if outcome := x.startHedge(a); outcome != "" {
		return min(left, a.backOff(outcome))
	}
	return hedgePollInterval
}

// backOff records a failed hedge and returns the time until the next one, which doubles each time up to
// hedgeRetryMax.
func (a *attempt) backOff(outcome string) time.Duration {
	a.exchange.gateway.record.targetSilent(a.exchange, a, outcome)
	a.hedgeBackoff = min(hedgeRetryMax, max(hedgeRetryMin, 2*a.hedgeBackoff))
	return a.hedgeBackoff
}

// startHedge sends the request to a second target while the first one is silent. It returns the reason if
// that is not possible, else an empty string. The cheapest checks come first: the retry budget, then a free
// slot, then the connection to the target.
func (x *exchange) startHedge(a *attempt) string {
	switch {
	case x.checkSend() != nil:
		return hedgeNoTarget
	case !x.gateway.core.canRetry(x.service):
		return hedgeNoRetryLeft
	}
	choice, ok := x.placeHedge(a)
	owner := x.slotOwner
	x.slotOwner = a.slotOwner
	switch {
	case !ok:
		return hedgeNoTarget
	case a.conn.FirstBytesUnread():
		x.returnSlot(choice)
		return hedgeResumed
	case !x.gateway.core.spendRetry(x.service):
		x.returnSlot(choice)
		return hedgeNoRetryLeft
	}
	ctx, cancel := link.WithLimit(x.gateway.ctx, min(x.remaining(), x.gateway.core.timeoutWithLag(hedgeSetupTimeout)))
	defer cancel()
	b, err := x.send(ctx, choice)
	b.slotOwner, x.target, x.targetVersion = owner, a.choice.Target, a.version
	if err != nil {
		x.recordFailure(b, err)
		return hedgeFailed
	}
	x.hedge = b
	return ""
}

// placeHedge reserves a slot that is free now at a target other than that of attempt a.
func (x *exchange) placeHedge(a *attempt) (placement.Choice, bool) {
	excluded := x.ask.Excluded
	x.ask.Excluded = append(slices.Clone(excluded), a.choice.Target)
	x.chooseBefore = sinceBoot() + x.gateway.core.timeoutWithLag(hedgeSetupTimeout)
	choice, p := x.chooseTarget()
	x.chooseBefore = 0
	x.ask.Excluded = excluded
	return choice, p == nil
}

// checkHedge checks what the second target has answered and returns how much longer to wait for the silent
// one. A request that is not a stream moves once the second target has answered. A stream must not run at
// both targets: it moves once the second target had time to refuse it, and if the second target fails after
// it may have run the stream, the silent one is given up as well.
func (a *attempt) checkHedge() time.Duration {
	x := a.exchange
	b := x.hedge
	err := b.tryReadHead()
	switch {
	case err != nil && !errors.Is(err, link.ErrSilent) && !errors.Is(err, errExtra):
		x.hedge = nil
		x.recordFailure(b, b.settleError(err))
		if x.route.Kind == route.Stream && mayHaveRun(err) {
			a.finish(placement.Silent)
			x.gateway.record.targetSilent(x, a, hedgeFailed)
			return 0
		}
		return a.backOff(hedgeFailed)
	case err != nil && (x.route.Kind != route.Stream || time.Since(b.sentAt) < refusalTimeout):
		return hedgePollInterval
	}
	a.finish(placement.Silent)
	x.switchToHedge(a, link.ErrSilent)
	return 0
}

// tryReadHead reads the head of the answer if it has begun to arrive. It returns link.ErrSilent if the head
// has not arrived completely.
func (a *attempt) tryReadHead() error {
	if a.response != nil {
		return nil
	}
	if !a.conn.HasInput() {
		return link.ErrSilent
	}
	return a.readHead(hedgePollInterval)
}

// switchToHedge ends attempt a with err and lets the attempt at the second target replace it.
func (x *exchange) switchToHedge(a *attempt, err error) {
	x.gateway.record.targetSilent(x, a, hedgeMoved)
	x.recordFailure(a, err)
	x.takeover, x.hedge = x.hedge, nil
	x.gapCount, x.gapTotal = 0, 0
}

// adoptHedge makes the attempt that replaced a silent one the current attempt and returns it, or nil if there
// is none.
func (x *exchange) adoptHedge() *attempt {
	a := x.takeover
	if a == nil {
		return nil
	}
	x.takeover, x.choice, x.slotOwner = nil, a.choice, a.slotOwner
	x.target, x.targetVersion = a.choice.Target, a.version
	return a
}

// mayHaveRun returns whether a target may have run a request for which the send ended with err.
func mayHaveRun(err error) bool { return retryResult(err) >= retry.Failed }

// recordProgress is called when the target has sent something valid. If a second target has the request by now,
// one of the two is given up, so that no stream runs at both for long. It returns false if this attempt was
// given up, because the second target may have begun the stream.
func (a *attempt) recordProgress() bool {
	a.hedgeBackoff, a.stallExcused = 0, false
	a.lastActivity = time.Now()
	x := a.exchange
	switch {
	case x.hedge == nil:
		return true
	case x.route.Kind == route.Stream:
		return a.resolveStreamHedge()
	}
	x.hedge.finish(placement.NotSent)
	x.hedge = nil
	x.history.Record(retry.Silent)
	x.gateway.record.targetSilent(x, a, hedgeResumed)
	return true
}

// resolveStreamHedge decides which of two targets keeps a stream after the silent one has resumed. It returns
// true if this attempt keeps it, which is so only if the second target refuses the stream within
// refusalTimeout.
func (a *attempt) resolveStreamHedge() bool {
	x := a.exchange
	b := x.hedge
	err := b.awaitHead(refusalTimeout - time.Since(b.sentAt))
	switch {
	case errors.Is(err, errRejected):
		x.hedge = nil
		x.recordFailure(b, b.settleError(err))
		x.gateway.record.targetSilent(x, a, hedgeResumed)
		return true
	case err == nil || errors.Is(err, link.ErrSilent) || errors.Is(err, errExtra):
		a.finish(placement.CallerLeft)
		x.switchToHedge(a, link.ErrSilent)
	default:
		x.hedge = nil
		x.recordFailure(b, b.settleError(err))
		a.finish(placement.CallerLeft)
		x.gateway.record.targetSilent(x, a, hedgeFailed)
	}
	return false
}

// awaitHead waits up to limit for the answer to begin, and then reads its head like tryReadHead.
func (a *attempt) awaitHead(limit time.Duration) error {
	if a.response == nil && limit > 0 {
		if err := a.conn.Await(limit); err != nil {
			return err
		}
	}
	return a.tryReadHead()
}

// cancelHedges ends attempts that other targets still have when the exchange is over.
func (x *exchange) cancelHedges() {
	for _, a := range []*attempt{x.hedge, x.takeover} {
		if a != nil {
			a.finish(placement.CallerLeft)
		}
	}
	x.hedge, x.takeover = nil, nil
}
