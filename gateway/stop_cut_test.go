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
	shortGrace = 1800 * time.Millisecond
	cutMargin  = shortGrace / 6 // before the end of the grace, as in the gateway
)

// holds returns a script that keeps requests until the other side closes their connections, which it counts.
func holds(began func(a *arrival), ended *sync.WaitGroup) func(a *arrival) bool {
	return func(a *arrival) bool {
		began(a)
		closed(a.conn, waitLimit)
		ended.Done()
		return false
	}
}

// arrivals returns the number of requests at all targets.
func (w *testEnv) arrivals() int {
	count := 0
	for _, s := range w.targets {
		count += len(s.seen())
	}
	return count
}

// The second of two requests in one segment was read with the first, whose answer closes the connection: it is
// not at a target, as that answer promises.
func TestRequestBehindTheLastOneOfAConnectionIsNotPassedOn(t *testing.T) {
	w := newTestEnvWith(t, graceOf(shortGrace), newScripted(t, "a", "plain", ok))
	kept := w.dial("")
	rd := bufio.NewReader(kept)
	ask(t, kept, "/order/x", "r1")
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
	require.Less(t, w.ended(), shortGrace)
	require.Equal(t, 2, w.arrivals())
}

// A body that is whole around the end of the work was passed on and cut: it is answered, and refused if it can't be over.
func TestBodyThatIsWholeAroundTheEndOfTheWorkIsAnsweredOrNotPassedOn(t *testing.T) {
	const step, before, after = 20 * time.Millisecond, 200 * time.Millisecond, 280 * time.Millisecond
	w := newTestEnvWith(t, graceOf(shortGrace), newScripted(t, "a", "plain", ok))
	type sender struct {
		id      string
		moment  time.Duration // in which its body is whole, since the signal
		limited bool          // it can be over in a moment
		conn    net.Conn
		result  result
	}
	var senders []*sender
	for moment := shortGrace - cutMargin - before; moment < shortGrace-cutMargin+after; moment += step {
		for _, limited := range []bool{false, true} {
			s := &sender{id: fmt.Sprint("r", len(senders)), moment: moment, limited: limited}
			deadline := 1500
			if limited {
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
			time.Sleep(time.Until(began.Add(s.moment)))
			if _, err := io.WriteString(s.conn, "56789"); err != nil {
				s.result.err = err
				return
			}
			_ = s.conn.SetReadDeadline(time.Now().Add(time.Second))
			s.result = readResult(bufio.NewReader(s.conn))
		})
	}
	require.Less(t, w.ended(), shortGrace)
	wg.Wait()
	at := map[string]bool{}
	for _, a := range w.targets[0].seen() {
		at[a.header("X-Attempt-Id")] = true
	}
	for _, s := range senders {
		if at[s.id] {
			require.True(t, s.limited, "%s: passed on %v after the signal", s.id, s.moment)
		}
		if at[s.id] || s.moment <= shortGrace-cutMargin {
			require.NoError(t, s.result.err, "%s: %v after the signal", s.id, s.moment)
		}
		if s.result.err == nil && !at[s.id] {
			require.Equal(t, fasthttp.StatusServiceUnavailable, s.result.status)
		}
	}
	require.Positive(t, len(at), "some are over in time")
}

// A second send that would not be over in time was begun late in the grace, and cut.
func TestSecondSendIsNotBegunLateInTheGrace(t *testing.T) {
	breakOff := make(chan struct{})
	script := func(*arrival) bool {
		<-breakOff
		return false
	}
	w := newTestEnvWith(t, graceOf(shortGrace), newScripted(t, "a", "plain", script), newScripted(t, "b", "plain", script))
	w.configure(func(d *configDocument) { d.Routes[0].Aim = 1000 })
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	caller := w.dial("GET /lookup/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Deadline-Ms: 1900\r\n\r\n")
	w.waitUntil(func() bool { return w.arrivals() == 1 })
	w.stop()
	w.waitUntil(func() bool { return w.logContains(`"event":"stopping"`) })
	<-time.After(shortGrace - cutMargin - 800*time.Millisecond) // less than the aim is left
	close(breakOff)
	r := readResult(bufio.NewReader(caller))
	require.NoError(t, r.err)
	require.Equal(t, fasthttp.StatusBadGateway, r.status, "its target may have run it")
	require.Less(t, w.ended(), shortGrace)
	require.Equal(t, 1, w.arrivals())
}

