package entry_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
)

// TestTruncatedUnframedModelAnswerIsNotTakenAsComplete guards against this fault: an engine closed the
// connection in the middle of an answer without a length that is passed on unchanged (several
// alternatives, or tools), and the caller got the part as a complete 200 with a length.
func TestTruncatedUnframedModelAnswerIsNotTakenAsComplete(t *testing.T) {
	long := strings.Repeat("x", 300<<10) // more than is buffered of an answer with a length
	for name, c := range map[string]struct{ kind, ask, body string }{
		"stream":      {"text/event-stream; charset=utf-8", `"stream":true,"n":2`, strings.Join(events(0), "")},
		"long stream": {"text/event-stream", `"stream":true,"n":2`, "data: " + long + "\n\n" + events(0)[5]},
		"JSON":        {"application/json", `"tools":[1]`, `{"id":"e","choices":[{"index":0}]}`},
		"long JSON":   {"application/json", `"tools":[1]`, `{"id":"` + long + `","choices":[{"index":0}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			last := len(c.body)
			cuts := []int{last, 0, 10, last / 2, last - 1}
			services := map[string]string{}
			for n := range 2 * len(cuts) {
				services[fmt.Sprint("s", n)] = catalog.KindModel
			}
			w := newFixture(t, services, func(a *targetRequest) bool {
				var n int
				if _, err := fmt.Sscanf(string(a.request.Header.Peek(entry.HeaderRequestID)), "r%d", &n); err != nil {
					return false
				}
				cut := last
				if a.number == 1 || n >= len(cuts) {
					cut = cuts[n%len(cuts)]
				}
				a.write("HTTP/1.1 200 OK\r\nContent-Type: " + c.kind + "\r\n\r\n" + c.body[:cut])
				return false
			})
			for n := range 2 * len(cuts) {
				t.Run(fmt.Sprint(n), func(t *testing.T) {
					t.Parallel()
					id := fmt.Sprint("r", n)
					r := w.doRequest(fasthttp.MethodPost, "/v1/completions", id, "", fmt.Sprintf(`{"model":"s%d","prompt":"p",%s}`, n, c.ask))
					if n < len(cuts) || cuts[n%len(cuts)] == last {
						require.Equal(t, fasthttp.StatusOK, r.status)
						require.True(t, r.complete && r.body == c.body, "%d of %d bytes", len(r.body), last)
						if cuts[n%len(cuts)] == last {
							require.Equal(t, 1, w.receiveCount(id), "a complete answer must not be requested again")
						}
						return
					}
					require.Equal(t, fasthttp.StatusBadGateway, r.status)
					require.Equal(t, entry.OutcomeUnknown, r.outcome)
				})
			}
		})
	}
}
