package gateway_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// oddHeadTargets is the number of targets per service in tests of odd heads; one that failed gets no requests for a while.
const oddHeadTargets = 12

// oddHead is a head of an answer with something unusual or invalid in it.
type oddHead struct {
	interim string // written before the head
	status  string // status line, empty for a usual one
	first   string // first field line
	last    string // last field line
}

// oddAnswer is a way to write an answer to a request.
type oddAnswer struct {
	head   oddHead
	framed bool // the answer has a length or chunks, else it ends with the connection
	split  bool // the head is written in two parts
}

// write writes the answer to a request. It returns whether the connection stays open.
func (o oddAnswer) write(a *arrival) bool {
	status := o.head.status
	if status == "" {
		status = "HTTP/1.1 200 OK"
	}
	head := status + "\r\n" + o.head.first + "X-Attempt-Id: " + a.header("X-Attempt-Id") + "\r\n" + sealHeader
	body := wantBody(string(a.request.URI().Path()), a.header("X-Attempt-Id"))
	if a.streams() {
		head += "Content-Type: text/event-stream\r\n"
	}
	if o.framed && a.streams() {
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else if o.framed {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	head += o.head.last + "\r\n"
	if cut := len(head) - 2 - len(o.head.last)/2; o.split {
		a.write(o.head.interim + head[:cut])
		a.allAcknowledged()
		time.Sleep(headPause)
		a.write(head[cut:] + body)
	} else {
		a.write(o.head.interim + head + body)
	}
	return o.framed
}

// oddAnswers returns all ways to write an answer with an odd head.
func (h oddHead) oddAnswers() []oddAnswer {
	return []oddAnswer{{h, true, false}, {h, true, true}, {h, false, false}, {h, false, true}}
}

// newOddHeadEnv starts a gateway whose targets all write the answer that is stored.
func newOddHeadEnv(t *testing.T, answer *atomic.Pointer[oddAnswer]) *testEnv {
	t.Helper()
	var targets []*scriptedTarget
	script := func(a *arrival) bool { return answer.Load().write(a) }
	for n := range oddHeadTargets {
		targets = append(targets, newScriptedTarget(t, fmt.Sprint("p", n), "plain", script), newScriptedTarget(t, fmt.Sprint("m", n), "model", script))
	}
	return newTestEnvWith(t, keepKeysValid, targets...)
}

// sendUntilReceived sends requests, each with an ID of its own, until one reaches a target. It returns the answer and the ID.
func (w *testEnv) sendUntilReceived(path, prefix string) (result, string) {
	w.t.Helper()
	received := func() (count int) {
		for _, s := range w.targets {
			count += len(s.received())
		}
		return count
	}
	before := received()
	for n, end := 0, time.Now().Add(waitTimeout); time.Now().Before(end); n++ {
		id := fmt.Sprint(prefix, n)
		if r := w.do(call{path: path, key: "key1", id: id}); received() > before {
			return r, id
		}
		time.Sleep(headPause)
	}
	require.Fail(w.t, "no request reached a target")
	return result{}, ""
}

// brokenHeads are heads that are not valid HTTP/1.1.
var brokenHeads = map[string]oddHead{
	"status 000":                        {status: "HTTP/1.1 000 OK"},
	"status 000 without a reason":       {status: "HTTP/1.1 000"},
	"status 099":                        {status: "HTTP/1.1 099 OK"},
	"status 600":                        {status: "HTTP/1.1 600 OK"},
	"blank in a name, first":            {first: "X Odd: 1\r\n"},
	"blank in a name, last":             {last: "X Odd: 1\r\n"},
	"blank in the name of the length":   {last: "Content Length: 2\r\n"},
	"blank before the colon, first":     {first: "XOdd : 1\r\n"},
	"blank before the colon, last":      {last: "XOdd : 1\r\n"},
	"blank behind the name of the ID":   {first: "X-Attempt-Id : other\r\n"},
	"blank behind the name of a length": {last: "Content-Length : 2\r\n"},
	"blank before a name, first":        {first: " XOdd: 1\r\n"},
	"blank before a name, last":         {last: " XOdd: 1\r\n"},
	"tab before a name, last":           {last: "\tXOdd: 1\r\n"},
	"line feed before a name, first":    {first: "\nXOdd: 1\r\n"},
	"line feed before a name, last":     {last: "\nXOdd: 1\r\n"},
	"line feed in a name":               {last: "XO\ndd: 1\r\n"},
	"line feed in a value":              {last: "XOdd: 1\nXOdder: 2\r\n"},
	"carriage return before a name":     {last: "\rXOdd: 1\r\n"},
	"tab in a name":                     {last: "X\tOdd: 1\r\n"},
	"NUL in a name":                     {last: "X\x00Odd: 1\r\n"},
	"control byte in a name":            {last: "X\x01Odd: 1\r\n"},
	"DEL in a name":                     {last: "XOdd\x7f: 1\r\n"},
	"blank in a name, interim":          {interim: "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n"},
	"control byte in a name, interim":   {interim: "HTTP/1.1 103 X\r\nX\x01Odd: 1\r\n\r\n"},
}

// A target in trouble wrote an answer with status 000, or with a blank or a control byte in the name of a field. The
// caller got it with status 200, with the invalid line, or with a body that was not the target's. Such an answer must
// count as a broken connection: a caller whose request may not be repeated gets 502.
func TestBrokenHeadIsNotPassedOn(t *testing.T) {
	for _, path := range headPaths {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			t.Parallel()
			answer := &atomic.Pointer[oddAnswer]{}
			w := newOddHeadEnv(t, answer)
			n := 0
			for name, head := range brokenHeads {
				t.Run(name, func(t *testing.T) {
					for _, c := range head.oddAnswers() {
						n++
						answer.Store(&c)
						r, _ := w.sendUntilReceived(path, fmt.Sprintf("r%d-", n))
						require.NoError(t, r.err)
						require.Equal(t, statusFailed, r.status, "%+v: %s%s", c, r.header, r.body)
						require.Empty(t, r.header.Peek("X-Replica-Seal"))
						require.NotContains(t, strings.ToLower(r.header.String()), "odd")
					}
				})
			}
		})
	}
}

