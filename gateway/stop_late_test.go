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

// withGrace returns a change of the settings that sets the grace period.
func withGrace(grace time.Duration) func(s *gateway.Settings) {
	return func(s *gateway.Settings) { s.Grace = settings.OptionalDuration{Duration: grace} }
}

// timeToEnd waits until the process ends and returns how long that took from now.
func (w *testEnv) timeToEnd() time.Duration {
	w.t.Helper()
	began := time.Now()
	require.NoError(w.t, receive(w.t, w.done))
	return time.Since(began)
}

// An idle process outlived its grace period because it waited for calls to a store that did not answer.
func TestIdleProcessWithoutStoreEndsWithinGracePeriod(t *testing.T) {
	const grace = 1200 * time.Millisecond
	w := newTestEnvWith(t, withGrace(grace))
	w.store.SetFaults(standin.Faults{Slow: 5000})
	w.waitUntil(func() bool { return w.logContains(`"event":"store-lost"`) })
	w.stop()
	require.Less(t, w.timeToEnd(), grace)
	require.True(t, w.logContains(`"event":"stopped"`))
}

// A process whose requests do not end outlived its grace period and was killed while it wrote answers.
func TestProcessWithEndlessRequestsEndsWithinGracePeriod(t *testing.T) {
	const grace = 1800 * time.Millisecond
	release := make(chan struct{})
	defer close(release)
	w := newTestEnvWith(t, withGrace(grace),
		newScriptedTarget(t, "a", "plain", func(*arrival) bool {
			<-release
			return false
		}),
		newScriptedTarget(t, "m", "model", func(a *arrival) bool {
			a.begin()
			a.events(1, 2)
			<-release
			return false
		}))
	order := w.dial("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n")
	stream := w.dial(streamRequest("/stream/x", "r2"))
	w.waitUntil(func() bool { return len(w.targets[0].received()) == 1 && len(w.targets[1].received()) == 1 })
	w.stop()
	require.Less(t, w.timeToEnd(), grace)

	r := readResult(bufio.NewReader(order))
	require.NoError(t, r.err, "an order that was sent to its target is answered")
	require.Equal(t, fasthttp.StatusGatewayTimeout, r.status)
	r = readResult(bufio.NewReader(stream))
	require.Error(t, r.err, "a stream that is cut must not look complete")
	require.Equal(t, wantEvents(2), r.body)
	require.Equal(t, 2, strings.Count(w.logs.String(), `"reason":"stopping"`))
	require.True(t, w.logContains(`"event":"stopped"`))
}

// streamRequest returns the text of a request with a key and token counts.
func streamRequest(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Key: key1\r\nX-Token-Count: 100,40\r\nContent-Length: 0\r\n\r\n", path, id)
}

// During a planned stop, a host that had served no stream before admitted streams of any length, and aborted
// them.
func TestStreamOfUnknownLengthIsRefusedDuringPlannedStop(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "m", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		<-time.After(3 * time.Second)
		return false
	}))
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Peek(fasthttp.HeaderRetryAfter))
	require.Empty(t, w.targets[0].received())
}

// During a planned stop, a stream that must not be resumed was admitted if a stream of mean duration on its
// route would end in time. One that took longer was aborted.
func TestPossiblyLongStreamIsRefusedDuringPlannedStop(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "m", "model", func(a *arrival) bool {
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
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	r := w.do(call{path: "/once/x", key: "key1", id: "long"}) // 40 events at the rate of the others take 4 s
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.Len(t, w.targets[0].received(), 4)
}

// Late in the grace period, a stream was admitted if a stream of usual duration on its route would end in time.
// One that took longer was aborted.
func TestStreamLateInGracePeriodIsRefusedUnlessDeadlineFits(t *testing.T) {
	const grace = 3 * time.Second
	w := newTestEnvWith(t, withGrace(grace), newScriptedTarget(t, "m", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 4)
		a.end()
		return true
	}))
	for n := range 4 {
		require.NoError(t, w.do(call{path: "/stream/x", key: "key1", id: fmt.Sprint("r", n)}).err)
	}
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/stream/x", key: "key1", id: "early"}).status)
	<-time.After(grace / 3)
	require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/stream/x", key: "key1", id: "late"}).status)
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/stream/x", key: "key1", id: "short", deadline: time.Second}).status)
}

