package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	shortGrace = 1800 * time.Millisecond // grace period of a planned stop in these tests
	stopMargin = shortGrace / 6          // time before the end of the grace period at which the gateway aborts requests; the gateway computes it likewise
)

// holdUntilClosed returns a script that calls began for each request and then holds it until the other side
// closes the connection. It calls ended.Done for each request that ends so.
func holdUntilClosed(began func(a *arrival), ended *sync.WaitGroup) func(a *arrival) bool {
	return func(a *arrival) bool {
		began(a)
		closedWithin(a.conn, waitTimeout)
		ended.Done()
		return false
	}
}

// requestCount returns the number of requests that have arrived at all targets.
func (w *testEnv) requestCount() int {
	count := 0
	for _, s := range w.targets {
		count += len(s.received())
	}
	return count
}

// When two requests arrive in one segment during a planned stop, the answer to the first closes the connection
// and so tells the caller that the second has not run. The second, which was read together with the first, must
// not reach a target.
func TestRequestBehindTheLastOneOfAConnectionIsNotPassedOn(t *testing.T) {
	w := newTestEnvWith(t, withGrace(shortGrace), newScriptedTarget(t, "a", "plain", answerOK))
	kept := w.dial("")
	rd := bufio.NewReader(kept)
	sendGet(t, kept, "/order/x", "r1")
	require.Equal(t, fasthttp.StatusOK, readResult(rd).status)
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	two := "GET /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r2\r\nX-Deadline-Ms: 200\r\n\r\n"
	_, err := io.WriteString(kept, two+strings.Replace(two, "r2", "r3", 1))
	require.NoError(t, err)
	r := readResult(rd)
	require.NoError(t, r.err)
	require.Equal(t, "done r2", r.body)
	require.True(t, r.header.ConnectionClose())
	require.Error(t, readResult(rd).err)
	require.Less(t, w.timeToEnd(), shortGrace)
	require.Equal(t, 2, w.requestCount())
}

// A request whose body is completed near the end of a planned stop could be forwarded and then aborted. It
// must be answered, or refused if it can't be finished in time.
func TestBodyCompletedNearStopDeadlineIsAnsweredOrNotForwarded(t *testing.T) {
	const step, before, after = 20 * time.Millisecond, 200 * time.Millisecond, 280 * time.Millisecond
	w := newTestEnvWith(t, withGrace(shortGrace), newScriptedTarget(t, "a", "plain", answerOK))
	type sender struct {
		id               string
		completeAfter    time.Duration // time from the signal until its body is complete
		hasShortDeadline bool          // of 50 ms
		conn             net.Conn
		result           result
	}
	var senders []*sender
	for completeAfter := shortGrace - stopMargin - before; completeAfter < shortGrace-stopMargin+after; completeAfter += step {
		for _, hasShortDeadline := range []bool{false, true} {
			s := &sender{id: fmt.Sprint("r", len(senders)), completeAfter: completeAfter, hasShortDeadline: hasShortDeadline}
			deadline := 1500
			if hasShortDeadline {
				deadline = 50
			}
			s.conn = w.dial(fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 10\r\n\r\n01234", s.id, deadline))
			senders = append(senders, s)
		}
	}
	began := time.Now()
	w.stop()
	var wg sync.WaitGroup
	for _, s := range senders {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(s.completeAfter)))
			if _, err := io.WriteString(s.conn, "56789"); err != nil {
				s.result.err = err
				return
			}
			_ = s.conn.SetReadDeadline(time.Now().Add(time.Second))
			s.result = readResult(bufio.NewReader(s.conn))
		})
	}
	require.Less(t, w.timeToEnd(), shortGrace)
	wg.Wait()
	forwarded := map[string]bool{}
	for _, a := range w.targets[0].received() {
		forwarded[a.header("X-Attempt-Id")] = true
	}
	for _, s := range senders {
		if forwarded[s.id] {
			require.True(t, s.hasShortDeadline, "%s: forwarded %v after the signal", s.id, s.completeAfter)
		}
		if forwarded[s.id] || s.completeAfter <= shortGrace-stopMargin {
			require.NoError(t, s.result.err, "%s: %v after the signal", s.id, s.completeAfter)
		}
		if s.result.err == nil && !forwarded[s.id] {
			require.Equal(t, fasthttp.StatusServiceUnavailable, s.result.status)
		}
	}
	require.Positive(t, len(forwarded), "some requests finish in time")
}

// Late in the grace period, a failed request was retried although too little time was left, and the retry was
// aborted.
func TestNoRetryLateInGracePeriod(t *testing.T) {
	closeWithoutAnswer := make(chan struct{})
	script := func(*arrival) bool {
		<-closeWithoutAnswer
		return false
	}
	w := newTestEnvWith(t, withGrace(shortGrace), newScriptedTarget(t, "a", "plain", script), newScriptedTarget(t, "b", "plain", script))
	w.configure(func(d *configDocument) { d.Routes[0].LatencyGoal = 1000 })
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	caller := w.dial("GET /lookup/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Deadline-Ms: 1900\r\n\r\n")
	w.waitUntil(func() bool { return w.requestCount() == 1 })
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	<-time.After(shortGrace - stopMargin - 800*time.Millisecond) // less time than the latency goal is left
	close(closeWithoutAnswer)
	r := readResult(bufio.NewReader(caller))
	require.NoError(t, r.err)
	require.Equal(t, fasthttp.StatusBadGateway, r.status, "the target may have run the request")
	require.Less(t, w.timeToEnd(), shortGrace)
	require.Equal(t, 1, w.requestCount())
}

