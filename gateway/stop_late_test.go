package gateway_test

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/standin/loopback"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// graceOf returns a change of the settings that sets the grace.
func graceOf(grace time.Duration) func(s *gateway.Settings) {
	return func(s *gateway.Settings) { s.Grace = settings.OptionalDuration{Duration: grace} }
}

// ended returns how long the process takes to end, from now on.
func (w *world) ended() time.Duration {
	w.t.Helper()
	began := time.Now()
	require.NoError(w.t, got(w.t, w.done))
	return time.Since(began)
}

// An idle process outlived its grace, since it waited for calls of a store that did not answer.
func TestIdleProcessEndsWithinItsGraceWithoutAStore(t *testing.T) {
	const grace = 1200 * time.Millisecond
	w := newWorldWith(t, graceOf(grace))
	w.store.SetFaults(standin.Faults{Slow: 5000})
	w.until(func() bool { return w.logged(`"event":"store-lost"`) })
	w.stop()
	require.Less(t, w.ended(), grace)
	require.True(t, w.logged(`"event":"stopped"`))
}

// A process with work that does not end outlived its grace and was killed in the middle of answers.
func TestProcessWithEndlessWorkEndsWithinItsGrace(t *testing.T) {
	const grace = 1800 * time.Millisecond
	hold := make(chan struct{})
	defer close(hold)
	w := newWorldWith(t, graceOf(grace),
		newScripted(t, "a", "plain", func(*arrival) bool {
			<-hold
			return false
		}),
		newScripted(t, "m", "model", func(a *arrival) bool {
			a.begin()
			a.events(1, 2)
			<-hold
			return false
		}))
	order := w.dial("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n")
	stream := w.dial(streamRequest("/stream/x", "r2"))
	w.until(func() bool { return len(w.targets[0].seen()) == 1 && len(w.targets[1].seen()) == 1 })
	w.stop()
	require.Less(t, w.ended(), grace)

	r := readResult(bufio.NewReader(order))
	require.NoError(t, r.err, "an order that its target has is answered")
	require.Equal(t, fasthttp.StatusGatewayTimeout, r.status)
	r = readResult(bufio.NewReader(stream))
	require.Error(t, r.err, "a stream that is cut must not look complete")
	require.Equal(t, wantEvents(2), r.body)
	require.Equal(t, 2, strings.Count(w.logs.String(), `"reason":"stopping"`))
	require.True(t, w.logged(`"event":"stopped"`))
}

func streamRequest(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Key: key1\r\nX-Token-Count: 100,40\r\nContent-Length: 0\r\n\r\n", path, id)
}

// A host without any stream so far took streams of any length in a planned stop, and cut them.
func TestStreamOfUnknownLengthIsRefusedInAPlannedStop(t *testing.T) {
	w := newWorld(t, newScripted(t, "m", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		<-time.After(3 * time.Second)
		return false
	}))
	w.stop()
	w.until(func() bool { return w.logged(`"event":"stopping"`) })
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Peek(fasthttp.HeaderRetryAfter))
	require.Empty(t, w.targets[0].seen())
}

// A stream that may not be resumed was taken if the mean of its route would be over in time; a longer
// one was cut.
func TestStreamThatMayBeLongIsRefusedInAPlannedStop(t *testing.T) {
	w := newWorld(t, newScripted(t, "m", "model", func(a *arrival) bool {
		a.begin()
		for n := 1; n <= 5; n++ {
			a.events(n, n)
			<-time.After(100 * time.Millisecond)
		}
		a.end()
		return true
	}))
	for n := range 4 {
		require.NoError(t, w.do(call{path: "/once/x", key: "key1", id: fmt.Sprint("r", n)}).err)
	}
	w.stop()
	w.until(func() bool { return w.logged(`"event":"stopping"`) })
	r := w.do(call{path: "/once/x", key: "key1", id: "long"}) // 40 events at the pace of the others take 4 s
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.Len(t, w.targets[0].seen(), 4)
}

