package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/route"
)

const (
	dialTimeout         = 300 * time.Millisecond // to connect to a target
	silenceAimFactor    = 2                      // a target is silent if its answer has not begun after this many times the route's aim,
	silenceExpectFactor = 4                      // after this many times the expected response time,
	minSilence          = 250 * time.Millisecond // and after at least this long
	keepAliveMargin     = time.Second            // an idle connection is dropped this long before the target closes it
)

var (
	// errRejected means that the target states that it did not run the request.
	errRejected = errors.New("target rejected the request")
	// errFailed means that the target answered with an error status.
	errFailed = errors.New("target answered with an error status")
	// errInvalidAnswer means that the answer can't be trusted: it belongs to another request,
	// comes from another server or breaks the protocol.
	errInvalidAnswer = errors.New("answer is invalid or belongs to another request")
	// errExtra means that an answer to another request was discarded.
	errExtra = errors.New("discarded an answer to another request")
	// errNotContinuation means that the answer does not continue a stream that the caller has a part of.
	errNotContinuation = errors.New("answer does not continue the stream")
	// errUnsent means that no byte of the request was written.
	errUnsent = errors.New("no byte of the request was sent")
)

// attempt is one send of a request to a target, and the answer to it.
type attempt struct {
	exchange     *exchange
	choice       placement.Choice
	heldLoad     placement.Load // load that the request still occupies at the target
	address      netip.AddrPort // that conn is connected to
	version      string         // software version of the target, as its entry said when the request was sent
	conn         *link.Conn
	response     *fasthttp.Response
	answer       platform.Answer
	body         *link.Body   // body of the answer, while it is read
	isStream     bool         // the answer is an event stream
	fullBody     []byte       // body of the answer, if it was read completely
	heldBody     *held.Answer // holds fullBody
	sentAt       time.Time
	extraAnswers int           // answers to other requests that came before the one to this request
	lastActivity time.Time     // when the target last sent something that counts
	hedgeBackoff time.Duration // delay before the next try to send the request to another target as well
	stallExcused bool          // the wait was already extended once because this host stalled
	slotOwner    string        // address of the host that granted the slot, empty for this host
	begun        bool          // the first event or the whole answer came
	finished     bool          // finish was called
}

// send writes the request to the chosen target. The error is errUnsent,
// link.ErrSilent or link.ErrBroken.
func (x *exchange) send(ctx context.Context, choice placement.Choice) (*attempt, error) {
	a := &attempt{exchange: x, choice: choice, heldLoad: choice.Load, slotOwner: x.slotOwner}
	to, ok := x.gateway.endpoint(choice.Target)
	if !ok || !x.ask.AllowsVersion(to.version) {
		a.finish(placement.NotSent) // the target was removed from the list or has another version meanwhile
		return a, errUnsent
	}
	address := to.address
	a.address, a.version = address, to.version
	x.target, x.targetVersion = choice.Target, to.version
	withoutID := x.call.ID == "" // without an ID, a late answer to an earlier request could be taken for its own
	conn, err := x.gateway.pool.Get(ctx, address, withoutID)
	if err != nil && x.gateway.ctx.Err() != nil { // this host is shutting down
		a.finish(placement.NotSent)
		return a, errUnsent
	}
	if err != nil {
		x.gateway.pool.CloseIdle(address)
		a.finish(placement.Unreachable)
		return a, fault.Mark(err, errUnsent)
	}
	a.conn = conn
	if x.versionChanged(a) || x.gateway.core.grantExpired(choice.Target, x.chosenAt) || !x.trackConn(conn) {
		a.finish(placement.NotSent)
		return a, errUnsent
	}
	a.sentAt = time.Now()
	a.lastActivity = a.sentAt
	err = conn.SendBytes(x.encode(platform.ForwardHeaders{
		Team: x.team, Target: choice.Target, Deadline: x.remaining(), LastEvent: x.lastEvent,
	}), max(minRemaining, x.remaining()))
	x.gateway.record.times.addSince(activitySend, a.sentAt)
	if conn.Wrote() {
		x.sends++
	}
	return a, a.settleError(err)
}