// A caller that does not read a long stream held up the end of the process, and its request was not in the log.
func TestCallerThatDoesNotReadItsStreamHoldsNothingUp(t *testing.T) {
	const size = 4 << 10
	ended := make(chan struct{})
	w := newTestEnvWith(t, graceOf(shortGrace), newScripted(t, "m", "model", func(a *arrival) bool {
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
	w.waitUntil(func() bool { return w.arrivals() == 1 })
	w.stop()
	require.Less(t, w.ended(), shortGrace)
	got(t, ended)
	require.Contains(t, w.line(`"event":"answered"`), `"reason":"stopping"`)
}

// line returns the first line of the log with a text.
func (w *testEnv) line(text string) string {
	for line := range strings.Lines(w.logs.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// A caller that does not read a big answer held up the end of the process.
func TestCallerThatDoesNotReadItsAnswerHoldsNothingUp(t *testing.T) {
	const size = 15 << 20
	w := newTestEnvWith(t, graceOf(shortGrace), newScripted(t, "a", "plain", func(a *arrival) bool {
		a.answer(fasthttp.StatusOK, strings.Repeat("x", size))
		return true
	}))
	w.configure(func(d *configDocument) { d.Routes[0].Timeout = 20000 }) // a big answer may take its time to come
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	w.dial("GET /lookup/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n\r\n")
	w.waitUntil(func() bool { return w.logContains(`"event":"answered"`) })
	require.Contains(t, w.line(`"event":"answered"`), `"status":200`)
	w.stop()
	require.Less(t, w.ended(), shortGrace)
	require.True(t, w.logContains(`"callers":1`), "it is cut, and the log tells")
}

// A stream that may not be resumed, or was being resumed, began once more as its host ended.
func TestStreamIsCutOnceAtTheEndOfTheGrace(t *testing.T) {
	for path, sends := range map[string]int{"/once/x": 1, "/stream/x": 2} {
		t.Run(path, func(t *testing.T) {
			var ended sync.WaitGroup
			ended.Add(1)
			hold := holds(func(a *arrival) {
				if a.header("Last-Event-Id") == "" {
					a.begin()
					a.events(1, 2)
				}
			}, &ended)
			script := hold
			if sends == 2 {
				script = firstAndRelief(func(a *arrival) bool {
					a.begin()
					a.events(1, 2)
					return false
				}, hold)
			}
			w := newTestEnvWith(t, graceOf(shortGrace), newScripted(t, "a", "model", script), newScripted(t, "b", "model", script))
			caller := w.dial(streamRequest(path, "r1"))
			w.waitUntil(func() bool { return w.arrivals() == sends })
			w.stop()
			require.Less(t, w.ended(), shortGrace)
			ended.Wait()
			r := readResult(bufio.NewReader(caller))
			require.Error(t, r.err)
			require.Equal(t, wantEvents(2), r.body)
			require.Equal(t, sends, w.arrivals())
			require.Contains(t, w.line(`"event":"answered"`), `"reason":"stopping"`)
		})
	}
}

// A request that was at two targets, as one was silent, when its host ended: both were left at work, or a third
// one was asked.
func TestRequestAtTwoTargetsIsCutAtBoth(t *testing.T) {
	for path, service := range map[string]string{"/stream/x": "model", "/lookup/x": "plain"} {
		t.Run(path, func(t *testing.T) {
			var ended sync.WaitGroup
			ended.Add(2)
			script := firstAndRelief(holds(func(a *arrival) {
				if service == "model" {
					a.begin()
					a.events(1, 2)
				}
			}, &ended), holds(func(*arrival) {}, &ended))
			w := newTestEnvWith(t, graceOf(shortGrace), newScripted(t, "a", service, script), newScripted(t, "b", service, script), newScripted(t, "c", service, script))
			caller := w.dial(streamRequest(path, "r1"))
			w.waitUntil(func() bool { return w.arrivals() == 2 })
			w.stop()
			require.Less(t, w.ended(), shortGrace)
			ended.Wait()
			r := readResult(bufio.NewReader(caller))
			if service == "model" {
				require.Error(t, r.err)
				require.Equal(t, wantEvents(2), r.body)
			} else {
				require.NoError(t, r.err)
				require.Equal(t, fasthttp.StatusGatewayTimeout, r.status)
			}
			require.Equal(t, 2, w.arrivals())
		})
	}
}
