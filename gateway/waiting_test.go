package gateway

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/route"
)

// unroutedRequest is a request that matches no route and is answered with 404.
const unroutedRequest = "GET /none HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n"

// serveIdle serves callers of a gateway without running its background work. Without routes it
// answers at once and keeps the connections open.
func serveIdle(t *testing.T, g *Gateway, table *route.Table) {
	t.Helper()
	g.core.table.Store(table)
	g.core.confirmConfig(sinceBoot() + time.Hour)
	served := make(chan error, len(g.listeners))
	g.startServers(served)
	t.Cleanup(func() { g.listeners[0].Close() })
}

// dialIdle connects to the gateway and writes a text.
func dialIdle(t *testing.T, g *Gateway, text string) net.Conn {
	t.Helper()
	caller, err := net.Dial("tcp", g.settings.Listen.String())
	require.NoError(t, err)
	t.Cleanup(func() { caller.Close() })
	_, err = io.WriteString(caller, text)
	require.NoError(t, err)
	require.NoError(t, caller.SetDeadline(time.Now().Add(10*time.Second)))
	return caller
}

// When the connection of a caller that has sent nothing is closed after the idle timeout, no answer such as 408
// is written: the caller could take it for the answer to its first request.
func TestConnectionWithoutRequestIsClosedWithoutAnswer(t *testing.T) {
	g := newIdleGateway(t)
	g.server.ReadTimeout = 30 * time.Millisecond
	serveIdle(t, g, &route.Table{})
	got, err := io.ReadAll(dialIdle(t, g, ""))
	require.NoError(t, err)
	require.Empty(t, string(got))
}

// A request that arrived before the idle timeout is served even if the host, delayed, reads it only
// after the timeout.
func TestRequestArrivedBeforeIdleTimeoutIsServed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	c, err := newCallerListener(l.(*net.TCPListener), newCallerTracker(func() time.Duration { return time.Millisecond })).Accept()
	require.NoError(t, err)
	defer c.Close()
	buf := make([]byte, 10)
	for range 3 {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(idleTimeout)))
		_, err = io.WriteString(caller, "0123456789")
		require.NoError(t, err)
		time.Sleep(3 * time.Millisecond)
		_, err = io.ReadFull(c, buf)
		require.NoError(t, err)
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(idleTimeout)))
	_, err = c.Read(buf)
	require.Error(t, err, "the idle timeout must end the wait")
}

// A longer idle timeout applies also to connections that were already idle when it came into force.
func TestLongerIdleTimeoutAppliesToIdleConnections(t *testing.T) {
	const callers, short, long = 60, 300 * time.Millisecond, 3 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	g := newIdleGateway(t)
	serveIdle(t, g, &route.Table{IdleTimeout: short})
	g.core.configAsOf.Store(int64(sinceBoot()))
	delays := make([]time.Duration, callers)
	for i := range delays {
		delays[i] = short + time.Duration(random.Int64N(int64(long*4/5-short)))
	}
	began := time.Now()
	var wg sync.WaitGroup
	errs := make([]error, callers)
	for i := range callers {
		caller := dialIdle(t, g, unroutedRequest)
		require.Equal(t, 404, answerStatus(caller))
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(delays[i])))
			if _, errs[i] = io.WriteString(caller, unroutedRequest); errs[i] == nil && answerStatus(caller) != 404 {
				errs[i] = io.ErrUnexpectedEOF
			}
		})
	}
	require.Less(t, time.Since(began), short, "the change came after the first idle timeout")
	g.core.table.Store(&route.Table{IdleTimeout: long})
	g.core.confirmConfig(sinceBoot() + time.Hour)
	wg.Wait()
	for i, err := range errs {
		require.NoError(t, err, delays[i])
	}
}

// answerStatus reads a short answer and returns 404 if that is its status, otherwise 0.
func answerStatus(caller net.Conn) int {
	buf := make([]byte, 4096)
	n, err := caller.Read(buf)
	if err != nil || !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 404 ")) {
		return 0
	}
	return 404
}

// The idle timeout is extended by the age of the configuration, as a new one with a longer timeout may be in
// force that this host has not read yet.
func TestIdleTimeoutAllowsForConfigurationAge(t *testing.T) {
	g := newIdleGateway(t)
	require.Equal(t, idleTimeout, g.callerIdleTimeout())
	g.core.table.Store(&route.Table{IdleTimeout: time.Second})
	g.core.configAsOf.Store(int64(sinceBoot() - 700*time.Millisecond))
	require.InDelta(t, 1700*time.Millisecond, g.callerIdleTimeout(), float64(200*time.Millisecond))
	g.core.configAsOf.Store(int64(sinceBoot() - time.Hour))
	require.Equal(t, time.Second+maxUnnoticed, g.callerIdleTimeout())
}

// Bytes that arrive while their connection is closed for being idle are reported.
func TestBytesArrivingDuringIdleCloseAreReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	for _, text := range []string{"", "GET"} {
		caller, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer caller.Close()
		var reasons []string
		tracker := newCallerTracker(func() time.Duration { return time.Millisecond })
		tracker.onCrossed = func(_ net.Addr, _ time.Duration, reason string) { reasons = append(reasons, reason) }
		c, err := newCallerListener(l.(*net.TCPListener), tracker).Accept()
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		_, err = io.WriteString(caller, text)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return link.Readable(c) == (text != "") }, 10*time.Second, time.Millisecond)
		require.NoError(t, c.Close())
		require.Len(t, reasons, min(1, len(text)))
		require.Zero(t, tracker.count())
	}
}
