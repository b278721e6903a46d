package gateway

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
)

const (
	maxHeadTime     = 500 * time.Millisecond // from the first byte of the head of an answer to its end, if the request can go elsewhere
	maxDrainTime    = 100 * time.Millisecond // to read the rest of an answer that is not passed on
	maxHeldBytes    = 16 << 20               // body of an answer that is passed on as a whole
	maxDrainedBytes = 16 << 10               // body of a rejection or of an extra answer
	maxExtraAnswers = 3                      // answers to other requests that are discarded per attempt
)

// readHead reads the head of the answer within a time limit and classifies the answer. The error
// is errExtra if an answer to another request was discarded and the right one may follow.
func (a *attempt) readHead(limit time.Duration) error {
	response := &fasthttp.Response{}
	response.SkipBody = a.exchange.request.Header.IsHead()
	if err := a.conn.Receive(response, limit); err != nil {
		return err
	}
	a.response = response
	a.body = link.NewBody(a.conn, a.response)
	a.exchange.framed = a.body.Framed()
	a.answer = platform.DecodeAnswer(&a.response.Header)
	f := a.answerFacts()
	if f.identified() {
		a.applyNotices()
	}
	switch classifyAnswer(f) {
	case classComplete:
		return nil
	case classStream:
		a.isStream = !response.SkipBody
		return nil
	case classRejected:
		return errRejected
	case classFailed:
		return errFailed
	case classExtra:
		return a.skipExtra()
	case classMismatch:
		return errNotContinuation
	default:
		return errInvalidAnswer
	}
}

// answerFacts collects what classifyAnswer needs to know about the answer.
func (a *attempt) answerFacts() answerFacts {
	x := a.exchange
	return answerFacts{
		answer: a.answer, requestID: x.call.ID, reused: a.conn.Used(), repeatable: x.route.Repeatable(),
		streaming: x.route.Kind == route.Stream, begun: x.streamBegun,
	}
}

// skipExtra discards an answer to another request that came before the answer to this one. The
// error is errExtra if the right answer may follow, and errInvalidAnswer if that is uncertain.
func (a *attempt) skipExtra() error {
	a.extraAnswers++
	if a.extraAnswers > maxExtraAnswers {
		return errInvalidAnswer
	}
	a.exchange.gateway.record.extraAnswer(a)
	a.conn.SetTimeoutFunc(nil)
	a.conn.SetWait(a.exchange.gateway.core.timeoutWithLag(maxDrainTime))
	text, err := io.ReadAll(io.LimitReader(a.body, maxDrainedBytes))
	if err != nil || !a.body.Complete() || platform.ContainsStatusLine(text) {
		return errInvalidAnswer
	}
	a.response, a.body, a.answer = nil, nil, platform.Answer{}
	return errExtra
}

// headTimeout returns how long the head may take from its first byte to its last before the
// request is sent to another target as well. Bytes that trickle in do not extend it.
func (a *attempt) headTimeout() time.Duration {
	x := a.exchange
	left := max(minRemaining, x.remaining())
	if x.canHedge() {
		return min(left, x.gateway.core.timeoutWithLag(maxHeadTime))
	}
	return left
}

// readBody reads the whole body of the answer before the deadline of the exchange. It returns
// result, or the error of a body that is broken or too large.
func (a *attempt) readBody(result error) error {
	a.conn.SetWait(max(minRemaining, a.exchange.remaining()))
	answer := a.exchange.gateway.held.NewAnswer(a.choice.Target, a.conn.Close)
	body, err := answer.ReadAll(a.body, maxHeldBytes)
	if err != nil {
		answer.Release()
		if errors.Is(err, held.ErrTooLarge) {
			a.exchange.gateway.record.answerOversized(a)
		}
		return err
	}
	a.fullBody, a.heldBody = body, answer
	return result
}

// passOn sets the whole answer as that to the caller. A large body is held until it is written.
func (a *attempt) passOn(response *fasthttp.Response) {
	response.SkipBody = a.response.SkipBody
	if len(a.fullBody) <= held.FreeBytes || response.SkipBody {
		a.heldBody.Release()
		response.SetBodyRaw(a.fullBody)
		return
	}
	response.SetBodyStream(held.NewBody(a.fullBody, a.heldBody, a.exchange.dropReader), len(a.fullBody))
}

// readWhole reads the whole answer and finishes the attempt.
func (a *attempt) readWhole() error {
	if err := a.readBody(nil); err != nil {
		a.finishFailed(err)
		return err
	}
	a.recordFirst()
	a.finish(placement.Done)
	return nil
}

// drainRejection reads the body of a rejection, so that its connection can be reused. It closes
// the connection if the body is too long or does not end soon.
func (a *attempt) drainRejection() {
	a.conn.SetTimeoutFunc(nil)
	a.conn.SetWait(maxDrainTime)
	if _, err := io.Copy(io.Discard, io.LimitReader(a.body, maxDrainedBytes)); err != nil || !a.body.Complete() {
		a.conn.Close()
	}
}