// soundHeads are unusual heads that are valid HTTP/1.1.
var soundHeads = map[string]oddHead{
	"no reason":                {status: "HTTP/1.1 200"},
	"empty reason":             {status: "HTTP/1.1 200 "},
	"reason that is not ASCII": {status: "HTTP/1.1 200 \xc3\xa9t\xe9"},
	"all letters of a name":    {last: "!#$%&'*+-.^_`|~09azAZ: 1\r\n"},
	"name in capitals":         {first: "X-ODD: 1\r\n"},
	"no blank, empty value":    {last: "xodd:\r\n"},
	"blanks around a value":    {last: "XOdd: \t  1 \t \r\n"},
	"bytes of a value":         {last: "XOdd: a:b\tc \xff\x80 \"(),/;<=>?@[]{}\r\n"},
	"interim answers":          {interim: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	"colon in the reason":      {status: "HTTP/1.1 200 OK: a\tb"},
}

// An answer with an unusual but valid head must be passed on; a check of heads that is too strict would refuse it.
func TestUnusualHeadIsPassedOn(t *testing.T) {
	for _, path := range headPaths {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			t.Parallel()
			answer := &atomic.Pointer[oddAnswer]{}
			w := newOddHeadEnv(t, answer)
			n := 0
			for name, head := range soundHeads {
				for _, c := range head.oddAnswers() {
					n++
					answer.Store(&c)
					r, id := w.sendUntilReceived(path, fmt.Sprintf("r%d-", n))
					require.NoError(t, r.err, "%s %+v", name, c)
					require.Equal(t, fasthttp.StatusOK, r.status, "%s %+v: %s", name, c, w.logs)
					require.Equal(t, wantBody(path, id), r.body, name)
				}
			}
		})
	}
}
