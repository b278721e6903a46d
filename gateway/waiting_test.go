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

const waitingRequest = "GET /none HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n"

// serveIdle serves the callers of a gateway that does not run and knows no route, so that it
// answers at once and keeps the connections.
func serveIdle(t *testing.T, g *Gateway, table *route.Table) {
	t.Helper()
	g.core.table.Store(table)
	g.core.confirmConfig(sinceBoot() + time.Hour)
	served := make(chan error, len(g.listeners))
	g.startServers(served)
	t.Cleanup(func() { g.listeners[0].Close() })
}

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

// MIXED: a caller that opened a connection and sent nothing gets no answer before its first
// request.
func TestConnectionWithoutRequestIsClosedWithoutAnswer(t *testing.T) {
	g := newIdle(t)
	g.server.ReadTimeout = 30 * time.Millisecond
	serveIdle(t, g, &route.Table{})
	got, err := io.ReadAll(dialIdle(t, g, ""))
	require.NoError(t, err)
	require.Empty(t, string(got))
}

// LOST on a host that stood still: a request that came while the connection might be idle is
// served, also where the host finds it after the end of that time.
func TestRequestThatCameInTimeIsReadLate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	c, err := newPatientListener(l.(*net.TCPListener), newCallers(func() time.Duration { return time.Millisecond })).Accept()
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
	require.Error(t, err, "nothing came")
}

// LOST beside a change of the configuration: a connection goes by the idle time that is in
// force, not by the one from which on it waits.
func TestLongerIdleTimeHoldsForConnectionsThatWait(t *testing.T) {
	const callers, short, long = 60, 300 * time.Millisecond, 3 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	g := newIdle(t)
	serveIdle(t, g, &route.Table{Idle: short})
	g.core.configAsOf.Store(int64(sinceBoot()))
	moments := make([]time.Duration, callers)
	for i := range moments {
		moments[i] = short + time.Duration(random.Int64N(int64(long*4/5-short)))
	}
	began := time.Now()
	var wg sync.WaitGroup
	errs := make([]error, callers)
	for i := range callers {
		caller := dialIdle(t, g, waitingRequest)
		require.Equal(t, 404, answerOf(caller))
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(moments[i])))
			if _, errs[i] = io.WriteString(caller, waitingRequest); errs[i] == nil && answerOf(caller) != 404 {
				errs[i] = io.ErrUnexpectedEOF
			}
		})
	}
	require.Less(t, time.Since(began), short, "the change comes too late")
	g.core.table.Store(&route.Table{Idle: long})
	g.core.confirmConfig(sinceBoot() + time.Hour)
	wg.Wait()
	for i, err := range errs {
		require.NoError(t, err, moments[i])
	}
}

// answerOf reads an answer without a long body and returns its status, 0 without one.
func answerOf(caller net.Conn) int {
	buf := make([]byte, 4096)
	n, err := caller.Read(buf)
	if err != nil || !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 404 ")) {
		return 0
	}
	return 404
}

// A longer idle time that this host has not noticed yet counts from its writing.
func TestIdleTimeAllowsForNews(t *testing.T) {
	g := newIdle(t)
	require.Equal(t, idleTimeout, g.callerIdleTimeout())
	g.core.table.Store(&route.Table{Idle: time.Second})
	g.core.configAsOf.Store(int64(sinceBoot() - 700*time.Millisecond))
	require.InDelta(t, 1700*time.Millisecond, g.callerIdleTimeout(), float64(200*time.Millisecond))
	g.core.configAsOf.Store(int64(sinceBoot() - time.Hour))
	require.Equal(t, time.Second+mostUnnoticed, g.callerIdleTimeout())
}

// Bytes that come as their connection is closed for its idle time are told of.
func TestCrossedRequestIsNoted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	for _, text := range []string{"", "GET"} {
		caller, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer caller.Close()
		var whys []string
		open := newCallers(func() time.Duration { return time.Millisecond })
		open.crossed = func(_ net.Addr, _ time.Duration, why string) { whys = append(whys, why) }
		c, err := newPatientListener(l.(*net.TCPListener), open).Accept()
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		_, err = io.WriteString(caller, text)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return link.Readable(c) == (text != "") }, 10*time.Second, time.Millisecond)
		require.NoError(t, c.Close())
		require.Len(t, whys, min(1, len(text)))
		require.Zero(t, open.count())
	}
}
