package gateway

import (
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
)

const maxStatus = 599

// verdict is what an answer is to the request at whose place it came.
type verdict uint8

const (
	verdictOwn      verdict = iota // the answer of the target, passed on as a whole
	verdictStream                  // a series of events, passed on one by one
	verdictRejected                // the target did not run the request
	verdictFailed                  // a failure of the target
	verdictExtra                   // belongs to another request; the own answer may follow
	verdictUnfit                   // can't be joined with the part that the caller has
	verdictForeign                 // nothing true can be taken from it
)

// facts are what is known once the head of an answer has come.
type facts struct {
	answer     platform.Answer
	request    string // id of the request
	used       bool   // the connection carried another request before
	repeatable bool   // the request may run more than once
	streaming  bool   // the answer to it is a stream
	begun      bool   // the caller has a part of that
}

// identified returns whether the answer is for certain that of the target to this request, so that what
// the target says of itself in it counts.
func (f facts) identified() bool {
	a := f.answer
	named := a.ID != "" && a.ID == f.request
	return !a.Spliced && (named || a.ID == "" && !f.used)
}

// judge decides what an answer is by its head. A faulty target may write an earlier answer
// again, late or in part: on a connection that carried another request, an answer has to name
// the request that it is for. On a new one there is no earlier answer. A stream that has begun
// goes on with nothing but a stream.
func judge(f facts) verdict {
	a := f.answer
	named := a.ID != "" && a.ID == f.request
	switch {
	case a.Spliced || a.Status < fasthttp.StatusOK || a.Status > maxStatus:
		return verdictForeign
	case a.ID != "" && !named && f.used && a.Framed:
		return verdictExtra
	case !named && (f.used || a.ID != ""):
		return verdictForeign
	}
	return judgeOwn(f)
}

// judgeOwn decides what an answer to the request itself is.
func judgeOwn(f facts) verdict {
	a := f.answer
	success := a.Status >= fasthttp.StatusOK && a.Status < fasthttp.StatusMultipleChoices
	switch {
	case a.NotRun && !success:
		return verdictRejected
	case a.NotRun || a.Encoded || success && !a.FromTarget:
		return verdictForeign
	case f.streaming && a.Events && a.Status == fasthttp.StatusOK:
		return verdictStream
	case f.begun:
		return verdictUnfit
	case !f.repeatable && promises(a.Status):
		return verdictForeign
	case a.Status >= fasthttp.StatusInternalServerError:
		return verdictFailed
	}
	return verdictOwn
}

// promises returns whether a status tells the caller that its request has not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}
