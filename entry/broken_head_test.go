package entry_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/entry"
)

// brokenAnswers are invalid answers, as format strings that take the length of the body and the body.
var brokenAnswers = map[string]string{
	"status 000":                  "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s",
	"status 600":                  "HTTP/1.1 600 OK\r\nContent-Length: %d\r\n\r\n%s",
	"control byte in the reason":  "HTTP/1.1 200 O\x01K\r\nContent-Length: %d\r\n\r\n%s",
	"blank in a name":             "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: %d\r\n\r\n%s",
	"blank before the colon":      "HTTP/1.1 200 OK\r\nXOdd : 1\r\nContent-Length: %d\r\n\r\n%s",
	"tab before a name":           "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\tXOdd: 1\r\nContent-Length: %d\r\n\r\n%s",
	"line feed before a name":     "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\nXOdd: 1\r\n\r\n%s",
	"blank in a name of interims": "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
}

// A target in trouble wrote an answer with status 000, or with a blank or a control byte in the name of a field, and the
// caller got it with status 200. It must count as a broken connection.
func TestBrokenHeadIsNotPassedOn(t *testing.T) {
	requests := []string{"order", "keyed order", "lookup", "stream", "completion"}
	for name, format := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			services := map[string]string{}
			for n, request := range requests {
				services[fmt.Sprint("s", n)] = truncatedAnswer{request: request}.kind()
			}
			f := newFixture(t, services, func(received *targetRequest) bool {
				body := "bad"
				if len(received.request.Body()) > len("order") {
					body = strings.Join(events(0), "")
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
				})
			}
		})
	}
}