// A stream that came late in the grace was taken by the usual length of its route, and a longer one was cut.
func TestStreamLateInTheGraceIsRefusedUnlessItsTimeIsOver(t *testing.T) {
	const grace = 3 * time.Second
	w := newWorldWith(t, graceOf(grace), newScripted(t, "m", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 4)
		a.end()
		return true
	}))
	for n := range 4 {
		require.NoError(t, w.do(call{path: "/stream/x", key: "key1", id: fmt.Sprint("r", n)}).err)
	}
	w.stop()
	w.until(func() bool { return w.logged(`"event":"stopping"`) })
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/stream/x", key: "key1", id: "early"}).status)
	<-time.After(grace / 3)
	require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/stream/x", key: "key1", id: "late"}).status)
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/stream/x", key: "key1", id: "short", deadline: time.Second}).status)
}

// An order that waited for a place was sent on late in the grace, and cut.
func TestOrderThatWaitsIsRefusedLateInTheGrace(t *testing.T) {
	hold := make(chan struct{})
	metrics := loopback.Address()
	w := newWorldWith(t, func(s *gateway.Settings) {
		s.Grace, s.Metrics = settings.OptionalDuration{Duration: 2 * time.Second}, metrics
	}, newScripted(t, "a", "plain", func(a *arrival) bool {
		<-hold
		return ok(a)
	}))
	for n := range 8 {
		conn := w.dial("")
		ask(t, conn, "/order/x", fmt.Sprint("r", n))
	}
	w.until(func() bool { return len(w.targets[0].seen()) == 8 })
	waiting := w.dial("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\nX-Deadline-Ms: 1900\r\nContent-Length: 0\r\n\r\n")
	w.until(func() bool {
		_, body := w.get(metrics, "/metrics")
		return strings.Contains(body, "cassia_gateway_in_flight_requests 9")
	})
	w.stop()
	w.until(func() bool { return w.logged(`"event":"stopping"`) })
	close(hold)
	r := readResult(bufio.NewReader(waiting))
	require.NoError(t, r.err)
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.Len(t, w.targets[0].seen(), 8)
}

// A reload that made the grace longer after the signal to stop let requests in that were cut at its end.
func TestReloadDoesNotMoveTheEndOfAPlannedStop(t *testing.T) {
	w := newWorldWith(t, graceOf(1200*time.Millisecond), newScripted(t, "a", "plain", ok))
	w.stop()
	w.until(func() bool { return w.logged(`"event":"stopping"`) })
	longer := w.own
	longer.Grace = settings.OptionalDuration{Duration: time.Minute}
	require.NoError(t, w.gateway.Reload(longer))
	require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/order/x", id: "r1"}).status)
	require.Empty(t, w.targets[0].seen())
}

// A lookup in hand got no second send, and no place that it waited for, from the signal to stop on.
func TestLookupInHandIsServedInAPlannedStop(t *testing.T) {
	hold := make(chan struct{})
	script := func(a *arrival) bool {
		select {
		case <-hold:
			return ok(a)
		default:
			<-hold
			return false
		}
	}
	w := newWorldWith(t, graceOf(2*time.Second), newScripted(t, "a", "plain", script), newScripted(t, "b", "plain", script))
	conn := w.dial("POST /lookup/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n")
	w.until(func() bool { return len(w.targets[0].seen())+len(w.targets[1].seen()) == 1 })
	w.stop()
	w.until(func() bool { return w.logged(`"event":"stopping"`) })
	close(hold)
	require.Equal(t, fasthttp.StatusOK, readResult(bufio.NewReader(conn)).status)
}

// A stream that its target broke off after the signal to stop was not resumed.
func TestStreamInHandIsResumedInAPlannedStop(t *testing.T) {
	hold := make(chan struct{})
	script := func(a *arrival) bool {
		if a.header("Last-Event-Id") == "" {
			a.begin()
			a.events(1, 2)
			<-hold
			return false
		}
		a.begin()
		a.events(3, 40)
		a.end()
		return true
	}
	w := newWorld(t, newScripted(t, "m", "model", script), newScripted(t, "n", "model", script))
	conn := w.dial(streamRequest("/stream/x", "r1"))
	w.until(func() bool { return len(w.targets[0].seen())+len(w.targets[1].seen()) == 1 })
	w.stop()
	w.until(func() bool { return w.logged(`"event":"stopping"`) })
	close(hold)
	r := readResult(bufio.NewReader(conn))
	require.NoError(t, r.err)
	require.Equal(t, wantEvents(40), r.body)
}