// versionChanged returns whether the entry of a target has another software version by now than when the connection of an
// attempt was asked for. It is then unknown at which version the connection is.
func (x *exchange) versionChanged(a *attempt) bool {
	to, listed := x.gateway.endpoint(a.choice.Target)
	return listed && to.version != a.version
}

// receiveHead waits for the head of the answer. The error is errRejected, errFailed,
// errInvalidAnswer, errNotContinuation, link.ErrBroken or link.ErrSilent; with errFailed, the
// answer can be passed on.
func (a *attempt) receiveHead() error {
	a.conn.SetTimeoutFunc(a.extendWait)
	if a.response != nil {
		return nil
	}
	err := errExtra
	for errors.Is(err, errExtra) {
		a.conn.SetTimeoutFunc(a.extendWait)
		if err = a.conn.Await(a.answerTimeout()); err == nil {
			err = a.readHead(a.headTimeout())
		}
	}
	if err == nil && !a.recordProgress() {
		err = link.ErrSilent
	}
	if errors.Is(err, errFailed) {
		err = a.readBody(errFailed)
	}
	return a.settleError(err)
}

// answerTimeout returns how long to wait for the answer to begin before the request is sent to
// another target as well.
func (a *attempt) answerTimeout() time.Duration {
	x := a.exchange
	left := max(minRemaining, x.remaining())
	if !x.canHedge() {
		return left
	}
	return min(left, x.gateway.core.timeoutWithLag(a.silenceThreshold()))
}

// silenceThreshold returns the time without an answer after which a target counts as silent.
func (a *attempt) silenceThreshold() time.Duration {
	r := a.exchange.route
	silence := max(silenceAimFactor*r.TargetLatency, silenceExpectFactor*a.choice.ExpectedTime, minSilence)
	if r.Kind == route.Stream {
		silence = max(silence, maxStreamPause)
	}
	return silence
}

// settleError finishes the attempt according to the error of a send, and returns the error. It
// does nothing without an error or if the attempt is already finished.
func (a *attempt) settleError(err error) error {
	switch {
	case err == nil || a.finished:
		return err
	case !a.conn.Wrote():
		a.finish(placement.Unreachable)
		return fault.Mark(err, errUnsent)
	case errors.Is(err, errRejected):
		a.drainRejection()
		if a.answer.WrongTarget {
			a.finish(placement.WrongTarget)
		} else {
			a.finish(placement.Rejected)
		}
		return err
	}
	a.finishFailed(err)
	return err
}

// finishFailed finishes an attempt that reached its target. The error decides which outcome is
// recorded for the target.
func (a *attempt) finishFailed(err error) {
	switch {
	case a.finished:
	case a.exchange.isAborted():
		a.finish(placement.CallerLeft)
	case errors.Is(err, link.ErrSilent) && time.Since(a.lastActivity) < a.silenceThreshold(): // the deadline came first
		a.finish(placement.CallerLeft)
	case errors.Is(err, errFailed):
		a.finish(placement.Failed)
	case errors.Is(err, link.ErrSilent):
		a.finish(placement.Silent)
	default:
		if a.detectCrash() {
			a.finish(placement.Unreachable)
			return
		}
		a.finish(placement.Failed)
	}
}

// finish ends the attempt with an outcome. It closes the connection, which cancels what still
// runs on it, unless the answer is complete and the connection can be reused.
func (a *attempt) finish(o placement.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	x := a.exchange
	x.endProbe()
	if a.conn != nil {
		x.untrackConn(a.conn)
		a.conn.SetTimeoutFunc(nil)
		address, ok := x.gateway.address(a.choice.Target)
		if ok && address == a.address && a.connReusable() {
			a.limitIdleTime()
			x.gateway.pool.Put(address, a.conn)
		} else {
			a.conn.Close()
		}
	}
	x.gateway.core.onEnd(x, a.choice, a.heldLoad, o, time.Since(a.sentAt))
}

// connReusable returns whether the answer was read to its end and leaves the connection in a
// state for another request.
func (a *attempt) connReusable() bool {
	return a.body != nil && a.extraAnswers == 0 && a.body.Framed() && a.body.Complete() && !a.answer.Close
}

// limitIdleTime stops the reuse of the connection shortly before the target would close it.
func (a *attempt) limitIdleTime() {
	if a.answer.KeepAlive > keepAliveMargin {
		a.conn.SetMaxIdle(a.answer.KeepAlive - keepAliveMargin)
	}
}

