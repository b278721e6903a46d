package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/platform"
)

func TestJudge(t *testing.T) {
	var (
		own      = platform.Answer{Status: 200, ID: "r1", FromTarget: true, Framed: true}
		other    = platform.Answer{Status: 200, ID: "r0", FromTarget: true, Framed: true}
		nameless = platform.Answer{Status: 200, FromTarget: true, Framed: true}
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
		fresh, reuse verdict // on a new connection, and on one that carried another request
	}{
		"success":                           {own, verdictOwn, verdictOwn},
		"success, no end":                   {with(own, func(a *platform.Answer) { a.Framed = false }), verdictOwn, verdictOwn},
		"success, no mark":                  {with(own, func(a *platform.Answer) { a.FromTarget = false }), verdictForeign, verdictForeign},
		"success, encoded":                  {with(own, func(a *platform.Answer) { a.Encoded = true }), verdictForeign, verdictForeign},
		"success, two heads":                {with(own, func(a *platform.Answer) { a.Spliced = true }), verdictForeign, verdictForeign},
		"success that has not run":          {with(own, func(a *platform.Answer) { a.NotRun = true }), verdictForeign, verdictForeign},
		"redirect":                          {status(own, 302), verdictOwn, verdictOwn},
		"client error":                      {status(own, 404), verdictOwn, verdictOwn},
		"client error, no mark":             {with(status(own, 404), func(a *platform.Answer) { a.FromTarget = false }), verdictOwn, verdictOwn},
		"failure":                           {status(own, 500), verdictFailed, verdictFailed},
		"timeout of the target":             {status(own, 504), verdictFailed, verdictFailed},
		"change of protocols":               {status(own, 101), verdictForeign, verdictForeign},
		"unknown status":                    {status(own, 600), verdictForeign, verdictForeign},
		"refusal":                           {refusal(own, 503), verdictRejected, verdictRejected},
		"refusal, wrong target":             {refusal(own, 421), verdictRejected, verdictRejected},
		"refusal, two heads":                {with(refusal(own, 503), func(a *platform.Answer) { a.Spliced = true }), verdictForeign, verdictForeign},
		"503 without a statement":           {status(own, 503), verdictForeign, verdictForeign},
		"429 without a statement":           {status(own, 429), verdictForeign, verdictForeign},
		"408 without a statement":           {status(own, 408), verdictForeign, verdictForeign},
		"other request":                     {other, verdictForeign, verdictExtra},
		"other request, failure":            {status(other, 500), verdictForeign, verdictExtra},
		"other request, refusal":            {refusal(other, 503), verdictForeign, verdictExtra},
		"other request, refusal, no end":    {with(refusal(other, 503), func(a *platform.Answer) { a.Framed = false }), verdictForeign, verdictForeign},
		"other request, refusal, two heads": {with(refusal(other, 503), func(a *platform.Answer) { a.Spliced = true }), verdictForeign, verdictForeign},
		"no request":                        {nameless, verdictOwn, verdictForeign},
		"no request, client error":          {status(nameless, 404), verdictOwn, verdictForeign},
		"no request, failure":               {status(nameless, 500), verdictFailed, verdictForeign},
		"no request, refusal":               {refusal(nameless, 503), verdictRejected, verdictForeign},
		"no request, wrong target":          {refusal(nameless, 421), verdictRejected, verdictForeign},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.fresh, judge(facts{answer: c.answer, request: "r1"}))
			require.Equal(t, c.reuse, judge(facts{answer: c.answer, request: "r1", used: true}))
			require.NotEqual(t, verdictRejected, judge(facts{answer: refusal(nameless, 503), used: true}), "nor without an id")
		})
	}
	for _, code := range []int{408, 429} {
		require.Equal(t, verdictOwn, judge(facts{answer: status(own, code), request: "r1", repeatable: true}))
	}
	require.Equal(t, verdictFailed, judge(facts{answer: status(own, 503), request: "r1", repeatable: true}))
}

// The answer to a request for a stream is a stream or is passed on as a whole, until the caller
// has a part of a stream.
func TestJudgeStream(t *testing.T) {
	events := platform.Answer{Status: 200, ID: "r1", FromTarget: true, Framed: true, Events: true}
	with := func(change func(a *platform.Answer)) platform.Answer {
		a := events
		change(&a)
		return a
	}
	for name, c := range map[string]struct {
		answer       platform.Answer
		first, later verdict
	}{
		"stream":              {events, verdictStream, verdictStream},
		"no length":           {with(func(a *platform.Answer) { a.Framed = false }), verdictStream, verdictStream},
		"other type":          {with(func(a *platform.Answer) { a.Events = false }), verdictOwn, verdictUnfit},
		"no mark":             {with(func(a *platform.Answer) { a.FromTarget = false }), verdictForeign, verdictForeign},
		"encoded":             {with(func(a *platform.Answer) { a.Encoded = true }), verdictForeign, verdictForeign},
		"other request":       {with(func(a *platform.Answer) { a.ID = "r0" }), verdictForeign, verdictForeign},
		"no content":          {with(func(a *platform.Answer) { a.Status = 204 }), verdictOwn, verdictUnfit},
		"part":                {with(func(a *platform.Answer) { a.Status = 206 }), verdictOwn, verdictUnfit},
		"redirect":            {with(func(a *platform.Answer) { a.Status = 302 }), verdictOwn, verdictUnfit},
		"client error":        {with(func(a *platform.Answer) { a.Status = 409 }), verdictOwn, verdictUnfit},
		"failure":             {with(func(a *platform.Answer) { a.Status = 500 }), verdictFailed, verdictUnfit},
		"refusal":             {with(func(a *platform.Answer) { a.Status, a.NotRun = 503, true }), verdictRejected, verdictRejected},
		"503, no statement":   {with(func(a *platform.Answer) { a.Status = 503 }), verdictForeign, verdictUnfit},
		"stream and not run":  {with(func(a *platform.Answer) { a.NotRun = true }), verdictForeign, verdictForeign},
		"stream of two heads": {with(func(a *platform.Answer) { a.Spliced = true }), verdictForeign, verdictForeign},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.first, judge(facts{answer: c.answer, request: "r1", streaming: true}))
			require.Equal(t, c.later, judge(facts{answer: c.answer, request: "r1", streaming: true, begun: true}))
		})
	}
	require.Equal(t, verdictOwn, judge(facts{answer: events, request: "r1"}), "another kind of route")
}
