package entry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/entry"
)

// splicedAnswers are invalid answers, as formats for the length and the body: a head stops and another one
// follows, or the target switches protocols.
var splicedAnswers = map[string]string{
	"in a header":       "HTTP/1.1 200 OK\r\nContent-Type: textHTTP/1.1 500 X\r\nContent-Length: %d\r\n\r\n%s",
	"in the first line": "HTTP/1.1 200 OHTTP/1.1 503 X\r\nContent-Length: %d\r\n\r\n%s",
	"other protocol":    "HTTP/1.1 101 X\r\nX-Length: %d\r\n\r\n%s",
}

// TestSplicedHeadIsRejected guards against two faults. A target stopped in the head of
// a success and wrote a failure after it, and the caller got the text of the failure with status
// 200. A status 101 that nobody asked for was passed on as an answer.
func TestSplicedHeadIsRejected(t *testing.T) {
	for name, text := range splicedAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requests := []string{"order", "keyed order", "lookup", "stream", "completion"}
			services := map[string]string{}
			for n, request := range requests {
				services[fmt.Sprint("s", n)] = truncatedAnswer{request: request}.kind()
			}
			w := newFixture(t, services, func(a *targetRequest) bool {
				body := "bad"
				if len(a.request.Body()) > len("order") {
					body = events(0)[0] + "data: [DONE]\n\n"
				}
				a.write(fmt.Sprintf(text, len(body), body))
				return false
			})
			for n, request := range requests {
				t.Run(request, func(t *testing.T) {
					t.Parallel()
					r := truncatedAnswer{request: request}.send(w, n)
					require.Equal(t, fasthttp.StatusBadGateway, r.status, r.body)
					require.Equal(t, entry.OutcomeUnknown, r.outcome)
					require.NotContains(t, r.body, "bad")
				})
			}
		})
	}
}
