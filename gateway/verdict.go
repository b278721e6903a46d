package gateway

import (
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
)

// maxStatus is the highest valid HTTP status code.
const maxStatus = 599

// answerClass says how an answer that arrived for a request is handled.
type answerClass uint8

const (
	classComplete  answerClass = iota // complete answer of the target, passed on as a whole
	classStream                       // event stream, passed on event by event
	classRejected                     // the target did not run the request
	classFailed                       // the target answered with a server error
	classExtra                        // belongs to another request; the answer to this one may follow
	classMismatch                     // not a stream, though the caller already has a part of one
	classUntrusted                    // nothing in it can be trusted
)

// answerFacts is what is known about an answer once its head has arrived.
type answerFacts struct {
	answer     platform.Answer
	requestID  string // id of the request, empty if it has none
	reused     bool   // the connection carried another request before
	repeatable bool   // the request may run more than once
	streaming  bool   // the route answers with a stream
	begun      bool   // the caller already has a part of the stream
}

// identified returns whether the answer certainly comes from the target and belongs to this request. Only
// then are notices of the target in it (leaving, paused) trusted.
func (f answerFacts) identified() bool {
	a := f.answer
	named := a.ID != "" && a.ID == f.requestID
	return !a.Spliced && (named || a.ID == "" && !f.reused)
}

// classifyAnswer classifies an answer by its head. A faulty target may write an earlier answer again, late or
// in part, so on a connection that carried another request the answer has to name the request that it belongs
// to. On a new connection there is no earlier answer. A stream that has begun can be continued only by a
// stream.
func classifyAnswer(f answerFacts) answerClass {
	a := f.answer
	named := a.ID != "" && a.ID == f.requestID
	switch {
	case a.Spliced || a.Status < fasthttp.StatusOK || a.Status > maxStatus:
		return classUntrusted
	case a.ID != "" && !named && f.reused && a.Framed:
		return classExtra
	case !named && (f.reused || a.ID != ""):
		return classUntrusted
	}
	return classifyOwnAnswer(f)
}

// classifyOwnAnswer classifies an answer that belongs to this request.
func classifyOwnAnswer(f answerFacts) answerClass {
	a := f.answer
	success := a.Status >= fasthttp.StatusOK && a.Status < fasthttp.StatusMultipleChoices
	switch {
	case a.NotRun && !success:
		return classRejected
	case a.NotRun || a.Encoded || success && !a.FromTarget:
		return classUntrusted
	case f.streaming && a.Events && a.Status == fasthttp.StatusOK:
		return classStream
	case f.begun:
		return classMismatch
	case !f.repeatable && promisesNotRun(a.Status):
		return classUntrusted
	case a.Status >= fasthttp.StatusInternalServerError:
		return classFailed
	}
	return classComplete
}

// promisesNotRun returns whether a status tells the caller that its request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}
