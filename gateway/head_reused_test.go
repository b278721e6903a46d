package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/gateway"
)

// misdirectedAnswer returns the 421 answer of a target that the request is not meant for.
func (a *arrival) misdirectedAnswer() string {
	return fmt.Sprintf("HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Replica-Id: other\r\nContent-Length: 5\r\n\r\nother", a.header("X-Attempt-Id"))
}

// answerOfOther returns the answer of a target that does not check whether the request is meant for it.
func (a *arrival) answerOfOther() string {
	head, body := a.sizedHead(0)
	return head + body
}

// answerWhole gives a complete answer.
func answerWhole(a *arrival) bool {
	a.write(a.answerOfOther())
	return true
}

// reusedAddresses scripts targets of another service that took over the addresses of targets on a
// stale list.
type reusedAddresses struct {
	mu    sync.Mutex
	sends map[string]int // requests that reached a target, by request ID
}

// script truncates its answer as the ID of the request says: kind of answer, bytes of it, and how the
// connection ends.
func (u *reusedAddresses) script(a *arrival) bool {
	id := a.header("X-Attempt-Id")
	u.mu.Lock()
	u.sends[id]++
	u.mu.Unlock()
	var kind, end string
	var cut, number int
	if _, err := fmt.Sscanf(strings.ReplaceAll(id, "-", " "), "%s %d %s %d", &kind, &cut, &end, &number); err != nil {
		return false
	}
	text := a.misdirectedAnswer()
	if kind == "foreign" {
		text = a.answerOfOther()
	}
	head := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	a.write(text[:min(cut, head-1)])
	if end == "reset" {
		a.allAcknowledged()
		a.reset()
	}
	return false
}

// sent returns how often a request reached a target.
func (u *reusedAddresses) sent(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sends[id]
}

// takeOver stops a target and gives its address to a target of another service.
func (u *reusedAddresses) takeOver(t *testing.T, s *scriptedTarget) {
	t.Helper()
	s.listener.Close()
	for _, a := range s.received() {
		a.conn.Close()
	}
	l, err := net.Listen("tcp", s.address.String())
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	other := &scriptedTarget{id: "other", service: "other", address: s.address, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go other.serve(conn, u.script)
		}
	}()
}

// newStaleTargetsEnv returns a gateway whose list of targets comes from another one, which has stopped, so
// that the list becomes stale.
func newStaleTargetsEnv(t *testing.T, targets ...*scriptedTarget) *testEnv {
	t.Helper()
	w := newTestEnvWith(t, keepKeysValid, targets...)
	late, _, _ := w.startSecond(func(s *gateway.Settings) { keepKeysValid(s) })
	for _, path := range headPaths {
		w.waitUntil(func() bool {
			return late.do(call{path: path, key: "key1", id: "warm"}).status == fasthttp.StatusOK
		})
	}
	w.stop()
	require.NoError(t, receive(t, w.done))
	return late
}

// A host with a stale list sends a request to an address that another target has now, which stops
// within the head of its answer. The caller gets neither the answer nor a claim that the request has
// not run, and an order reaches no second target.
func TestTruncatedHeadFromReusedAddressIsNotPassedOn(t *testing.T) {
	for _, kind := range []string{"misdirected", "foreign"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			u := &reusedAddresses{sends: map[string]int{}}
			var targets []*scriptedTarget
			for n := range headTargets {
				targets = append(targets, newScriptedTarget(t, fmt.Sprintf("p%d", n), "plain", answerWhole), newScriptedTarget(t, fmt.Sprintf("m%d", n), "model", answerWhole))
			}
			w := newStaleTargetsEnv(t, targets...)
			for _, s := range targets {
				u.takeOver(t, s)
			}
			for _, path := range headPaths[:3] {
				for cut := 0; cut < 120; cut += 1 + cut/10 {
					for _, end := range []string{"closed", "reset"} {
						id := ""
						var r result
						for n := 0; u.sent(id) == 0; n++ {
							require.Less(t, n, 1000, "the request reached no target")
							id = fmt.Sprintf("%s-%d-%s-%d", kind, cut, end, n)
							r = w.do(call{path: path, key: "key1", id: id})
						}
						require.NoError(t, r.err)
						require.Equal(t, statusFailed, r.status, "%s %s", path, id)
						require.Empty(t, r.header.Peek("X-Replica-Seal"))
						if path == "/order/x" {
							require.Equal(t, 1, u.sent(id))
						}
					}
				}
			}
		})
	}
}
