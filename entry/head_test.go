package entry_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
)

const (
	tokens             = 4                     // number of tokens in the answer of a model
	resumeDelay        = 20 * time.Millisecond // pause in an answer that the target then goes on with
	concurrentRequests = 48                    // how many requests runCases sends at a time
	plainBody          = "whole body"          // complete answer of a service that is not a model
)

// What the target does after it has sent the first bytes of its answer.
const (
	connCloses    = "closes"
	connResets    = "resets"
	answerResumes = "resumes"
	answerStalls  = "stalls"
)

// truncatedAnswer is a test case: a request, and how the target that receives it first breaks off its
// answer.
type truncatedAnswer struct {
	request string // lookup, order, keyed order, stream or completion
	framing string // key of framings
	cut     int    // how many bytes of the answer are sent before it breaks off
	ending  string // what the target does then: connCloses, connResets, ...
}

// isModel reports whether the request goes to a model service.
func (c truncatedAnswer) isModel() bool { return c.request == "stream" || c.request == "completion" }

// kind returns the kind of the service that is called.
func (c truncatedAnswer) kind() string {
	if c.isModel() {
		return catalog.KindModel
	}
	return catalog.KindPlain
}

// framings are functions that return the head and body of an answer with a content type, by name of
// the way in which the head is written and the end of the body is marked.
var framings = map[string]func(kind string, pieces []string) (head, body string){
	"with a length": func(kind string, pieces []string) (string, string) {
		body := strings.Join(pieces, "")
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n", kind, len(body)), body
	},
	"chunked": func(kind string, pieces []string) (string, string) {
		return "HTTP/1.1 200 OK\r\nContent-Type: " + kind + "\r\nTransfer-Encoding: chunked\r\n\r\n", chunked(pieces)
	},
	"no length": func(kind string, pieces []string) (string, string) {
		return "HTTP/1.1 200 OK\r\nContent-Type: " + kind + "\r\n\r\n", strings.Join(pieces, "")
	},
	"line feeds": func(kind string, pieces []string) (string, string) {
		return "HTTP/1.1 200 OK\nContent-Type: " + kind + "\nTransfer-Encoding: chunked\n\n", chunked(pieces)
	},
	"line feeds, CRLF after the last line": func(kind string, pieces []string) (string, string) {
		return "HTTP/1.1 200 OK\nContent-Type: " + kind + "\nTransfer-Encoding: chunked\r\n\r\n", chunked(pieces)
	},
}

// chunked returns a body in chunked transfer encoding, one chunk for each piece.
func chunked(pieces []string) string {
	var all strings.Builder
	for _, piece := range pieces {
		fmt.Fprintf(&all, "%x\r\n%s\r\n", len(piece), piece)
	}
	return all.String() + "0\r\n\r\n"
}

// completeText returns the text of the complete answer of a model.
func completeText() string {
	var all strings.Builder
	for n := range tokens {
		fmt.Fprintf(&all, "t%d ", n)
	}
	return all.String()
}

// events returns the server-sent events of a model answer, from the given token to the end of the stream.
func events(from int) []string {
	var pieces []string
	for n := from; n < tokens; n++ {
		pieces = append(pieces, fmt.Sprintf("data: {\"id\":\"e\",\"choices\":[{\"index\":0,\"text\":\"t%d \"}]}\n\n", n))
	}
	return append(pieces, "data: {\"id\":\"e\",\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n", "data: [DONE]\n\n")
}

// answer returns the complete answer to a request in the framing of the case. The answer to a request
// that resumes a stream starts at the token at which the request asks to resume.
func (c truncatedAnswer) answer(received *targetRequest) (head, body string) {
	if c.isModel() {
		return framings[c.framing]("text/event-stream", events(int(gjson.GetBytes(received.request.Body(), "resume").Int())))
	}
	return framings[c.framing]("text/plain", []string{plainBody[:5], plainBody[5:]})
}

// script is the script of the targets: it truncates the first answer to a request and answers complete
// when the host sends the request again.
func (c truncatedAnswer) script(received *targetRequest) bool {
	if received.number > 1 {
		c.framing = "chunked"
		head, body := c.answer(received)
		received.write(head + body)
		return true
	}
	head, body := c.answer(received)
	all := head + body
	received.write(all[:c.cut])
	switch c.ending {
	case connResets:
		_ = received.conn.(*net.TCPConn).SetLinger(0)
	case answerResumes:
		time.Sleep(resumeDelay)
		received.write(all[c.cut:])
		return c.framing != "no length"
	case answerStalls:
		_, _ = received.conn.Read(make([]byte, 1)) // until the host closes the connection
	}
	return false
}

// send sends the request of the case, with request ID r<n>, to the service s<n>.
func (c truncatedAnswer) send(f *fixture, n int) result {
	id := fmt.Sprint("r", n)
	switch c.request {
	case "stream", "completion":
		body := fmt.Sprintf(`{"model":"s%d","prompt":"p","stream":%t}`, n, c.request == "stream")
		return f.doRequest(fasthttp.MethodPost, "/v1/completions", id, "", body)
	case "lookup":
		return f.doRequest(fasthttp.MethodGet, fmt.Sprintf("/services/s%d/x", n), id, "", "")
	case "keyed order":
		return f.doRequest(fasthttp.MethodPost, fmt.Sprintf("/services/s%d/x", n), id, entry.HeaderIdempotencyKey+": o"+id+"\r\n", "order")
	}
	return f.doRequest(fasthttp.MethodPost, fmt.Sprintf("/services/s%d/x", n), id, "", "order")
}

