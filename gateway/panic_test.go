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

// faulty is the body of an answer that panics.
type faulty struct{ closed bool }

// Read implements io.Reader.
func (*faulty) Read([]byte) (int, error) { panic("at fault in a stream") }

// Close implements io.Closer.
func (f *faulty) Close() error {
	f.closed = true
	return nil
}

// lines collects a log.
type lines struct {
	mu  sync.Mutex
	all bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// LOST: a fault in the handling of one request ended the process, and with it all others.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	g := newIdle(t)
	out := &lines{}
	g.record.log = zerolog.New(out)
	board := g.core.board
	serveIdle(t, g, route.NewTable(route.Table{Routes: []route.Route{{
		Name: "a", Host: "h", Prefix: "/none", Shares: []route.Share{{Service: "s", Weight: 1}}, Public: true, Timeout: time.Second,
	}}}))
	kept := dialIdle(t, g, "GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, 404, answerOf(kept))
	g.core.board = nil
	for _, late := range []bool{false, true} {
		if late {
			g.core.mu.Lock()
			g.core.lag.Next(time.Now().Add(-time.Hour), time.Second)
			g.core.mu.Unlock()
		}
		got, err := io.ReadAll(dialIdle(t, g, waitingRequest))
		require.NoError(t, err)
		require.Contains(t, string(got), "HTTP/1.1 502 ")
		require.Contains(t, string(got), "r1")
	}
	g.core.board = board
	_, err := io.WriteString(kept, "GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, 404, answerOf(kept))
	require.Zero(t, g.inFlight.Load())
	require.Empty(t, g.core.activeExchanges())
	require.Contains(t, out.String(), eventPanicked)
	require.Contains(t, out.String(), "front.go")
}

// A fault in a stream is told of as such, not as a caller that left.
func TestPanicInAStreamIsNoted(t *testing.T) {
	g := newIdle(t)
	out := &lines{}
	g.record.log = zerolog.New(out)
	body := &faulty{}
	g.server.Handler = func(ctx *fasthttp.RequestCtx) { ctx.SetBodyStream(body, -1) }
	serveIdle(t, g, &route.Table{})
	got, err := io.ReadAll(dialIdle(t, g, waitingRequest))
	require.NoError(t, err)
	require.NotContains(t, string(got), "0\r\n\r\n")
	g.listeners[0].Close()
	require.Eventually(t, func() bool { return g.callers.count() == 0 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "at fault in a stream") }, 10*time.Second, time.Millisecond)
	require.True(t, body.closed)
}
