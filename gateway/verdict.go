package gateway

import (
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
)

const maxStatus = 599

// answerClass is what an answer is to the request at whose place it came.
type answerClass uint8

const (
	classComplete      answerClass = iota // the answer of the target, passed on as a whole
	classStream                  // a series of events, passed on one by one
	classRejected                // the target did not run the request
	classFailed                  // a failure of the target
	classExtra                   // belongs to another request; the own answer may follow
	classMismatch                   // can't be joined with the part that the caller has
	classUntrusted                 // nothing true can be taken from it
)

// answerFacts are what is known once the head of an answer has come.
type answerFacts struct {
	answer     platform.Answer
	requestID    string // id of the request
	reused       bool   // the connection carried another request before
	repeatable bool   // the request may run more than once
	streaming  bool   // the answer to it is a stream
	begun      bool   // the caller has a part of that
}

// identified returns whether the answer is for certain that of the target to this request, so that what
// the target says of itself in it counts.
func (f answerFacts) identified() bool {
	a := f.answer
	named := a.ID != "" && a.ID == f.requestID
	return !a.Spliced && (named || a.ID == "" && !f.reused)
}

// classifyAnswer decides what an answer is by its head. A faulty target may write an earlier answer
// again, late or in part: on a connection that carried another request, an answer has to name
// the request that it is for. On a new one there is no earlier answer. A stream that has begun
// goes on with nothing but a stream.
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

// classifyOwnAnswer decides what an answer to the request itself is.
func classifyOwnAnswer(f answerFacts) answerClass {
	a := f.answer
	success := a.Status >= fasthttp.StatusOK && a.Status < fasthttp.StatusMultipleChoices
	switch {
	case a.NotRun && !success:
		return classRejected
	case a.NotRun || a.Encoded || success && !a.Sealed:
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
