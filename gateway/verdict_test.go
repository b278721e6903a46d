package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/platform"
)

// Answers are classified by status, request ID, seal (the header that only targets set) and framing, on new and
// on reused connections.
func TestClassifyAnswer(t *testing.T) {
	var (
		own     = platform.Answer{Status: 200, ID: "r1", FromTarget: true, Framed: true}
		other   = platform.Answer{Status: 200, ID: "r0", FromTarget: true, Framed: true}
		unnamed = platform.Answer{Status: 200, FromTarget: true, Framed: true}
	)
	with := func(a platform.Answer, change func(a *platform.Answer)) platform.Answer {
		change(&a)
		return a
	}
	status := func(a platform.Answer, status int) platform.Answer {
		return with(a, func(a *platform.Answer) { a.Status = status })
	}
	refusal := func(a platform.Answer, status int) platform.Answer {
		return with(a, func(a *platform.Answer) { a.Status, a.NotRun, a.FromTarget = status, true, false })
	}
	for name, c := range map[string]struct {
		answer       platform.Answer
		fresh, reuse answerClass // class on a new connection and on one that carried another request
	}{
		"success":                            {own, classComplete, classComplete},
		"success, no framing":                {with(own, func(a *platform.Answer) { a.Framed = false }), classComplete, classComplete},
		"success, no seal":                   {with(own, func(a *platform.Answer) { a.FromTarget = false }), classUntrusted, classUntrusted},
		"success, encoded":                   {with(own, func(a *platform.Answer) { a.Encoded = true }), classUntrusted, classUntrusted},
		"success, two heads":                 {with(own, func(a *platform.Answer) { a.Spliced = true }), classUntrusted, classUntrusted},
		"success marked as not run":          {with(own, func(a *platform.Answer) { a.NotRun = true }), classUntrusted, classUntrusted},
		"redirect":                           {status(own, 302), classComplete, classComplete},
		"client error":                       {status(own, 404), classComplete, classComplete},
		"client error, no seal":              {with(status(own, 404), func(a *platform.Answer) { a.FromTarget = false }), classComplete, classComplete},
		"failure":                            {status(own, 500), classFailed, classFailed},
		"timeout of the target":              {status(own, 504), classFailed, classFailed},
		"switching protocols":                {status(own, 101), classUntrusted, classUntrusted},
		"unknown status":                     {status(own, 600), classUntrusted, classUntrusted},
		"refusal":                            {refusal(own, 503), classRejected, classRejected},
		"refusal, wrong target":              {refusal(own, 421), classRejected, classRejected},
		"refusal, two heads":                 {with(refusal(own, 503), func(a *platform.Answer) { a.Spliced = true }), classUntrusted, classUntrusted},
		"503 not marked as not run":          {status(own, 503), classUntrusted, classUntrusted},
		"429 not marked as not run":          {status(own, 429), classUntrusted, classUntrusted},
		"408 not marked as not run":          {status(own, 408), classUntrusted, classUntrusted},
		"other request":                      {other, classUntrusted, classExtra},
		"other request, failure":             {status(other, 500), classUntrusted, classExtra},
		"other request, refusal":             {refusal(other, 503), classUntrusted, classExtra},
		"other request, refusal, no framing": {with(refusal(other, 503), func(a *platform.Answer) { a.Framed = false }), classUntrusted, classUntrusted},
		"other request, refusal, two heads":  {with(refusal(other, 503), func(a *platform.Answer) { a.Spliced = true }), classUntrusted, classUntrusted},
		"no id":                              {unnamed, classComplete, classUntrusted},
		"no id, client error":                {status(unnamed, 404), classComplete, classUntrusted},
		"no id, failure":                     {status(unnamed, 500), classFailed, classUntrusted},
		"no id, refusal":                     {refusal(unnamed, 503), classRejected, classUntrusted},
		"no id, wrong target":                {refusal(unnamed, 421), classRejected, classUntrusted},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.fresh, classifyAnswer(answerFacts{answer: c.answer, requestID: "r1"}))
			require.Equal(t, c.reuse, classifyAnswer(answerFacts{answer: c.answer, requestID: "r1", reused: true}))
			require.NotEqual(t, classRejected, classifyAnswer(answerFacts{answer: refusal(unnamed, 503), reused: true}), "a request without an id on a reused connection")
		})
	}
	for _, code := range []int{408, 429} {
		require.Equal(t, classComplete, classifyAnswer(answerFacts{answer: status(own, code), requestID: "r1", repeatable: true}))
	}
	require.Equal(t, classFailed, classifyAnswer(answerFacts{answer: status(own, 503), requestID: "r1", repeatable: true}))
}

// The answer to a request for a stream is either a stream or passed on as a whole. Once the caller has a part
// of a stream, only a stream can continue it.
func TestClassifyStreamAnswer(t *testing.T) {
	events := platform.Answer{Status: 200, ID: "r1", FromTarget: true, Framed: true, Events: true}
	with := func(change func(a *platform.Answer)) platform.Answer {
		a := events
		change(&a)
		return a
	}
	for name, c := range map[string]struct {
		answer       platform.Answer
		first, later answerClass
	}{
		"stream":                    {events, classStream, classStream},
		"no length":                 {with(func(a *platform.Answer) { a.Framed = false }), classStream, classStream},
		"other type":                {with(func(a *platform.Answer) { a.Events = false }), classComplete, classMismatch},
		"no seal":                   {with(func(a *platform.Answer) { a.FromTarget = false }), classUntrusted, classUntrusted},
		"encoded":                   {with(func(a *platform.Answer) { a.Encoded = true }), classUntrusted, classUntrusted},
		"other request":             {with(func(a *platform.Answer) { a.ID = "r0" }), classUntrusted, classUntrusted},
		"no content":                {with(func(a *platform.Answer) { a.Status = 204 }), classComplete, classMismatch},
		"partial content":           {with(func(a *platform.Answer) { a.Status = 206 }), classComplete, classMismatch},
		"redirect":                  {with(func(a *platform.Answer) { a.Status = 302 }), classComplete, classMismatch},
		"client error":              {with(func(a *platform.Answer) { a.Status = 409 }), classComplete, classMismatch},
		"failure":                   {with(func(a *platform.Answer) { a.Status = 500 }), classFailed, classMismatch},
		"refusal":                   {with(func(a *platform.Answer) { a.Status, a.NotRun = 503, true }), classRejected, classRejected},
		"503 not marked as not run": {with(func(a *platform.Answer) { a.Status = 503 }), classUntrusted, classMismatch},
		"stream marked as not run":  {with(func(a *platform.Answer) { a.NotRun = true }), classUntrusted, classUntrusted},
		"stream of two heads":       {with(func(a *platform.Answer) { a.Spliced = true }), classUntrusted, classUntrusted},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.first, classifyAnswer(answerFacts{answer: c.answer, requestID: "r1", streaming: true}))
			require.Equal(t, c.later, classifyAnswer(answerFacts{answer: c.answer, requestID: "r1", streaming: true, begun: true}))
		})
	}
	require.Equal(t, classComplete, classifyAnswer(answerFacts{answer: events, requestID: "r1"}), "route that is not for streams")
}
