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

// misdirected returns the answer of a target that is not the one that a request is for.
func (a *arrival) misdirected() string {
	return fmt.Sprintf("HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Replica-Id: other\r\nContent-Length: 5\r\n\r\nother", a.header("X-Attempt-Id"))
}

// foreign returns the answer of a target that does not look at whom a request is for.
func (a *arrival) foreign() string {
	head, body := a.sizedHead(0)
	return head + body
}

// whole answers a request as a whole.
func whole(a *arrival) bool {
	a.write(a.foreign())
	return true
}

// reused are targets of another service at the addresses of those that a late list still names.
type reused struct {
	mu    sync.Mutex
	sends map[string]int
}

// script stops each answer where the request says by its id, which holds the kind of answer, the
// bytes of it and its end.
func (u *reused) script(a *arrival) bool {
	id := a.header("X-Attempt-Id")
	u.mu.Lock()
	u.sends[id]++
	u.mu.Unlock()
	var kind, end string
	var cut, number int
	if _, err := fmt.Sscanf(strings.ReplaceAll(id, "-", " "), "%s %d %s %d", &kind, &cut, &end, &number); err != nil {
		return false
	}
	text := a.misdirected()
	if kind == "foreign" {
		text = a.foreign()
	}
	head := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	a.write(text[:min(cut, head-1)])
	if end == "reset" {
		a.arrived()
		a.reset()
	}
	return false
}

// sent returns how often a request reached a target.
func (u *reused) sent(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sends[id]
}

// take ends a target and gives its address to one of another service.
func (u *reused) take(t *testing.T, s *scripted) {
	t.Helper()
	s.listener.Close()
	for _, a := range s.seen() {
		a.conn.Close()
	}
	l, err := net.Listen("tcp", s.address.String())
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	other := &scripted{id: "other", service: "other", address: s.address, listener: l}
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

// lateHost returns a gateway whose list of targets is that of a first one, which is gone.
func lateHost(t *testing.T, targets ...*scripted) *testEnv {
	t.Helper()
	w := newTestEnvWith(t, keepKeysValid, targets...)
	late, _, _ := w.startSecond(func(s *gateway.Settings) { keepKeysValid(s) })
	for _, path := range routesOfHeads {
		w.waitUntil(func() bool {
			return late.do(call{path: path, key: "key1", id: "warm"}).status == fasthttp.StatusOK
		})
	}
	w.stop()
	require.NoError(t, got(t, w.done))
	return late
}

// REFUSED, MIXED, TWICE: a host with a late list sends a request to an address that another target
// has now, which stops in the head of its answer. The caller gets no promise and no answer, and
// what may not be repeated reaches no second target.
func TestHeadThatStopsAtAReusedAddress(t *testing.T) {
	for _, kind := range []string{"misdirected", "foreign"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			u := &reused{sends: map[string]int{}}
			var targets []*scripted
			for n := range headTargets {
				targets = append(targets, newScripted(t, fmt.Sprintf("p%d", n), "plain", whole), newScripted(t, fmt.Sprintf("m%d", n), "model", whole))
			}
			w := lateHost(t, targets...)
			for _, s := range targets {
				u.take(t, s)
			}
			for _, path := range routesOfHeads[:3] {
				for cut := 0; cut < 120; cut += 1 + cut/10 {
					for _, end := range []string{"closed", "reset"} {
						id := ""
						var r result
						for n := 0; u.sent(id) == 0; n++ {
							require.Less(t, n, 1000, "no target had the request")
							id = fmt.Sprintf("%s-%d-%s-%d", kind, cut, end, n)
							r = w.do(call{path: path, key: "key1", id: id})
						}
						require.NoError(t, r.err)
						require.Equal(t, failed, r.status, "%s %s", path, id)
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