// recordFirst records that the first event or the whole answer arrived, and returns the time
// since the request was sent.
func (a *attempt) recordFirst() time.Duration {
	took := time.Since(a.sentAt)
	a.begun, a.exchange.probes = true, nil
	a.exchange.gapCount, a.exchange.gapTotal = 0, 0
	a.heldLoad = a.exchange.gateway.core.onFirstEvent(a.exchange, a.choice, took)
	if a.exchange.released {
		a.exchange.gateway.reportAnswers() // requests at other hosts wait for it
	}
	return took
}

// sendUntilAnswered sends the request to one target after another until one answers. The
// attempt is nil if there is a problem. The answer may be an error of the target, which is
// passed on.
func (x *exchange) sendUntilAnswered() (*attempt, *problem) {
	for {
		a, p := x.nextAttempt()
		if p != nil {
			return nil, p
		}
		err := a.receiveHead()
		if err == nil {
			return a, nil
		}
		if p := x.handleFailure(a, err); p != nil {
			if errors.Is(err, errFailed) {
				return a, nil
			}
			return nil, p
		}
	}
}

// nextAttempt returns the attempt that took over from a silent target, if there is one.
// Otherwise it chooses a target and sends the request to it.
func (x *exchange) nextAttempt() (*attempt, *problem) {
	if a := x.adoptHedge(); a != nil {
		return a, nil
	}
	for {
		if p := x.checkSend(); p != nil {
			return nil, p
		}
		choice, p := x.chooseTarget()
		x.choice = choice
		if p != nil {
			return nil, p
		}
		if p := x.clearToSend(); p != nil {
			x.returnSlot(choice)
			return nil, p
		}
		a, err := x.send(x.gateway.ctx, choice)
		if err == nil {
			return a, nil
		}
		if p := x.handleFailure(a, err); p != nil {
			return nil, p
		}
	}
}

// returnSlot gives back the slot of a chosen target to which nothing was sent.
func (x *exchange) returnSlot(choice placement.Choice) {
	x.gateway.core.onEnd(x, choice, choice.Load, placement.NotSent, 0)
}

// handleFailure records a failed attempt. It returns a problem if the request may not be sent
// again, and nil if it may be or if a hedged attempt takes over.
func (x *exchange) handleFailure(a *attempt, err error) *problem {
	if x.hedge != nil && !x.isAborted() && x.remaining() >= minRemaining {
		x.switchToHedge(a, err)
	}
	if x.takeover != nil {
		return nil
	}
	x.recordFailure(a, err)
	return x.checkRetry(err)
}

// recordFailure records a failed attempt and excludes its target from the next choice.
func (x *exchange) recordFailure(a *attempt, err error) {
	x.gateway.record.attemptFailed(x, a, err)
	x.ask.Excluded = append(x.ask.Excluded, a.choice.Target)
	x.history.Record(retryResult(err))
}

// retryResult returns what the error of an attempt means for a retry.
func retryResult(err error) retry.Result {
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

// checkRetry returns nil if the request may be sent again after an error, otherwise the problem
// to answer with.
func (x *exchange) checkRetry(err error) *problem {
	if x.isAborted() {
		return x.abortProblem()
	}
	if x.remaining() < minRemaining {
		return x.timeoutProblem()
	}
	result := retryResult(err)
	spend := func() bool { return x.gateway.core.spendRetry(x.service) }
	switch x.history.Decide(x.retryRule(), result, spend) {
	case retry.Resend:
		return nil
	case retry.Refuse:
		if result == retry.Unsent {
			return notRun(reasonUnreached, staleRetryAfter)
		}
		return notRun(reasonRejected, rejectedRetryAfter)
	default:
		return failure(fasthttp.StatusBadGateway, reasonTargetFailed)
	}
}

// canHedge returns whether the request may be sent to one more target while another still has it.
func (x *exchange) canHedge() bool {
	return x.route.Repeatable() && x.history.Sends+1 < x.route.Attempts
}

// retryRule returns the limits that the route sets for retries.
func (x *exchange) retryRule() retry.Rule {
	return retry.Rule{Repeatable: x.route.Repeatable(), Attempts: x.route.Attempts}
}
