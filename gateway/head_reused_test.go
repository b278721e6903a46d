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

// misdirectedAnswer returns the 421 answer of a target that sees that the request is meant for another one.
func (a *arrival) misdirectedAnswer() string {
	return fmt.Sprintf("HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Replica-Id: other\r\nContent-Length: 5\r\n\r\nother", a.header("X-Attempt-Id"))
}

// completeAnswer returns a complete 200 answer. A target that does not check whether the request is meant
// for it gives this answer, too.
func (a *arrival) completeAnswer() string {
	head, body := a.sizedHead(0)
	return head + body
}

// answerCompletely is a script that writes a complete answer.
func answerCompletely(a *arrival) bool {
	a.write(a.completeAnswer())
	return true
}

// reusedAddresses runs targets of another service at addresses that a gateway with a stale list of
// targets still uses for the earlier targets.
type reusedAddresses struct {
	mu    sync.Mutex
	sends map[string]int // requests that reached a target, by request ID
}

// script writes an answer truncated within its head. The ID of the request has the form KIND-CUT-END-N:
// the kind of answer (misdirected or foreign), how many bytes of it are written, how the connection
// then ends (closed or reset), and a counter that makes the ID unique.
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
		text = a.completeAnswer()
	}
	head := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	a.write(text[:min(cut, head-1)])
	if end == "reset" {
		a.allAcknowledged()
		a.reset()
	}
	return false
}

// sent returns how often the request with an ID reached any of the targets.
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
	listener, err := net.Listen("tcp", s.address.String())
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	other := &scriptedTarget{id: "other", service: "other", address: s.address, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go other.serve(conn, u.script)
		}
	}()
}

// newStaleTargetsEnv returns a gateway whose list of targets becomes stale: it got the list from another
// gateway, which has stopped, so that no updates follow.
func newStaleTargetsEnv(t *testing.T, targets ...*scriptedTarget) *testEnv {
	t.Helper()
	w := newTestEnvWith(t, keepKeysValid, targets...)
	staleEnv, _, _ := w.startSecond(func(s *gateway.Settings) { keepKeysValid(s) })
	for _, path := range headPaths {
		w.waitUntil(func() bool {
			return staleEnv.do(call{path: path, key: "key1", id: "warm"}).status == fasthttp.StatusOK
		})
	}
	w.stop()
	require.NoError(t, receive(t, w.done))
	return staleEnv
}

// A gateway with a stale list of targets sends a request to an address that now belongs to a target of
// another service, and the answer of that target stops within its head. The caller must get neither
// this answer nor a claim that the request has not run, and an order must reach no second target.
func TestTruncatedHeadFromReusedAddressIsNotPassedOn(t *testing.T) {
	for _, kind := range []string{"misdirected", "foreign"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			u := &reusedAddresses{sends: map[string]int{}}
			var targets []*scriptedTarget
			for n := range headTargets {
				targets = append(targets, newScriptedTarget(t, fmt.Sprintf("p%d", n), "plain", answerCompletely), newScriptedTarget(t, fmt.Sprintf("m%d", n), "model", answerCompletely))
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
