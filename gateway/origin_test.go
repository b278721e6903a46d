package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/standin/loopback"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// versionedRow is the stored entry of a target with a software version.
type versionedRow struct {
	targetRow
	Version string `json:"version"`
}

// putVersion writes the entry of a target of a software version to the store.
func (w *testEnv) putVersion(s *scriptedTarget, version string) {
	w.putRow(platform.TableTargets, s.id, versionedRow{
		targetRow: targetRow{Service: s.service, Address: s.address.String(), Zone: "place1", Slots: 64, State: "ready"}, Version: version,
	})
}

// dropTarget removes the entry of a target from the store.
func (w *testEnv) dropTarget(s *scriptedTarget) {
	w.store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableTargets, Key: s.id}}})
}

// newOpenEndedTarget starts a target of a service "model" whose new streams have three events at once and
// then one after the other, and whose continued ones end with the fifth.
func newOpenEndedTarget(t testing.TB, id string) *scriptedTarget {
	return newScriptedTarget(t, id, "model", func(a *arrival) bool {
		a.begin()
		if a.header("Last-Event-Id") != "" {
			a.events(4, 5)
			a.end()
			return true
		}
		a.events(1, 3)
		for n := 4; !closedWithin(a.conn, 100*time.Millisecond); n++ {
			a.events(n, n)
		}
		return false
	})
}

// streamCall returns the head of a request for a stream with further headers.
func streamCall(id, headers string) string {
	return fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Key: key1\r\n%sContent-Length: 0\r\n\r\n", id, headers)
}