// A caller that does not read a long stream delayed the end of the process, and its request was missing in
// the log.
func TestCallerNotReadingStreamDoesNotDelayStop(t *testing.T) {
	const size = 4 << 10
	ended := make(chan struct{})
	w := newTestEnvWith(t, withGrace(shortGrace), newScriptedTarget(t, "m", "model", func(a *arrival) bool {
		defer close(ended)
		a.begin()
		text := strings.Repeat("x", size)
		for n := 1; ; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
			if _, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
	}))
	caller := w.dial(streamRequest("/stream/x", "r1"))
	require.NoError(t, caller.(*net.TCPConn).SetReadBuffer(size))
	w.waitUntil(func() bool { return w.requestCount() == 1 })
	w.stop()
	require.Less(t, w.timeToEnd(), shortGrace)
	receive(t, ended)
	require.Contains(t, w.logLine(`"event":"answered"`), `"reason":"stopping"`)
}

// logLine returns the first line of the log that contains a text.
func (w *testEnv) logLine(text string) string {
	for line := range strings.Lines(w.logs.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// A caller that does not read a large answer delayed the end of the process.
func TestCallerNotReadingAnswerDoesNotDelayStop(t *testing.T) {
	const size = 15 << 20
	w := newTestEnvWith(t, withGrace(shortGrace), newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		a.answer(fasthttp.StatusOK, strings.Repeat("x", size))
		return true
	}))
	w.configure(func(d *configDocument) { d.Routes[0].Timeout = 20000 }) // a large answer may take long to arrive
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	w.dial("GET /lookup/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n\r\n")
	w.waitUntil(func() bool { return w.logContains(`"event":"answered"`) })
	require.Contains(t, w.logLine(`"event":"answered"`), `"status":200`)
	w.stop()
	require.Less(t, w.timeToEnd(), shortGrace)
	require.True(t, w.logContains(`"callers":1`), "the connection is cut and counted in the log")
}

// A stream that must not be resumed, or was just being resumed, was sent to another target when the gateway
// aborted it at the end of the grace period.
func TestStreamAbortedAtEndOfGracePeriodIsNotRetried(t *testing.T) {
	for path, sends := range map[string]int{"/once/x": 1, "/stream/x": 2} {
		t.Run(path, func(t *testing.T) {
			var ended sync.WaitGroup
			ended.Add(1)
			hold := holdUntilClosed(func(a *arrival) {
				if a.header("Last-Event-Id") == "" {
					a.begin()
					a.events(1, 2)
				}
			}, &ended)
			script := hold
			if sends == 2 {
				script = firstThenRest(func(a *arrival) bool {
					a.begin()
					a.events(1, 2)
					return false
				}, hold)
			}
			w := newTestEnvWith(t, withGrace(shortGrace), newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
			caller := w.dial(streamRequest(path, "r1"))
			w.waitUntil(func() bool { return w.requestCount() == sends })
			w.stop()
			require.Less(t, w.timeToEnd(), shortGrace)
			ended.Wait()
			r := readResult(bufio.NewReader(caller))
			require.Error(t, r.err)
			require.Equal(t, wantEvents(2), r.body)
			require.Equal(t, sends, w.requestCount())
			require.Contains(t, w.logLine(`"event":"answered"`), `"reason":"stopping"`)
		})
	}
}

// When a planned stop aborted a request that was at two targets because the first was silent, it was not
// cancelled at either of them, or was sent to a third one.
func TestPlannedStopAbortsHedgedRequestAtBothTargets(t *testing.T) {
	for path, service := range map[string]string{"/stream/x": "model", "/lookup/x": "plain"} {
		t.Run(path, func(t *testing.T) {
			var ended sync.WaitGroup
			ended.Add(2)
			script := firstThenRest(holdUntilClosed(func(a *arrival) {
				if service == "model" {
					a.begin()
					a.events(1, 2)
				}
			}, &ended), holdUntilClosed(func(*arrival) {}, &ended))
			w := newTestEnvWith(t, withGrace(shortGrace), newScriptedTarget(t, "a", service, script), newScriptedTarget(t, "b", service, script), newScriptedTarget(t, "c", service, script))
			caller := w.dial(streamRequest(path, "r1"))
			w.waitUntil(func() bool { return w.requestCount() == 2 })
			w.stop()
			require.Less(t, w.timeToEnd(), shortGrace)
			ended.Wait()
			r := readResult(bufio.NewReader(caller))
			if service == "model" {
				require.Error(t, r.err)
				require.Equal(t, wantEvents(2), r.body)
			} else {
				require.NoError(t, r.err)
				require.Equal(t, fasthttp.StatusGatewayTimeout, r.status)
			}
			require.Equal(t, 2, w.requestCount())
		})
	}
}
