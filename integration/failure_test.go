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

// servedUnits returns the cost units that the owners of a service report as
// served to a team.
func (f *fleet) servedUnits(service, team string, hosts []*host) uint64 {
	total := uint64(0)
	for _, h := range hosts {
		s, _ := f.status(h)
		for _, shard := range s.Shards {
			for _, status := range shard.Teams {
				if shard.Service == service && status.Team == team {
					total += status.Served
				}
			}
		}
	}
	return total
}

// TestRollingReplacementLosesNoRequest replaces every host while callers send
// requests to the hosts that are ready, as a load balancer would. No stream may be
// cut, no request refused, and the served totals of the team must not be reset.
func TestRollingReplacementLosesNoRequest(t *testing.T) {
	f := startFleet(t, smallConfig())
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
				prompt := promptFor(id, 40)
				requireCompleteAnswer(t, prompt, f.streamCompletion(h, id, prompt, nil))
				answered.Add(1)
			}
		})
	}
	f.eventually("answers before the replacement", func() bool { return answered.Load() > 10 })
	servedBefore := f.servedUnits("model", "red", ready)
	for range len(ready) {
		replacement := f.addHost()
		f.publishHosts()
		f.awaitReady(replacement)
		mu.Lock()
		old := ready[0]
		ready = append(ready[1:], replacement)
		mu.Unlock()
		old.signal(syscall.SIGTERM)
		require.NoError(t, <-old.done)
	}
	answersBefore := answered.Load()
	f.eventually("answers after the replacement", func() bool { return answered.Load() > answersBefore+10 })
	f.eventually("served totals are kept", func() bool { return f.servedUnits("model", "red", ready) >= servedBefore })
	stop.Store(true)
	callers.Wait()
}

// TestOneWayPartitionBetweenHostsOfAPlaceLosesNoRequest makes the link from a host
// to the owner of its shard hang, while the opposite direction works. Both hosts
// must answer requests, and the shard must have a single owner afterwards.
func TestOneWayPartitionBetweenHostsOfAPlaceLosesNoRequest(t *testing.T) {
	f := startFleet(t, smallConfig())
	owner := f.owner("model", "place1", f.hosts...)
	other := f.hosts[0]
	if owner == other {
		other = f.hosts[2]
	}
	from, to := f.hostNumber(other), f.hostNumber(owner)
	f.proxies[proxyName(from, to)].SetMode(faults.Mode{Hang: true})
	for n := range 10 {
		for _, h := range []*host{owner, other} {
			id := fmt.Sprintf("one-way-%d-%s", n, h.name)
			prompt := promptFor(id, 20)
			requireCompleteAnswer(t, prompt, f.streamCompletion(h, id, prompt, nil))
		}
	}
	f.proxies[proxyName(from, to)].SetMode(faults.Mode{})
	f.eventually("the shard has one owner", func() bool {
		return (f.owner("model", "place1", other) == nil) != (f.owner("model", "place1", owner) == nil)
	})
}

// hostNumber returns the number of a host, counted from 1 in the order of start.
func (f *fleet) hostNumber(h *host) int {
	for n, other := range f.hosts {
		if other == h {
			return n + 1
		}
	}
	return 0
}

// TestHostKilledDuringPlatformOutage kills the owner of a shard while the platform
// is down. The other hosts must answer streams and refuse orders as not run until
// the platform is back. The recovery must not flood the platform with writes.
func TestHostKilledDuringPlatformOutage(t *testing.T) {
	f := startFleet(t, smallConfig())
	f.setPlatformFaults(standin.Faults{Down: true})
	killed := f.owner("model", "place1", f.hosts...)
	killed.signal(syscall.SIGKILL)
	for _, h := range f.hosts {
		if h == killed {
			continue
		}
		id := "outage-" + h.name
		prompt := promptFor(id, 30)
		requireCompleteAnswer(t, prompt, f.streamCompletion(h, id, prompt, nil))
		r := f.sendOrder(h, id, id, "tiles")
		require.Equal(t, entry.OutcomeNotRun, r.outcome)
		require.Zero(t, f.orderRuns(id))
	}
	countsBefore := f.platformCounts()
	f.setPlatformFaults(standin.Faults{})
	for _, h := range f.hosts {
		if h == killed {
			continue
		}
		id := "outage-" + h.name
		f.eventually("order runs", func() bool { return f.sendOrder(h, id, id, "tiles").status == fasthttp.StatusOK })
		require.Equal(t, 1, f.orderRuns(id))
	}
	require.Less(t, f.platformCounts().Writes-countsBefore.Writes, uint64(500), "too many platform writes after the outage")
}

// platformCounts returns the call counts of the platform.
func (f *fleet) platformCounts() standin.Counts {
	var c standin.Counts
	_, response := f.sendRequest(fasthttp.MethodGet, f.platform, standin.PathCounts, nil, nil)
	require.NoError(f.t, decodeJSON(response.Body(), &c))
	return c
}

