package integration_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/standin/faults"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// served returns the service of a team that the owners of a service tell.
func (f *fleet) served(service, team string, hosts []*host) uint64 {
	total := uint64(0)
	for _, h := range hosts {
		s, _ := f.status(h)
		for _, shard := range s.Shards {
			for _, row := range shard.Teams {
				if shard.Service == service && row.Team == team {
					total += row.Served
				}
			}
		}
	}
	return total
}

// TestRollingReplacement replaces every host while callers send. The callers use
// hosts that are ready, as a balancer would. Nothing is cut or refused, and the
// totals of the team go on.
func TestRollingReplacement(t *testing.T) {
	f := start(t, smallPlan())
	var mu sync.Mutex
	ready := append([]*host(nil), f.hosts...)
	var stop atomic.Bool
	var callers sync.WaitGroup
	var answered atomic.Int32
	for c := range 4 {
		callers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				mu.Lock()
				h := ready[(c+n)%len(ready)]
				mu.Unlock()
				id := fmt.Sprintf("rolling-%d-%d", c, n)
				prompt := promptOf(id, 40)
				requireWhole(t, prompt, f.stream(h, id, prompt, nil))
				answered.Add(1)
			}
		})
	}
	f.eventually("answers before", func() bool { return answered.Load() > 10 })
	before := f.served("model", "red", ready)
	for range len(ready) {
		fresh := f.addHost()
		f.listHosts()
		f.ready(fresh)
		mu.Lock()
		old := ready[0]
		ready = append(ready[1:], fresh)
		mu.Unlock()
		old.signal(syscall.SIGTERM)
		require.NoError(t, <-old.done)
	}
	reached := answered.Load()
	f.eventually("answers after", func() bool { return answered.Load() > reached+10 })
	f.eventually("totals go on", func() bool { return f.served("model", "red", ready) >= before })
	stop.Store(true)
	callers.Wait()
}

func TestOneWayCutBetweenHostsOfAPlace(t *testing.T) {
	f := start(t, smallPlan())
	owner := f.owner("model", "place1", f.hosts...)
	other := f.hosts[0]
	if owner == other {
		other = f.hosts[2]
	}
	from, to := f.position(other), f.position(owner)
	f.links[linkName(from, to)].Set(faults.Mode{Hang: true})
	for n := range 10 {
		for _, h := range []*host{owner, other} {
			id := fmt.Sprintf("one-way-%d-%s", n, h.name)
			prompt := promptOf(id, 20)
			requireWhole(t, prompt, f.stream(h, id, prompt, nil))
		}
	}
	f.links[linkName(from, to)].Set(faults.Mode{})
	f.eventually("one owner again", func() bool {
		return (f.owner("model", "place1", other) == nil) != (f.owner("model", "place1", owner) == nil)
	})
}

// position returns the number of a host.
func (f *fleet) position(h *host) int {
	for n, other := range f.hosts {
		if other == h {
			return n + 1
		}
	}
	return 0
}

// TestKilledHostDuringAnOutage has two failures at once: the platform is down
// and an owner dies.
func TestKilledHostDuringAnOutage(t *testing.T) {
	f := start(t, smallPlan())
	f.platformFaults(standin.Faults{Down: true})
	victim := f.owner("model", "place1", f.hosts...)
	victim.signal(syscall.SIGKILL)
	for _, h := range f.hosts {
		if h == victim {
			continue
		}
		id := "outage-" + h.name
		prompt := promptOf(id, 30)
		requireWhole(t, prompt, f.stream(h, id, prompt, nil))
		r := f.order(h, id, id, "tiles")
		require.Equal(t, entry.OutcomeNotRun, r.outcome)
		require.Zero(t, f.ranOrder(id))
	}
	before := f.counts()
	f.platformFaults(standin.Faults{})
	for _, h := range f.hosts {
		if h == victim {
			continue
		}
		id := "outage-" + h.name
		f.eventually("order runs", func() bool { return f.order(h, id, id, "tiles").status == fasthttp.StatusOK })
		require.Equal(t, 1, f.ranOrder(id))
	}
	require.Less(t, f.counts().Writes-before.Writes, uint64(500), "recovery is not paced")
}

func (f *fleet) counts() standin.Counts {
	var c standin.Counts
	_, response := f.http(fasthttp.MethodGet, f.platform, standin.PathCounts, nil, nil)
	require.NoError(f.t, jsonInto(response.Body(), &c))
	return c
}

