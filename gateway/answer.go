package gateway

import (
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
)

const (
	mostHeadTime    = 500 * time.Millisecond
	mostDrainTime   = 100 * time.Millisecond
	maxHeldBytes    = 16 << 20 // of an answer that is passed on as a whole
	maxDrainedBytes = 16 << 10 // of the body of a rejection, or of an extra answer
	maxExtras       = 3        // answers to other requests that are left out
)

// head reads the head of the answer, which has to be whole within a time, and decides what the
// answer is. The error is errExtra after one that was left out.
func (a *attempt) head(limit time.Duration) error {
	response := &fasthttp.Response{}
	response.SkipBody = a.exchange.request.Header.IsHead()
	if err := a.line.Receive(response, limit); err != nil {
		return err
	}
	a.response = response
	a.body = link.NewBody(a.line, a.response)
	a.answer = platform.DecodeAnswer(&a.response.Header)
	f := a.facts()
	if f.identified() {
		a.heed()
	}
	switch judge(f) {
	case verdictOwn:
		return nil
	case verdictStream:
		a.streams = !response.SkipBody
		return nil
	case verdictRejected:
		return errRejected
	case verdictFailed:
		return errFailed
	case verdictExtra:
		return a.skip()
	case verdictUnfit:
		return errUnfit
	default:
		return errForeign
	}
}

func (a *attempt) facts() facts {
	x := a.exchange
	return facts{
		answer: a.answer, request: x.call.ID, used: a.line.Used(), repeatable: x.route.Repeatable(),
		streaming: x.route.Kind == route.Stream, begun: x.begun,
	}
}

// skip leaves out an answer to another request that came at the place of the own one. The error
// is errExtra if the own one may follow, and errForeign if that can't be told.
func (a *attempt) skip() error {
	a.extras++
	if a.extras > maxExtras {
		return errForeign
	}
	a.exchange.gateway.record.extra(a)
	a.line.SetMore(nil)
	a.line.SetWait(a.exchange.gateway.core.allow(mostDrainTime))
	text, err := io.ReadAll(io.LimitReader(a.body, maxDrainedBytes))
	if err != nil || !a.body.Complete() || platform.ContainsStatusLine(text) {
		return errForeign
	}
	a.response, a.body, a.answer = nil, nil, platform.Answer{}
	return errExtra
}

// headTime returns how long the head of an answer that has begun may take before another target
// is looked for, also if it comes a few bytes at a time.
func (a *attempt) headTime() time.Duration {
	x := a.exchange
	left := max(leastLeft, x.remaining())
	if x.repeatable() {
		return min(left, x.gateway.core.allow(mostHeadTime))
	}
	return left
}

// read reads the whole body of the answer, which has to come in the time that the caller
// has left. It returns result, or the error of a body that is broken or too large.
func (a *attempt) read(result error) error {
	a.line.SetWait(max(leastLeft, a.exchange.remaining()))
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(a.body, maxHeldBytes))
	if err == nil && n == maxHeldBytes {
		err = errForeign
	}
	if err != nil {
		return err
	}
	a.whole = buf.Bytes()
	return result
}

// take reads the whole answer and ends the attempt.
func (a *attempt) take() error {
	if err := a.read(nil); err != nil {
		a.fail(err)
		return err
	}
	a.first()
	a.finish(placement.Done)
	a.exchange.gateway.core.clear(a.exchange.digest)
	return nil
}

// drain reads what belongs to a rejection, so that its connection can be used again, or
// closes the connection if that does not end soon.
func (a *attempt) drain() {
	a.line.SetMore(nil)
	a.line.SetWait(mostDrainTime)
	if _, err := io.Copy(io.Discard, io.LimitReader(a.body, maxDrainedBytes)); err != nil || !a.body.Complete() {
		a.line.Close()
	}
}