// TestOrderOfKilledHostIsNotRunAgain kills the entry host that is running an order.
// A repeat at another host must be answered with the outcome unknown, and the order
// must not run again.
func TestOrderOfKilledHostIsNotRunAgain(t *testing.T) {
	config := smallConfig()
	config.fencing = true
	f := startFleet(t, config)
	var sending sync.WaitGroup
	sending.Go(func() {
		headers := map[string]string{
			fasthttp.HeaderAuthorization: "Bearer " + keyOf("red"), entry.HeaderRequestID: "in-flight", entry.HeaderIdempotencyKey: "in-flight",
		}
		f.sendRequest(fasthttp.MethodPost, f.hosts[0].settings.Listen, "/services/desk/order?ms=3000", headers, []byte("tiles"))
	})
	f.eventually("order runs", func() bool { return f.orderRuns("in-flight") == 1 })
	f.hosts[0].signal(syscall.SIGKILL)
	sending.Wait()
	for n := range 3 {
		headers := map[string]string{
			fasthttp.HeaderAuthorization: "Bearer " + keyOf("red"), entry.HeaderRequestID: fmt.Sprint("repeat", n), entry.HeaderIdempotencyKey: "in-flight",
		}
		h := f.hosts[1+n%3]
		status, response := f.sendRequest(fasthttp.MethodPost, h.settings.Listen, "/services/desk/order?ms=3000", headers, []byte("tiles"))
		require.Equal(t, fasthttp.StatusConflict, status)
		require.Equal(t, entry.OutcomeUnknown, string(response.Header.Peek(entry.HeaderOutcome)))
	}
	require.Equal(t, 1, f.orderRuns("in-flight"))
}

// TestMalformedInputIsRejected sends malformed requests to the listener, an
// incomplete request, and garbage to the peer address. None may be answered with
// status 200, and the host must serve afterwards.
func TestMalformedInputIsRejected(t *testing.T) {
	f := startFleet(t, smallConfig())
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
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		answer, _ := io.ReadAll(conn)
		require.NotContains(t, string(answer), " 200 ")
		conn.Close()
	}
	incomplete, err := net.Dial("tcp", h.settings.Listen.String())
	require.NoError(t, err)
	defer incomplete.Close()
	_, err = incomplete.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost:"))
	require.NoError(t, err)
	for range 3 {
		conn, err := net.Dial("tcp", h.settings.Peer.String())
		require.NoError(t, err)
		_, err = conn.Write(bytes.Repeat([]byte{0xff}, 4096))
		require.NoError(t, err)
		conn.Close()
	}
	prompt := promptFor("after", 20)
	requireCompleteAnswer(t, prompt, f.streamCompletion(h, "after", prompt, nil))
}

// TestRequestsOfHungTargetAreRetriedElsewhere has a target that accepts requests and
// never answers. Other targets must answer the requests.
func TestRequestsOfHungTargetAreRetriedElsewhere(t *testing.T) {
	config := smallConfig()
	config.adjustService = withShortTimeouts
	f := startFleet(t, config)
	for _, target := range f.targets {
		if target.name == "engine1-1" {
			target.proxy.SetMode(faults.Mode{Hang: true})
		}
	}
	for n := range 8 {
		id := fmt.Sprint("hung-", n)
		prompt := promptFor(id, 20)
		requireCompleteAnswer(t, prompt, f.streamCompletion(f.hosts[n%len(f.hosts)], id, prompt, nil))
	}
}

// TestEndlessBytesOfATargetAreRetriedElsewhere has a target that sends bytes without
// end that never form an answer. Such bytes must not count as activity: other targets
// must answer the requests.
func TestEndlessBytesOfATargetAreRetriedElsewhere(t *testing.T) {
	config := smallConfig()
	config.adjustService = withShortTimeouts
	f := startFleet(t, config)
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, mode := range map[string]faults.Mode{
		"head":     {Head: "HTTP/1.1 200 OK\r\n", Endless: "X-A: b\r\n"},
		"comments": {Head: stream, Endless: "6\r\n: zz\n\n\r\n"},
		"no lines": {Head: stream, Endless: "2\r\nzz\r\n"},
	} {
		for _, target := range f.targets {
			if target.name == "engine1-1" {
				target.proxy.Break()
				target.proxy.SetMode(mode)
			}
		}
		for n := range 8 {
			id := fmt.Sprint(name, "-", n)
			prompt := promptFor(id, 20)
			requireCompleteAnswer(t, prompt, f.streamCompletion(f.hosts[n%len(f.hosts)], id, prompt, nil))
		}
	}
}

// TestDisconnectedCallerFreesItsSlot has callers that disconnect while they wait or
// stream. Their slots and queue entries must be released.
func TestDisconnectedCallerFreesItsSlot(t *testing.T) {
	config := smallConfig()
	config.places, config.hosts, config.engines = 1, 1, 1
	f := startFleet(t, config)
	var callers []net.Conn
	for n := range 12 {
		conn, err := net.Dial("tcp", f.hosts[0].settings.Listen.String())
		require.NoError(t, err)
		body := fmt.Sprintf(`{"model":"model","stream":true,"prompt":"gone %d length=100000"}`, n)
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			keyOf("red"), len(body), body)
		require.NoError(t, err)
		callers = append(callers, conn)
	}
	f.eventually("all slots in use and the other callers waiting", func() bool {
		s, _ := f.status(f.hosts[0])
		return s.Running == 4 && s.Waiting == 8
	})
	for _, conn := range callers {
		conn.Close()
	}
	f.eventually("no request running or waiting", func() bool {
		s, _ := f.status(f.hosts[0])
		return s.Running+s.Waiting == 0
	})
	prompt := promptFor("after", 20)
	requireCompleteAnswer(t, prompt, f.streamCompletion(f.hosts[0], "after", prompt, nil))
}
