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

// TestTruncatedLongAnswerIsNotTakenAsComplete guards against a truncated answer that the caller takes as
// complete. The answers are too long for the host to buffer, so that it has already passed on their
// head when they break off: only the framing can show the caller that the rest is missing.
func TestTruncatedLongAnswerIsNotTakenAsComplete(t *testing.T) {
	longBody := strings.Repeat("0123456789abcdef", 40<<10)
	for name, c := range map[string]struct {
		text   string // what the target sends
		resets bool   // whether it then resets the connection, instead of closing it
	}{
		"with a length":           {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(longBody), longBody[1:]), false},
		"chunked, no last part":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunked([]string{longBody}), "0\r\n\r\n"), false},
		"chunked, in the end":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunked([]string{longBody}), "\r\n"), false},
		"chunked, in a part":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunked([]string{longBody}), "f\r\n0\r\n\r\n"), false},
		"without a length, reset": {"HTTP/1.1 200 OK\r\n\r\n" + longBody, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, map[string]string{"s0": catalog.KindPlain, "s1": catalog.KindPlain}, func(received *targetRequest) bool {
				received.write(c.text)
				if c.resets {
					time.Sleep(10 * resumeDelay) // the host must read the text before the reset discards it
					_ = received.conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			for n, request := range []string{"lookup", "order"} {
				require.False(t, truncatedAnswer{request: request}.send(f, n).complete, request)
				require.Equal(t, 1, f.receiveCount(fmt.Sprint("r", n)))
			}
		})
	}
}

// TestOrderWithTruncatedAnswerRunsOnce guards against an order that runs twice. The answer to an order
// with an idempotency key breaks off in its head, and the caller sends the order again: it must be told
// that the order may have run, and no target may receive it again.
func TestOrderWithTruncatedAnswerRunsOnce(t *testing.T) {
	f := newFixture(t, map[string]string{"s0": catalog.KindPlain}, func(received *targetRequest) bool {
		received.write("HTTP/1.1 200 OK\r\nContent-Le")
		return false
	})
	send := func(id string) result {
		return f.doRequest(fasthttp.MethodPost, "/services/s0/x", id, entry.HeaderIdempotencyKey+": o1\r\n", "order")
	}
	firstResult := send("r0")
	require.Equal(t, fasthttp.StatusBadGateway, firstResult.status)
	require.Equal(t, entry.OutcomeUnknown, firstResult.outcome)
	for n := range 3 {
		id := fmt.Sprint("again", n)
		r := send(id)
		require.Equal(t, fasthttp.StatusConflict, r.status, r.body)
		require.Equal(t, entry.OutcomeUnknown, r.outcome)
		require.Zero(t, f.receiveCount(id))
	}
	require.Equal(t, 1, f.receiveCount("r0"))
}
