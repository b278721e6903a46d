package entry_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
)

// TestTruncatedLongAnswerIsNotTakenAsComplete truncates answers that are too long to be buffered. The caller must
// be able to tell that the answer is incomplete.
func TestTruncatedLongAnswerIsNotTakenAsComplete(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40<<10)
	for name, c := range map[string]struct {
		text   string
		resets bool
	}{
		"with a length":           {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long[1:]), false},
		"chunked, no last part":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunked([]string{long}), "0\r\n\r\n"), false},
		"chunked, in the end":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunked([]string{long}), "\r\n"), false},
		"chunked, in a part":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunked([]string{long}), "f\r\n0\r\n\r\n"), false},
		"without a length, reset": {"HTTP/1.1 200 OK\r\n\r\n" + long, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, map[string]string{"s0": catalog.KindPlain, "s1": catalog.KindPlain}, func(a *targetRequest) bool {
				a.write(c.text)
				if c.resets {
					time.Sleep(10 * resumeDelay) // so that the host reads what was written before the reset
					_ = a.conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			for n, request := range []string{"lookup", "order"} {
				require.False(t, truncatedAnswer{request: request}.send(w, n).complete, request)
				require.Equal(t, 1, w.receiveCount(fmt.Sprint("r", n)))
			}
		})
	}
}

// TestOrderWithTruncatedAnswerRunsOnce repeats an order whose first answer stopped in its head. The
// repeat must be told that the order may have run, and must not run it again.
func TestOrderWithTruncatedAnswerRunsOnce(t *testing.T) {
	w := newFixture(t, map[string]string{"s0": catalog.KindPlain}, func(a *targetRequest) bool {
		a.write("HTTP/1.1 200 OK\r\nContent-Le")
		return false
	})
	send := func(id string) result {
		return w.doRequest(fasthttp.MethodPost, "/services/s0/x", id, entry.HeaderIdempotencyKey+": o1\r\n", "order")
	}
	first := send("r0")
	require.Equal(t, fasthttp.StatusBadGateway, first.status)
	require.Equal(t, entry.OutcomeUnknown, first.outcome)
	for n := range 3 {
		id := fmt.Sprint("again", n)
		r := send(id)
		require.Equal(t, fasthttp.StatusConflict, r.status, r.body)
		require.Equal(t, entry.OutcomeUnknown, r.outcome)
		require.Zero(t, w.receiveCount(id))
	}
	require.Equal(t, 1, w.receiveCount("r0"))
}
