package entry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/entry"
)

// splicedAnswers are invalid answers, as format strings that take the length of the body and the body:
// the head of one answer breaks off and another answer follows it, or the target switches protocols.
var splicedAnswers = map[string]string{
	"in a header":       "HTTP/1.1 200 OK\r\nContent-Type: textHTTP/1.1 500 X\r\nContent-Length: %d\r\n\r\n%s",
	"in the first line": "HTTP/1.1 200 OHTTP/1.1 503 X\r\nContent-Length: %d\r\n\r\n%s",
	"other protocol":    "HTTP/1.1 101 X\r\nX-Length: %d\r\n\r\n%s",
}

// TestSplicedHeadIsRejected guards against two faults. A target broke off in the head of an answer with
// status 200 and wrote an error answer right after it: the two were parsed as one, and the caller got
// the text of the error with status 200. And a status 101 was passed on to a caller that had not asked
// for another protocol.
func TestSplicedHeadIsRejected(t *testing.T) {
	for name, format := range splicedAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requests := []string{"order", "keyed order", "lookup", "stream", "completion"}
			services := map[string]string{}
			for n, request := range requests {
				services[fmt.Sprint("s", n)] = truncatedAnswer{request: request}.kind()
			}
			f := newFixture(t, services, func(received *targetRequest) bool {
				body := "bad"
				if len(received.request.Body()) > len("order") {
					body = events(0)[0] + "data: [DONE]\n\n"
				}
				received.write(fmt.Sprintf(format, len(body), body))
				return false
			})
			for n, request := range requests {
				t.Run(request, func(t *testing.T) {
					t.Parallel()
					r := truncatedAnswer{request: request}.send(f, n)
					require.Equal(t, fasthttp.StatusBadGateway, r.status, r.body)
					require.Equal(t, entry.OutcomeUnknown, r.outcome)
					require.NotContains(t, r.body, "bad")
				})
			}
		})
	}
}
