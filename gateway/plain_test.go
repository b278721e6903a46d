package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
)

// answerOK answers a request with a body that contains its ID, and keeps the connection.
func answerOK(a *arrival) bool {
	a.answer(fasthttp.StatusOK, "done "+a.header("X-Attempt-Id"))
	return true
}

// closeWithoutAnswer closes the connection without an answer.
func closeWithoutAnswer(*arrival) bool { return false }

// The answer of a target is passed on, and the request reaches it without the caller's key.
func TestAnswerIsPassedOn(t *testing.T) {
	a := newScriptedTarget(t, "a", "plain", answerOK)
	w := newTestEnv(t, a)
	r := w.do(call{path: "/lookup/x?q=1", key: "key1", id: "r1"})
	require.NoError(t, r.err)
	require.Equal(t, "done r1", r.body)
	require.Equal(t, "s", string(r.header.Peek("X-Replica-Seal")))
	seen := a.received()
	require.Len(t, seen, 1)
	require.Equal(t, "/lookup/x?q=1", string(seen[0].request.RequestURI()))
	require.Equal(t, "a", seen[0].header("X-Expect-Replica"))
	require.Empty(t, seen[0].header("X-Key"))
	require.NotEmpty(t, seen[0].header("X-Deadline-Ms"))
}

// A request that is not idempotent may have run when its target closes the connection without an
// answer: it is not sent again, and the answer does not claim that it has not run.
func TestOrderIsNotRepeatedAfterConnectionLoss(t *testing.T) {
	a, b := newScriptedTarget(t, "a", "plain", closeWithoutAnswer), newScriptedTarget(t, "b", "plain", closeWithoutAnswer)
	w := newTestEnv(t, a, b)
	r := w.do(call{path: "/order/x", id: "r1"})
	require.NoError(t, r.err)
	require.Equal(t, fasthttp.StatusBadGateway, r.status)
	require.Len(t, append(a.received(), b.received()...), 1)
}

// If every target states that it has not run a request, the caller gets 503 with a Retry-After.
func TestOrderRejectedByAllTargetsIsRefused(t *testing.T) {
	reject := func(a *arrival) bool {
		fmt.Fprint(a.conn, "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	a, b := newScriptedTarget(t, "a", "plain", reject), newScriptedTarget(t, "b", "plain", reject)
	w := newTestEnv(t, a, b)
	r := w.do(call{path: "/order/x", id: "r1"})
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Peek("Retry-After"))
	require.Len(t, append(a.received(), b.received()...), 2)
}

// An idempotent request is sent to another target after an error answer.
func TestIdempotentRequestIsRetried(t *testing.T) {
	first := true
	script := func(a *arrival) bool {
		if first {
			first = false
			a.answer(fasthttp.StatusInternalServerError, "broken")
			return true
		}
		return answerOK(a)
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", script), newScriptedTarget(t, "b", "plain", script))
	r := w.do(call{path: "/lookup/x", id: "r1"})
	require.Equal(t, fasthttp.StatusOK, r.status)
}

// An answer to another request, without a seal, with a content encoding, cut short or not HTTP is
// never passed on.
func TestInvalidAnswersAreNotPassedOn(t *testing.T) {
	cases := map[string]string{
		"other request": "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Seal: s\r\nContent-Length: 3\r\n\r\nbad",
		"no seal":       "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nContent-Length: 3\r\n\r\nbad",
		"encoded":       "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nbad",
		"cut short":     "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Replica-Seal: s\r\nContent-Length: 9\r\n\r\nbad",
		"no HTTP":       "garbage\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
				fmt.Fprint(a.conn, text)
				return false
			}))
			r := w.do(call{path: "/order/x", id: "r1"})
			require.Equal(t, fasthttp.StatusBadGateway, r.status)
			require.NotEqual(t, "bad", r.body)
			require.Empty(t, r.header.Peek("X-Replica-Seal"))
		})
	}
}

