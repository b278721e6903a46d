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

// TestTruncatedUnframedModelAnswerIsNotTakenAsComplete guards against a truncated answer that the caller
// takes as complete. The host passes on unchanged answers with several alternatives or with tools. If
// a target sent one with neither a length nor chunks and closed the connection halfway, the caller got
// the part with status 200 and the length of the part. In the first half of the requests only the
// first target cuts its answer, in the second half each target does.
func TestTruncatedUnframedModelAnswerIsNotTakenAsComplete(t *testing.T) {
	longText := strings.Repeat("x", 300<<10) // longer than the host buffers of an answer with a length
	for name, c := range map[string]struct{ contentType, options, body string }{
		"stream":      {"text/event-stream; charset=utf-8", `"stream":true,"n":2`, strings.Join(events(0), "")},
		"long stream": {"text/event-stream", `"stream":true,"n":2`, "data: " + longText + "\n\n" + events(0)[5]},
		"JSON":        {"application/json", `"tools":[1]`, `{"id":"e","choices":[{"index":0}]}`},
		"long JSON":   {"application/json", `"tools":[1]`, `{"id":"` + longText + `","choices":[{"index":0}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			full := len(c.body)
			cuts := []int{full, 0, 10, full / 2, full - 1}
			services := map[string]string{}
			for n := range 2 * len(cuts) {
				services[fmt.Sprint("s", n)] = catalog.KindModel
			}
			f := newFixture(t, services, func(received *targetRequest) bool {
				var n int
				if _, err := fmt.Sscanf(string(received.request.Header.Peek(entry.HeaderRequestID)), "r%d", &n); err != nil {
					return false
				}
				cut := full
				if received.number == 1 || n >= len(cuts) {
					cut = cuts[n%len(cuts)]
				}
				received.write("HTTP/1.1 200 OK\r\nContent-Type: " + c.contentType + "\r\n\r\n" + c.body[:cut])
				return false
			})
			for n := range 2 * len(cuts) {
				t.Run(fmt.Sprint(n), func(t *testing.T) {
					t.Parallel()
					id := fmt.Sprint("r", n)
					r := f.doRequest(fasthttp.MethodPost, "/v1/completions", id, "", fmt.Sprintf(`{"model":"s%d","prompt":"p",%s}`, n, c.options))
					if n < len(cuts) || cuts[n%len(cuts)] == full {
						require.Equal(t, fasthttp.StatusOK, r.status)
						require.True(t, r.complete && r.body == c.body, "got %d of %d bytes", len(r.body), full)
						if cuts[n%len(cuts)] == full {
							require.Equal(t, 1, f.receiveCount(id), "a complete answer must not be requested again")
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
