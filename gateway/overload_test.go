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

// overloadAtAnyLag sets the lag limit so low that the host counts as overloaded at any lag.
func overloadAtAnyLag(s *gateway.Settings) {
	s.MaxLag = settings.OptionalDuration{Duration: time.Nanosecond}
}

// A host whose timers fire later than its settings allow refuses requests at once with 503, and sends them to no
// target. Once a reload of the settings allows the lag, it admits requests.
func TestLaggingHostRefusesRequests(t *testing.T) {
	engine := newScriptedTarget(t, "a", "model", shortStream)
	w := newTestEnv(t, engine)
	second, g, s := w.startSecond(overloadAtAnyLag)
	var refused result
	second.waitUntil(func() bool {
		refused = second.do(call{path: "/stream/x", key: "key1", id: "r1"})
		return refused.body == "host-overloaded"
	})
	require.Equal(t, fasthttp.StatusServiceUnavailable, refused.status)
	require.NotEmpty(t, refused.header.Peek(fasthttp.HeaderRetryAfter))
	require.Empty(t, engine.received())
	s.MaxLag = settings.OptionalDuration{Duration: time.Minute}
	require.NoError(t, g.Reload(s))
	second.waitUntil(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r2"}).status == fasthttp.StatusOK
	})
}

// An overloaded host must close the connections of callers that it refuses. While it kept them alive, refused
// callers sent requests faster than the host could read them, and other teams lost their share.
func TestOverloadedHostClosesConnectionsOfRefusedCallers(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", shortStream))
	second, _, _ := w.startSecond(overloadAtAnyLag)
	second.waitUntil(func() bool {
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

// An overloaded host refuses requests on new connections before its HTTP server handles them. A caller whose
// request arrives in parts must still get the whole refusal.
func TestRequestInPartsGetsCompleteRefusal(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", shortStream))
	second, _, _ := w.startSecond(overloadAtAnyLag)
	second.waitUntil(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r1"}).body == "host-overloaded"
	})
	conn := second.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r2\r\nX-Key: key1\r\nContent-Length: 5\r\n\r\nab")
	require.False(t, closedWithin(conn, 50*time.Millisecond))
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err := io.WriteString(conn, "cde")
	require.NoError(t, err)
	r := readResult(bufio.NewReader(conn))
	require.NoError(t, r.err)
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.Equal(t, "r2", string(r.header.Peek("X-Attempt-Id")))
}

// A host that was short of processor time took its own lag for a failure of the engines, and stopped using them.
func TestLaggingHostDoesNotSuspendTargets(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", shortStream), newScriptedTarget(t, "b", "model", shortStream))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	stop := make(chan struct{})
	var burning sync.WaitGroup
	for range 180 {
		burning.Go(func() { processor.Burn(stop) })
	}
	defer burning.Wait()
	defer close(stop)
	w.do(call{path: "/stream/x", key: "key1", id: "r0"}) // while it is served, the host measures its lag
	before := strings.Count(w.logs.String(), "attempt-failed")
	for n := range 2 {
		w.do(call{path: "/stream/x", key: "key1", id: fmt.Sprint("r", n+1)})
	}
	require.Equal(t, before, strings.Count(w.logs.String(), "attempt-failed"))
}