// A second answer directly behind the first belongs to no request: the connection is not reused.
func TestConnectionWithExtraAnswerIsNotReused(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		a.writeAtOnce(func() {
			answerOK(a)
			a.answer(fasthttp.StatusOK, "extra")
		})
		return true
	}))
	for n := range 3 {
		id := fmt.Sprintf("r%d", n)
		require.Equal(t, "done "+id, w.do(call{path: "/lookup/x", id: id}).body)
	}
}

// A connection on which a second answer came while it was idle is not reused.
func TestIdleConnectionWithExtraAnswerIsNotReused(t *testing.T) {
	answered, arrived := make(chan bool), make(chan bool)
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		answerOK(a)
		<-answered
		a.answer(fasthttp.StatusOK, "extra")
		arrived <- a.allAcknowledged()
		return true
	}))
	for n := range 3 {
		id := fmt.Sprintf("r%d", n)
		require.Equal(t, "done "+id, w.do(call{path: "/lookup/x", id: id}).body)
		answered <- true
		require.True(t, <-arrived)
	}
}

// A second answer that comes after the next request was sent on the connection is not passed on: the
// caller gets the answer to its own request.
func TestLateExtraAnswerIsNotPassedOn(t *testing.T) {
	a := newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		if a.number > 1 {
			fmt.Fprint(a.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Replica-Seal: s\r\nContent-Length: 5\r\n\r\nextra")
		}
		return answerOK(a)
	})
	w := newTestEnv(t, a, newScriptedTarget(t, "b", "plain", answerOK))
	n := 0
	w.waitUntil(func() bool {
		n++
		id := fmt.Sprintf("r%d", n)
		require.Equal(t, "done "+id, w.do(call{path: "/lookup/x", id: id}).body)
		return len(a.received()) > 1
	})
}

// A request to a target that does not answer is sent to another target.
func TestRequestMovesFromSilentTarget(t *testing.T) {
	silent := func(a *arrival) bool {
		closedWithin(a.conn, waitTimeout)
		return false
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", silent), newScriptedTarget(t, "b", "plain", silent), newScriptedTarget(t, "c", "plain", answerOK))
	w.waitUntil(func() bool { return w.do(call{path: "/lookup/x", id: "r1"}).status == fasthttp.StatusOK })
}

// The caller gets an answer when its deadline passes.
func TestCallerIsAnsweredByItsDeadline(t *testing.T) {
	silent := func(a *arrival) bool {
		closedWithin(a.conn, waitTimeout)
		return false
	}
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", silent))
	began := time.Now()
	r := w.do(call{path: "/order/x", id: "r1", deadline: 400 * time.Millisecond})
	require.Equal(t, fasthttp.StatusGatewayTimeout, r.status)
	require.Less(t, time.Since(began), 900*time.Millisecond)
}

// Without a target, a request is refused at once.
func TestRequestWithoutTargetIsRefusedAtOnce(t *testing.T) {
	w := newTestEnv(t)
	began := time.Now()
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Peek("Retry-After"))
	require.Less(t, time.Since(began), 300*time.Millisecond)
}

// A key selects the team of a request; an unknown or removed key is unauthorized.
func TestKeySelectsTeam(t *testing.T) {
	a := newScriptedTarget(t, "a", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		a.end()
		return true
	})
	w := newTestEnv(t, a)
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/stream/x", key: "key1", id: "r1"}).status)
	require.Equal(t, "team1", a.received()[0].header("X-Tenant"))
	require.Equal(t, fasthttp.StatusUnauthorized, w.do(call{path: "/stream/x", key: "none", id: "r2"}).status)
	w.configure(func(d *configDocument) { d.Tenants = d.Tenants[1:] })
	w.waitUntil(func() bool {
		return w.do(call{path: "/stream/x", key: "key1", id: "r3"}).status == fasthttp.StatusUnauthorized
	})
}