// TestHostKilledWithAnOrderInFlight kills the entry that runs an order. A repeat
// is answered as unknown, and the order does not run again.
func TestHostKilledWithAnOrderInFlight(t *testing.T) {
	p := smallPlan()
	p.fence = true
	f := start(t, p)
	var open sync.WaitGroup
	open.Go(func() {
		headers := map[string]string{
			fasthttp.HeaderAuthorization: "Bearer " + key("red"), entry.HeaderRequestID: "in-flight", entry.HeaderIdempotencyKey: "in-flight",
		}
		f.http(fasthttp.MethodPost, f.hosts[0].settings.Listen, "/services/desk/order?ms=3000", headers, []byte("tiles"))
	})
	f.eventually("order runs", func() bool { return f.ranOrder("in-flight") == 1 })
	f.hosts[0].signal(syscall.SIGKILL)
	open.Wait()
	for n := range 3 {
		headers := map[string]string{
			fasthttp.HeaderAuthorization: "Bearer " + key("red"), entry.HeaderRequestID: fmt.Sprint("repeat", n), entry.HeaderIdempotencyKey: "in-flight",
		}
		h := f.hosts[1+n%3]
		status, response := f.http(fasthttp.MethodPost, h.settings.Listen, "/services/desk/order?ms=3000", headers, []byte("tiles"))
		require.Equal(t, fasthttp.StatusConflict, status)
		require.Equal(t, entry.OutcomeUnknown, string(response.Header.Peek(entry.HeaderOutcome)))
	}
	require.Equal(t, 1, f.ranOrder("in-flight"))
}

func TestHostileInput(t *testing.T) {
	f := start(t, smallPlan())
	h := f.hosts[0]
	inputs := []string{
		"GET /\r\n\r\n",
		"\x00\x01\x02\r\n\r\n",
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n",
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"GET /v1/models HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 64<<10) + "\r\n\r\n",
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nZZZZ\r\n",
	}
	for _, input := range inputs {
		conn, err := net.Dial("tcp", h.settings.Listen.String())
		require.NoError(t, err)
		_, err = conn.Write([]byte(input))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
		answer, _ := io.ReadAll(conn)
		require.NotContains(t, string(answer), " 200 ")
		conn.Close()
	}
	slow, err := net.Dial("tcp", h.settings.Listen.String())
	require.NoError(t, err)
	defer slow.Close()
	_, err = slow.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost:"))
	require.NoError(t, err)
	for range 3 {
		conn, err := net.Dial("tcp", h.settings.Peer.String())
		require.NoError(t, err)
		_, err = conn.Write(bytes.Repeat([]byte{0xff}, 4096))
		require.NoError(t, err)
		conn.Close()
	}
	prompt := promptOf("after", 20)
	requireWhole(t, prompt, f.stream(h, "after", prompt, nil))
}

// TestHungTargetIsLeft has a target that accepts requests and never answers. The
// requests are answered by others.
func TestHungTargetIsLeft(t *testing.T) {
	p := smallPlan()
	p.service = withShortTimeouts
	f := start(t, p)
	for _, target := range f.targets {
		if target.name == "engine1-1" {
			target.proxy.Set(faults.Mode{Hang: true})
		}
	}
	for n := range 8 {
		id := fmt.Sprint("hung-", n)
		prompt := promptOf(id, 20)
		requireWhole(t, prompt, f.stream(f.hosts[n%len(f.hosts)], id, prompt, nil))
	}
}

// TestEndlessBytesOfATargetAreNoAnswer has a target that answers with bytes that never
// become an answer. The requests are answered by others.
func TestEndlessBytesOfATargetAreNoAnswer(t *testing.T) {
	p := smallPlan()
	p.service = withShortTimeouts
	f := start(t, p)
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, mode := range map[string]faults.Mode{
		"head":     {Head: "HTTP/1.1 200 OK\r\n", Endless: "X-A: b\r\n"},
		"comments": {Head: stream, Endless: "6\r\n: zz\n\n\r\n"},
		"no lines": {Head: stream, Endless: "2\r\nzz\r\n"},
	} {
		for _, target := range f.targets {
			if target.name == "engine1-1" {
				target.proxy.Break()
				target.proxy.Set(mode)
			}
		}
		for n := range 8 {
			id := fmt.Sprint(name, "-", n)
			prompt := promptOf(id, 20)
			requireWhole(t, prompt, f.stream(f.hosts[n%len(f.hosts)], id, prompt, nil))
		}
	}
}

// TestCallerGoneFreesItsSlot has callers that hang up while they wait or stream.
func TestCallerGoneFreesItsSlot(t *testing.T) {
	p := smallPlan()
	p.places, p.hosts, p.engines = 1, 1, 1
	f := start(t, p)
	var callers []net.Conn
	for n := range 12 {
		conn, err := net.Dial("tcp", f.hosts[0].settings.Listen.String())
		require.NoError(t, err)
		body := fmt.Sprintf(`{"model":"model","stream":true,"prompt":"gone %d length=100000"}`, n)
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			key("red"), len(body), body)
		require.NoError(t, err)
		callers = append(callers, conn)
	}
	f.eventually("slots in use and callers waiting", func() bool {
		s, _ := f.status(f.hosts[0])
		return s.Running == 4 && s.Waiting == 8
	})
	for _, conn := range callers {
		conn.Close()
	}
	f.eventually("nothing open", func() bool {
		s, _ := f.status(f.hosts[0])
		return s.Running+s.Waiting == 0
	})
	prompt := promptOf("after", 20)
	requireWhole(t, prompt, f.stream(f.hosts[0], "after", prompt, nil))
}