// text returns the text of an answer, without the events or JSON around it, and whether a caller would
// take the answer as complete.
func (c truncatedAnswer) text(r result) (string, bool) {
	switch c.request {
	case "stream":
		var all strings.Builder
		for line := range strings.Lines(r.body) {
			all.WriteString(gjson.Get(strings.TrimPrefix(line, "data: "), "choices.0.text").String())
		}
		return all.String(), r.complete && strings.HasSuffix(r.body, "data: [DONE]\n\n")
	case "completion":
		return gjson.Get(r.body, "choices.0.text").String(), r.complete
	}
	return r.body, r.complete
}

// mustNotRunTwice reports whether the host may send the request to no more than one target, as running
// it may have side effects.
func (c truncatedAnswer) mustNotRunTwice() bool { return strings.HasSuffix(c.request, "order") }

// runCases sends the requests of all cases, each to a service of its own and concurrentRequests at a
// time, and calls check with the number of each case and the answer that the caller got.
func runCases(t *testing.T, cases []truncatedAnswer, check func(f *fixture, n int, c truncatedAnswer, r result)) {
	t.Helper()
	services := map[string]string{}
	for n, c := range cases {
		services[fmt.Sprint("s", n)] = c.kind()
	}
	f := newFixture(t, services, func(received *targetRequest) bool {
		var n int
		_, err := fmt.Sscanf(string(received.request.Header.Peek(entry.HeaderRequestID)), "r%d", &n)
		return err == nil && cases[n].script(received)
	})
	var next atomic.Int64
	var workers sync.WaitGroup
	for range concurrentRequests {
		workers.Go(func() {
			for n := int(next.Add(1)) - 1; n < len(cases) && !t.Failed(); n = int(next.Add(1)) - 1 {
				check(f, n, cases[n], cases[n].send(f, n))
			}
		})
	}
	workers.Wait()
}

// cutOffsets returns byte offsets at which to truncate the answer of a case. They are headStep apart in
// the head and bodyStep in the body; the body is left out if the caller can't tell that it is incomplete.
func cutOffsets(c truncatedAnswer, headStep, bodyStep int) []int {
	received := &targetRequest{}
	received.request.SetBodyString("{}")
	head, body := c.answer(received)
	last := len(head) + len(body)
	if c.framing == "no length" && c.ending != connResets && !c.isModel() {
		last = len(head)
	}
	var cuts []int
	for cut := 0; cut < last; cut += headStep {
		if cut >= len(head) {
			cut += bodyStep - headStep
		}
		cuts = append(cuts, min(cut, last-1))
	}
	return append(cuts, len(head)-1, last-1)
}

// cutSteps are the distances in bytes between two offsets in the head and in the body, by how the
// answer ends.
var cutSteps = map[string][2]int{connCloses: {5, 79}, connResets: {23, 97}, answerResumes: {31, 109}, answerStalls: {61, 149}}

// TestTruncatedAnswerIsNotTakenAsComplete guards against three faults in the handling of an
// answer that breaks off: the caller takes the part as a complete answer, a request that must not run
// twice is sent to a second target, or a request that a target has received is reported to the caller
// as not run. Answers break off at many offsets; the target then closes or resets the connection,
// pauses, or falls silent.
func TestTruncatedAnswerIsNotTakenAsComplete(t *testing.T) {
	for _, request := range []string{"lookup", "order", "keyed order", "stream", "completion"} {
		t.Run(request, func(t *testing.T) {
			t.Parallel()
			var cases []truncatedAnswer
			for framing := range framings {
				for ending, step := range cutSteps {
					c := truncatedAnswer{request: request, framing: framing, ending: ending}
					for _, c.cut = range cutOffsets(c, step[0], step[1]) {
						cases = append(cases, c)
					}
				}
			}
			runCases(t, cases, func(f *fixture, n int, c truncatedAnswer, r result) {
				c.requireCorrectResult(t, f, n, r)
			})
		})
	}
}

// requireCorrectResult checks the answer r that the caller of case n got, and how many times targets
// received its request.
func (c truncatedAnswer) requireCorrectResult(t *testing.T, f *fixture, n int, r result) {
	t.Helper()
	id := fmt.Sprint("r", n)
	text, complete := c.text(r)
	want := plainBody
	if c.isModel() {
		want = completeText()
	}
	if complete && r.status == fasthttp.StatusOK {
		require.Equal(t, want, text, "%+v", c)
		require.True(t, !c.mustNotRunTwice() || c.ending == answerResumes, "%+v: a truncated answer was taken as complete", c)
	}
	if r.status != fasthttp.StatusOK {
		require.Equal(t, entry.OutcomeUnknown, r.outcome, "%+v: %s", c, r.body)
	}
	if c.mustNotRunTwice() {
		require.Equal(t, 1, f.receiveCount(id), "%+v", c)
	}
	if c.ending == answerResumes && c.framing != "line feeds" || !c.mustNotRunTwice() {
		require.True(t, complete && r.status == fasthttp.StatusOK, "%+v: the caller got no complete answer: %d %s", c, r.status, r.body)
	}
}