// A request that had waited for a slot was sent to a target late in the grace period, and aborted.
func TestQueuedOrderIsRefusedLateInGracePeriod(t *testing.T) {
	release := make(chan struct{})
	metrics := loopback.Address()
	w := newTestEnvWith(t, func(s *gateway.Settings) {
		s.Grace, s.Metrics = settings.OptionalDuration{Duration: 2 * time.Second}, metrics
	}, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		<-release
		return answerOK(a)
	}))
	for n := range 8 {
		conn := w.dial("")
		sendGet(t, conn, "/order/x", fmt.Sprint("r", n))
	}
	w.waitUntil(func() bool { return len(w.targets[0].received()) == 8 })
	waiting := w.dial("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\nX-Deadline-Ms: 1900\r\nContent-Length: 0\r\n\r\n")
	w.waitUntil(func() bool {
		_, body := w.get(metrics, "/metrics")
		return strings.Contains(body, "cassia_gateway_in_flight_requests 9")
	})
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	close(release)
	r := readResult(bufio.NewReader(waiting))
	require.NoError(t, r.err)
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.Len(t, w.targets[0].received(), 8)
}

// After a reload that made the grace period longer during a planned stop, requests were admitted that could
// not finish and were aborted.
func TestReloadDoesNotExtendPlannedStop(t *testing.T) {
	w := newTestEnvWith(t, withGrace(1200*time.Millisecond), newScriptedTarget(t, "a", "plain", answerOK))
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	longer := w.ownSettings
	longer.Grace = settings.OptionalDuration{Duration: time.Minute}
	require.NoError(t, w.gateway.Reload(longer))
	require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/order/x", id: "r1"}).status)
	require.Empty(t, w.targets[0].received())
}

// After the signal to stop, a request that had been admitted was no longer retried, nor given the slot that it
// waited for.
func TestAdmittedLookupIsServedDuringPlannedStop(t *testing.T) {
	release := make(chan struct{})
	script := func(a *arrival) bool {
		select {
		case <-release:
			return answerOK(a)
		default:
			<-release
			return false
		}
	}
	w := newTestEnvWith(t, withGrace(2*time.Second), newScriptedTarget(t, "a", "plain", script), newScriptedTarget(t, "b", "plain", script))
	conn := w.dial("POST /lookup/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n")
	w.waitUntil(func() bool { return len(w.targets[0].received())+len(w.targets[1].received()) == 1 })
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	close(release)
	require.Equal(t, fasthttp.StatusOK, readResult(bufio.NewReader(conn)).status)
}

// A stream that its target broke off after the signal to stop was not resumed.
func TestAdmittedStreamIsResumedDuringPlannedStop(t *testing.T) {
	release := make(chan struct{})
	script := func(a *arrival) bool {
		if a.header("Last-Event-Id") == "" {
			a.begin()
			a.events(1, 2)
			<-release
			return false
		}
		a.begin()
		a.events(3, 40)
		a.end()
		return true
	}
	w := newTestEnv(t, newScriptedTarget(t, "m", "model", script), newScriptedTarget(t, "n", "model", script))
	conn := w.dial(streamRequest("/stream/x", "r1"))
	w.waitUntil(func() bool { return len(w.targets[0].received())+len(w.targets[1].received()) == 1 })
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	close(release)
	r := readResult(bufio.NewReader(conn))
	require.NoError(t, r.err)
	require.Equal(t, wantEvents(40), r.body)
}