// beginStream begins a stream and returns its connection once the caller has three events.
func (w *testEnv) beginStream(id string) net.Conn {
	w.t.Helper()
	conn := w.dial(streamCall(id, ""))
	require.NoError(w.t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	rd := bufio.NewReader(conn)
	for {
		line, err := rd.ReadString('\n')
		require.NoError(w.t, err)
		if strings.HasPrefix(line, "data: 3") {
			return conn
		}
	}
}

// takeUp continues after its third event the stream that an attempt began.
func (w *testEnv) takeUp(id, origin string) result {
	w.t.Helper()
	conn := w.dial(streamCall(id, "Last-Event-Id: 3\r\nResumes: "+origin+"\r\n"))
	require.NoError(w.t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	return readResult(bufio.NewReader(conn))
}

// waitForTargets waits until a gateway logs a list with a number of ready targets after a position of its log.
func (w *testEnv) waitForTargets(from, ready int) {
	w.t.Helper()
	w.waitUntil(func() bool { return strings.Contains(w.logs.String()[from:], fmt.Sprintf(`"ready":%d`, ready)) })
}

// reached returns the ID of the target that an attempt reached, or an empty string.
func reached(targets []*scriptedTarget, attempt string) string {
	for _, s := range targets {
		for _, a := range s.received() {
			if a.header("X-Attempt-Id") == attempt {
				return s.id
			}
		}
	}
	return ""
}

// A stream that its client takes up again goes on at the version that began it, and is refused once no target has
// that version. It went on at the other version, which joins what two versions wrote.
func TestTakenUpStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	older, newer := newOpenEndedTarget(t, "older"), newOpenEndedTarget(t, "newer")
	targets := []*scriptedTarget{older, newer}
	w := newTestEnv(t)
	w.putVersion(older, "v1")
	w.waitForTargets(0, 1)
	const streams = 8
	for n := range 2 * streams {
		w.beginStream(fmt.Sprintf("a%d", n)).Close()
	}
	w.putVersion(newer, "v2")
	w.waitForTargets(0, 2)
	for n := range streams {
		id := fmt.Sprintf("b%d", n)
		r := w.takeUp(id, fmt.Sprintf("a%d", n))
		require.NoError(t, r.err)
		require.Equal(t, fasthttp.StatusOK, r.status, r.body)
		require.Equal(t, older.id, reached(targets, id))
	}
	from := len(w.logs.String())
	w.dropTarget(older)
	w.waitForTargets(from, 1)
	for n := streams; n < 2*streams; n++ {
		id := fmt.Sprintf("b%d", n)
		r := w.takeUp(id, fmt.Sprintf("a%d", n))
		require.NoError(t, r.err)
		require.Equal(t, fasthttp.StatusServiceUnavailable, r.status, r.body)
		require.NotEmpty(t, r.header.Peek(fasthttp.HeaderRetryAfter))
		require.Empty(t, reached(targets, id))
	}
}

// host is a gateway of a small fleet on one store, which can be ended and started again.
type host struct {
	*testEnv
	end func()
}

// startHost starts a gateway beside a testEnv, which need not run one itself.
func (w *testEnv) startHost(name string, store netip.AddrPort) *host {
	w.t.Helper()
	h := &host{testEnv: &testEnv{t: w.t, store: w.store, logs: &logBuffer{}}}
	s := w.settings(name, store)
	s.Ready, s.Metrics = loopback.Address(), netip.AddrPort{}
	s.Grace = settings.OptionalDuration{Duration: 300 * time.Millisecond}
	h.address, h.ready, h.peer = s.Listen, s.Ready, s.Peer
	g, err := gateway.New(s, gateway.WithLog(zerolog.New(h.logs)))
	require.NoError(w.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	h.end = sync.OnceFunc(func() {
		stop()
		<-done
		h.checkLog()
	})
	w.t.Cleanup(h.end)
	return h
}

// waitReady waits until a gateway is ready and knows a number of targets.
func (h *host) waitReady(targets int) {
	h.t.Helper()
	h.waitForTargets(0, targets)
	h.waitUntil(func() bool {
		status, _ := h.get(h.ready, platform.PathReady)
		return status == fasthttp.StatusOK
	})
}

// After all hosts ended at the same moment and started again, nobody remembers which version began a stream. One that
// its client takes up then goes on at its version or is refused, and more than half go on. They went on at any version.
func TestStreamsTakenUpAfterAllHostsStartAgain(t *testing.T) {
	targets := []*scriptedTarget{
		newOpenEndedTarget(t, "older1"), newOpenEndedTarget(t, "newer1"), newOpenEndedTarget(t, "older2"), newOpenEndedTarget(t, "newer2"),
	}
	w := newTestEnv(t)
	w.stop()
	version := map[string]string{}
	for n, s := range targets {
		version[s.id] = []string{"v1", "v2"}[n%2]
		w.putVersion(s, version[s.id])
	}
	startAll := func(names ...string) []*host {
		var hosts []*host
		for _, name := range names {
			hosts = append(hosts, w.startHost(name, w.ownSettings.Store))
		}
		for _, h := range hosts {
			h.waitReady(len(targets))
		}
		return hosts
	}
	hosts := startAll("first1", "first2", "first3")
	const streams = 24
	for n := range streams {
		hosts[n%len(hosts)].beginStream(fmt.Sprintf("a%d", n))
	}
	time.Sleep(time.Second) // for which the streams are open
	w.setOutage(true)       // nothing more is written, as when power is lost
	for _, h := range hosts {
		h.end()
	}
	w.setOutage(false)
	hosts = startAll("second1", "second2", "second3")
	wentOn := 0
	for n := range streams {
		id, origin := fmt.Sprintf("b%d", n), fmt.Sprintf("a%d", n)
		r := hosts[(n+1)%len(hosts)].takeUp(id, origin)
		require.NoError(t, r.err)
		if r.status == fasthttp.StatusServiceUnavailable {
			require.Empty(t, reached(targets, id))
			continue
		}
		require.Equal(t, fasthttp.StatusOK, r.status)
		require.Equal(t, version[reached(targets, origin)], version[reached(targets, id)], "version that goes on with %s", origin)
		wentOn++
	}
	require.Greater(t, wentOn, streams/2)
}

// requireTakeUp requires that a take-up goes on at a target, or with an empty target that it is refused at once and not
// run.
func (w *testEnv) requireTakeUp(request, target string) {
	w.t.Helper()
	began := time.Now()
	conn := w.dial(request)
	require.NoError(w.t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	r := readResult(bufio.NewReader(conn))
	require.NoError(w.t, r.err)
	id, _, _ := strings.Cut(strings.SplitAfter(request, "X-Attempt-Id: ")[1], "\r\n")
	require.Equal(w.t, target, reached(w.targets, id), "%s: %d %s", request, r.status, r.body)
	if target != "" {
		require.Equal(w.t, fasthttp.StatusOK, r.status)
		return
	}
	require.Equal(w.t, fasthttp.StatusServiceUnavailable, r.status)
	require.NotEmpty(w.t, r.header.Peek(fasthttp.HeaderRetryAfter))
	require.Less(w.t, time.Since(began), time.Second)
}

// A take-up whose origin nobody knows must not go on at a guess: without an origin, of an attempt that never existed or
// of another team it is refused beside two versions. While there is one version only, it goes on, unless the
// store can't be asked whether another host knows a second one.
func TestTakeUpOfUnknownOriginIsNotGuessed(t *testing.T) {
	older, newer := newOpenEndedTarget(t, "older"), newOpenEndedTarget(t, "newer")
	w := newTestEnvWith(t, keepKeysValid)
	w.targets = []*scriptedTarget{older, newer}
	w.putVersion(older, "v1")
	w.waitForTargets(0, 1)
	takeUp := func(id, headers string) string { return streamCall(id, "Last-Event-Id: 3\r\n"+headers) }
	w.requireTakeUp(takeUp("single1", ""), "older")
	w.requireTakeUp(takeUp("single2", "Resumes: none\r\n"), "older")
	w.beginStream("a0").Close()
	w.setOutage(true)
	w.requireTakeUp(takeUp("down1", "Resumes: none2\r\n"), "")
	w.requireTakeUp(takeUp("down2", "Resumes: a0\r\n"), "older")
	w.setOutage(false)
	w.putVersion(newer, "v2")
	w.waitForTargets(0, 2)
	w.requireTakeUp(takeUp("mixed1", ""), "")
	w.requireTakeUp(takeUp("mixed2", "Resumes: none2\r\n"), "")
	w.requireTakeUp(strings.ReplaceAll(takeUp("mixed3", "Resumes: a0\r\n"), "key1", "key2"), "")
	w.requireTakeUp(takeUp("mixed4", "Resumes: a0\r\n"), "older")
	w.requireTakeUp(takeUp("mixed5", "Resumes: a0\r\n"), "older")
	w.waitUntil(func() bool { return w.logContains(`"outcome":"unread"`) && w.logContains(`"outcome":"unknown"`) })
}

// Targets of a version that the store does not name yet must not begin streams: after all hosts were killed, the version
// would be missing in the store.
func TestTargetsAreUsedOnceTheStoreNamesTheirVersion(t *testing.T) {
	older := newOpenEndedTarget(t, "older")
	w := newTestEnv(t)
	w.putVersion(older, "v1")
	w.waitForTargets(0, 1)
	row, err := w.client.VersionHistory("model")
	require.NoError(t, err)
	require.True(t, row.History.Names("v1"))
	w.store.SetFaults(standin.Faults{Slow: 300})
	newer := newOpenEndedTarget(t, "newer")
	w.putVersion(newer, "v2")
	w.waitUntil(func() bool { return w.logContains(`"ready":2`) })
	w.store.SetFaults(standin.Faults{})
	row, err = w.client.VersionHistory("model")
	require.NoError(t, err)
	require.True(t, row.History.Names("v2"))
	log := w.logs.String()
	require.Less(t, strings.Index(log, `"listed":["v1","v2"]`), strings.Index(log, `"ready":2`))
}

// A version that the store lost as it came back from a copy may have begun streams. While all hosts were away, nobody
// else remembers it: the version that the copy names must not be taken for the only one.
func TestVersionThatACopyLacksIsNotForgotten(t *testing.T) {
	older, newer := newOpenEndedTarget(t, "older"), newOpenEndedTarget(t, "newer")
	w := newTestEnv(t)
	w.stop()
	w.targets = []*scriptedTarget{older, newer}
	w.putVersion(older, "v1")
	first := w.startHost("first", w.ownSettings.Store)
	first.waitReady(1)
	earlier := w.store.Copy()
	w.putVersion(newer, "v2")
	first.waitForTargets(0, 2)
	const streams = 12
	for n := range streams {
		first.beginStream(fmt.Sprintf("a%d", n))
	}
	first.end()
	w.store.Restore(earlier)
	second := w.startHost("second", w.ownSettings.Store)
	second.waitReady(1)
	atNewer := 0
	for n := range streams {
		id, origin := fmt.Sprintf("b%d", n), fmt.Sprintf("a%d", n)
		if reached(w.targets, origin) == newer.id {
			atNewer++
			require.Equal(t, fasthttp.StatusServiceUnavailable, second.takeUp(id, origin).status)
			require.Empty(t, reached(w.targets, id))
		}
	}
	require.Positive(t, atNewer)
}

// Rows of streams are written while two versions serve, also of streams that began before, and are removed once their
// stream ended whole. With one version there are none.
func TestOriginsAreKeptWhileTwoVersionsServe(t *testing.T) {
	older, newer := newOpenEndedTarget(t, "older"), newOpenEndedTarget(t, "newer")
	w := newTestEnv(t)
	w.putVersion(older, "v1")
	w.waitForTargets(0, 1)
	conn := w.beginStream("a0")
	rows := func() int {
		list, _, err := w.client.Origins("place1", "")
		require.NoError(t, err)
		return len(list)
	}
	time.Sleep(500 * time.Millisecond)
	require.Zero(t, rows())
	w.putVersion(newer, "v2")
	w.waitUntil(func() bool { return rows() == 1 })
	conn.Close()
	require.Equal(t, fasthttp.StatusOK, w.takeUp("b0", "a0").status)
	w.waitUntil(func() bool { return rows() == 0 })
}
