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
	tokens             = 4                     // in the answer of a model
	resumeDelay        = 20 * time.Millisecond // before an interrupted answer resumes
	concurrentRequests = 48                    // of runCases
	plainBody          = "whole body"
)

// What happens to the connection after the target has stopped its answer.
const (
	connCloses    = "closes"
	connResets    = "resets"
	answerResumes = "resumes"
	answerStalls  = "stalls"
)

// truncatedAnswer is a test case: the first target that gets the request stops its answer after some
// bytes.
type truncatedAnswer struct {
	request string // type of request that is sent
	framing string
	cut     int
	ending  string
}

// isModel returns whether the request goes to a model service.
func (s truncatedAnswer) isModel() bool { return s.request == "stream" || s.request == "completion" }

// kind returns the kind of the service that is called.
func (s truncatedAnswer) kind() string {
	if s.isModel() {
		return catalog.KindModel
	}
	return catalog.KindPlain
}

// framings return the head and body of an answer, by how the end of the body is marked.
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

// events returns the events of a model answer from the given token on.
func events(from int) []string {
	var pieces []string
	for n := from; n < tokens; n++ {
		pieces = append(pieces, fmt.Sprintf("data: {\"id\":\"e\",\"choices\":[{\"index\":0,\"text\":\"t%d \"}]}\n\n", n))
	}
	return append(pieces, "data: {\"id\":\"e\",\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n", "data: [DONE]\n\n")
}

// answer returns the complete answer to a request in the framing of the case.
func (s truncatedAnswer) answer(a *targetRequest) (head, body string) {
	if s.isModel() {
		return framings[s.framing]("text/event-stream", events(int(gjson.GetBytes(a.request.Body(), "resume").Int())))
	}
	return framings[s.framing]("text/plain", []string{plainBody[:5], plainBody[5:]})
}

// script truncates the first answer to a request and answers its repeats completely.
func (s truncatedAnswer) script(a *targetRequest) bool {
	if a.number > 1 {
		s.framing = "chunked"
		head, body := s.answer(a)
		a.write(head + body)
		return true
	}
	head, body := s.answer(a)
	all := head + body
	a.write(all[:s.cut])
	switch s.ending {
	case connResets:
		_ = a.conn.(*net.TCPConn).SetLinger(0)
	case answerResumes:
		time.Sleep(resumeDelay)
		a.write(all[s.cut:])
		return s.framing != "no length"
	case answerStalls:
		_, _ = a.conn.Read(make([]byte, 1)) // until the host closes the connection
	}
	return false
}

// send sends the request of the case to the service with number n.
func (s truncatedAnswer) send(w *fixture, n int) result {
	id := fmt.Sprint("r", n)
	switch s.request {
	case "stream", "completion":
		body := fmt.Sprintf(`{"model":"s%d","prompt":"p","stream":%t}`, n, s.request == "stream")
		return w.doRequest(fasthttp.MethodPost, "/v1/completions", id, "", body)
	case "lookup":
		return w.doRequest(fasthttp.MethodGet, fmt.Sprintf("/services/s%d/x", n), id, "", "")
	case "keyed order":
		return w.doRequest(fasthttp.MethodPost, fmt.Sprintf("/services/s%d/x", n), id, entry.HeaderIdempotencyKey+": o"+id+"\r\n", "order")
	}
	return w.doRequest(fasthttp.MethodPost, fmt.Sprintf("/services/s%d/x", n), id, "", "order")
}

// text returns the text of an answer and whether the caller would take it as complete.
func (s truncatedAnswer) text(r result) (string, bool) {
	switch s.request {
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

// mustNotRunTwice returns whether the request must not run twice.
func (s truncatedAnswer) mustNotRunTwice() bool { return strings.HasSuffix(s.request, "order") }

// runCases sends the requests of all cases concurrently, each to a service of its own, and checks
// the results.
func runCases(t *testing.T, cases []truncatedAnswer, check func(w *fixture, n int, s truncatedAnswer, r result)) {
	t.Helper()
	services := map[string]string{}
	for n, s := range cases {
		services[fmt.Sprint("s", n)] = s.kind()
	}
	w := newFixture(t, services, func(a *targetRequest) bool {
		var n int
		_, err := fmt.Sscanf(string(a.request.Header.Peek(entry.HeaderRequestID)), "r%d", &n)
		return err == nil && cases[n].script(a)
	})
	var next atomic.Int64
	var senders sync.WaitGroup
	for range concurrentRequests {
		senders.Go(func() {
			for n := int(next.Add(1)) - 1; n < len(cases) && !t.Failed(); n = int(next.Add(1)) - 1 {
				check(w, n, cases[n], cases[n].send(w, n))
			}
		})
	}
	senders.Wait()
}

// cutOffsets returns byte offsets at which to truncate the answer of a case. They are headStep apart in
// the head and bodyStep in the body; the body is left out if the caller can't tell that it is incomplete.
func cutOffsets(s truncatedAnswer, headStep, bodyStep int) []int {
	a := &targetRequest{}
	a.request.SetBodyString("{}")
	head, body := s.answer(a)
	last := len(head) + len(body)
	if s.framing == "no length" && s.ending != connResets && !s.isModel() {
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

// TestTruncatedAnswerIsNotTakenAsComplete truncates answers at many offsets, by closed, reset, delayed and
// silent connections. A truncated answer must not reach the caller as a complete one, a
// request that may not be repeated must not run twice, and no request that a target
// received may be reported as not run.
func TestTruncatedAnswerIsNotTakenAsComplete(t *testing.T) {
	for _, request := range []string{"lookup", "order", "keyed order", "stream", "completion"} {
		t.Run(request, func(t *testing.T) {
			t.Parallel()
			var cases []truncatedAnswer
			for framing := range framings {
				for ending, step := range cutSteps {
					s := truncatedAnswer{request: request, framing: framing, ending: ending}
					for _, s.cut = range cutOffsets(s, step[0], step[1]) {
						cases = append(cases, s)
					}
				}
			}
			runCases(t, cases, func(w *fixture, n int, s truncatedAnswer, r result) {
				s.requireCorrectResult(t, w, n, r)
			})
		})
	}
}

// requireCorrectResult checks the answer that a caller got, and how often targets received the request.
func (s truncatedAnswer) requireCorrectResult(t *testing.T, w *fixture, n int, r result) {
	t.Helper()
	id := fmt.Sprint("r", n)
	text, complete := s.text(r)
	want := plainBody
	if s.isModel() {
		want = completeText()
	}
	if complete && r.status == fasthttp.StatusOK {
		require.Equal(t, want, text, "%+v", s)
		require.True(t, !s.mustNotRunTwice() || s.ending == answerResumes, "%+v: a truncated answer was taken as complete", s)
	}
	if r.status != fasthttp.StatusOK {
		require.Equal(t, entry.OutcomeUnknown, r.outcome, "%+v: %s", s, r.body)
	}
	if s.mustNotRunTwice() {
		require.Equal(t, 1, w.receiveCount(id), "%+v", s)
	}
	if s.ending == answerResumes && s.framing != "line feeds" || !s.mustNotRunTwice() {
		require.True(t, complete && r.status == fasthttp.StatusOK, "%+v: not served: %d %s", s, r.status, r.body)
	}
}
