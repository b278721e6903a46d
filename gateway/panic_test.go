package gateway

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/route"
)

// panickingBody is the body of an answer whose Read panics.
type panickingBody struct{ closed bool }

// Read implements io.Reader.
func (*panickingBody) Read([]byte) (int, error) { panic("fault in a stream") }

// Close implements io.Closer.
func (f *panickingBody) Close() error {
	f.closed = true
	return nil
}

// logBuffer collects a log.
type logBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

// String returns the log so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// A panic while a request is handled must fail only that request, with 502. Other connections and the process
// go on, also if the host is lagging.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	g := newIdleGateway(t)
	out := &logBuffer{}
	g.record.log = zerolog.New(out)
	board := g.core.board
	serveIdle(t, g, route.NewTable(route.Table{Routes: []route.Route{{
		Name: "a", Host: "h", Prefix: "/none", Shares: []route.Share{{Service: "s", Weight: 1}}, Public: true, Timeout: time.Second,
	}}}))
	kept := dialIdle(t, g, "GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, 404, answerStatus(kept))
	g.core.board = nil
	for _, lagging := range []bool{false, true} {
		if lagging {
			g.core.mu.Lock()
			g.core.lag.ExpectTick(time.Now().Add(-time.Hour), time.Second)
			g.core.mu.Unlock()
		}
		got, err := io.ReadAll(dialIdle(t, g, unroutedRequest))
		require.NoError(t, err)
		require.Contains(t, string(got), "HTTP/1.1 502 ")
		require.Contains(t, string(got), "r1")
	}
	g.core.board = board
	_, err := io.WriteString(kept, "GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, 404, answerStatus(kept))
	require.Zero(t, g.inFlight.Load())
	require.Empty(t, g.core.activeExchanges())
	require.Contains(t, out.String(), eventPanicked)
	require.Contains(t, out.String(), "front.go")
}

// A panic while the body of a stream is read is logged with its cause and ends the stream uncleanly.
func TestPanicInStreamIsLogged(t *testing.T) {
	g := newIdleGateway(t)
	out := &logBuffer{}
	g.record.log = zerolog.New(out)
	body := &panickingBody{}
	g.server.Handler = func(ctx *fasthttp.RequestCtx) { ctx.SetBodyStream(body, -1) }
	serveIdle(t, g, &route.Table{})
	got, err := io.ReadAll(dialIdle(t, g, unroutedRequest))
	require.NoError(t, err)
	require.NotContains(t, string(got), "0\r\n\r\n")
	g.listeners[0].Close()
	require.Eventually(t, func() bool { return g.callers.count() == 0 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "fault in a stream") }, 10*time.Second, time.Millisecond)
	require.True(t, body.closed)
}
