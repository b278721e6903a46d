package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/standin/processor"
)

// shortStream answers a request with one event.
func shortStream(a *arrival) bool {
	a.begin()
	a.events(1, 1)
	a.end()
	return true
}

// late makes any lateness of timers too much.
func late(s *gateway.Settings) { s.Lag = settings.OptionalDuration{Duration: time.Nanosecond} }

// A host whose timers fire later than its settings allow refuses requests at once,
// with a promise that they have not run; once the setting allows it, it takes them.
func TestHostShortOfProcessorTimeRefuses(t *testing.T) {
	engine := newScripted(t, "a", "model", shortStream)
	w := newWorld(t, engine)
	second, g, s := w.second(late)
	var refused result
	second.until(func() bool {
		refused = second.do(call{path: "/stream/x", key: "key1", id: "r1"})
		return refused.body == "host-overloaded"
	})
	require.Equal(t, fasthttp.StatusServiceUnavailable, refused.status)
	require.NotEmpty(t, refused.header.Peek(fasthttp.HeaderRetryAfter))
	require.Empty(t, engine.seen())
	s.Lag = settings.OptionalDuration{Duration: time.Minute}
	require.NoError(t, g.Reload(s))
	second.until(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r2"}).status == fasthttp.StatusOK
	})
}

// FAIR on a host that a team's callers crowd on: the connection of a refused caller is
// closed, since callers that keep theirs send on faster than the host reads.
func TestRefusedCallersConnectionIsClosed(t *testing.T) {
	w := newWorld(t, newScripted(t, "a", "model", shortStream))
	second, _, _ := w.second(late)
	second.until(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r1"}).body == "host-overloaded"
	})
	conn, err := net.DialTimeout("tcp", second.address.String(), time.Second)
	require.NoError(t, err)
	defer conn.Close()
	rd := bufio.NewReader(conn)
	_, err = io.WriteString(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r2\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	var answer fasthttp.Response
	require.NoError(t, answer.Read(rd))
	require.Equal(t, fasthttp.StatusServiceUnavailable, answer.StatusCode())
	require.True(t, answer.ConnectionClose())
	_, err = rd.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// FAIR on a host that callers crowd on: a new connection is answered before the server takes
// it, also if its request comes in parts.
func TestRequestInPartsIsRefusedInFull(t *testing.T) {
	w := newWorld(t, newScripted(t, "a", "model", shortStream))
	second, _, _ := w.second(late)
	second.until(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r1"}).body == "host-overloaded"
	})
	conn := second.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r2\r\nX-Key: key1\r\nContent-Length: 5\r\n\r\nab")
	require.False(t, closed(conn, 50*time.Millisecond))
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err := io.WriteString(conn, "cde")
	require.NoError(t, err)
	r := readResult(bufio.NewReader(conn))
	require.NoError(t, r.err)
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.Equal(t, "r2", string(r.header.Peek("X-Attempt-Id")))
}

// FAIR on a host that is short of processor time: it took its own lateness for engines that
// can't be reached, and left them.
func TestBusyHostBlamesNoTarget(t *testing.T) {
	w := newWorld(t, newScripted(t, "a", "model", shortStream), newScripted(t, "b", "model", shortStream))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	stop := make(chan struct{})
	var burning sync.WaitGroup
	for range 180 {
		burning.Go(func() { processor.Burn(stop) })
	}
	defer burning.Wait()
	defer close(stop)
	w.do(call{path: "/stream/x", key: "key1", id: "r0"}) // while it is served, the host learns how late it is
	before := strings.Count(w.logs.String(), "attempt-failed")
	for n := range 2 {
		w.do(call{path: "/stream/x", key: "key1", id: fmt.Sprint("r", n+1)})
	}
	require.Equal(t, before, strings.Count(w.logs.String(), "attempt-failed"))
}