// While the store can't be read, a gateway can't notice that a key was revoked. It refuses all requests
// with keys before the time runs out within which a revoked key must stop working. Requests without keys
// are served. An unknown route or key gets 503 instead of 404 or 401, as the configuration may have changed.
func TestKeysAreRefusedDuringStoreOutage(t *testing.T) {
	a := newScriptedTarget(t, "a", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		a.end()
		return true
	})
	w := newTestEnv(t, a, newScriptedTarget(t, "b", "plain", answerOK))
	w.setOutage(true)
	began := time.Now()
	w.waitUntil(func() bool {
		return w.do(call{path: "/stream/x", key: "key1", id: "r1"}).status == fasthttp.StatusServiceUnavailable
	})
	require.Less(t, time.Since(began), 3*time.Second)
	require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/lookup/x", id: "r2"}).status)
	require.Equal(t, fasthttp.StatusServiceUnavailable, w.do(call{path: "/unknown/", id: "r3"}).status)
	w.setOutage(false)
	w.waitUntil(func() bool { return w.do(call{path: "/stream/x", key: "key1", id: "r4"}).status == fasthttp.StatusOK })
}

// A configuration with a lower version is never applied.
func TestConfigurationNeverRegresses(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	w.version = 10
	w.configure(func(d *configDocument) { d.Routes = d.Routes[:2] })
	w.waitUntil(func() bool { return w.do(call{path: "/once/x", id: "r1"}).status == fasthttp.StatusNotFound })
	w.version = 5
	w.configure(nil)
	w.version = 20
	w.configure(func(d *configDocument) { d.Routes = d.Routes[:1] })
	w.waitUntil(func() bool {
		require.Equal(t, fasthttp.StatusNotFound, w.do(call{path: "/once/x", id: "r2"}).status)
		return w.do(call{path: "/order/x", id: "r3"}).status == fasthttp.StatusNotFound
	})
}

// A draining target gets no new requests.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	a, b := newScriptedTarget(t, "a", "plain", answerOK), newScriptedTarget(t, "b", "plain", answerOK)
	w := newTestEnv(t, a, b)
	w.putTarget(a, "draining")
	w.waitUntil(func() bool { return w.logContains(`"leaving":1`) })
	before := len(a.received())
	for n := range 10 {
		require.Equal(t, fasthttp.StatusOK, w.do(call{path: "/lookup/x", id: fmt.Sprintf("r%d", n)}).status)
	}
	require.Len(t, a.received(), before)
}

// A graceful stop cuts no request: requests in flight are answered, open connections are served until
// the end, and each answer asks the caller to close its connection.
func TestGracefulStopFinishesRequests(t *testing.T) {
	hold := make(chan struct{})
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		if string(a.request.RequestURI()) == "/lookup/slow" {
			<-hold
		}
		return answerOK(a)
	}))
	kept := w.dial("")
	rd := bufio.NewReader(kept)
	sendGet(t, kept, "/lookup/a", "r1")
	require.Equal(t, fasthttp.StatusOK, readResult(rd).status)
	slow := w.dial("")
	sendGet(t, slow, "/lookup/slow", "r2")
	w.waitUntil(func() bool { return w.secondRequestArrived() })
	w.stop()
	w.waitUntil(func() bool {
		status, _ := w.get(w.ready, platform.PathReady)
		return status == fasthttp.StatusServiceUnavailable
	})
	sendGet(t, kept, "/lookup/b", "r3")
	r := readResult(rd)
	require.Equal(t, "done r3", r.body)
	require.True(t, r.header.ConnectionClose())
	close(hold)
	require.Equal(t, "done r2", readResult(bufio.NewReader(slow)).body)
	select {
	case err := <-w.done:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		t.Fatal("Run does not return after the stop")
	}
}

// During a stop, a request whose deadline is after the end of the process is refused, so that its
// caller turns to another host.
func TestRequestOutlastingPlannedStopIsRefused(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	kept := w.dial("")
	rd := bufio.NewReader(kept)
	sendGet(t, kept, "/lookup/a", "r1")
	require.Equal(t, fasthttp.StatusOK, readResult(rd).status)
	w.stop()
	w.waitUntil(func() bool { return w.do(call{path: "/order/x", id: "r2"}).status == fasthttp.StatusServiceUnavailable })
	sendGet(t, kept, "/lookup/b", "r3")
	r := readResult(rd)
	require.NoError(t, r.err, "a kept connection is served until the process ends")
}

// sendGet writes a GET request with a deadline of one second.
func sendGet(t *testing.T, conn net.Conn, path, id string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", path, id)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
}
