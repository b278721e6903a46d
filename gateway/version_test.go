package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/knownred"
)

// newVersionedTarget is like newScriptedTarget, for a target of the service "model" with a software version.
func newVersionedTarget(t testing.TB, id, version string, script func(a *arrival) bool) *scriptedTarget {
	t.Helper()
	s := newScriptedTarget(t, id, "model", script)
	s.version = version
	return s
}

// breaksOnce ends the connection of a new stream after its third event. It sends events 4 to 6 if the stream is resumed
// after the third one.
func breaksOnce(a *arrival) bool {
	a.begin()
	if a.header("Last-Event-Id") == "3" {
		a.events(4, 6)
		a.end()
		return true
	}
	a.events(1, 3)
	a.allAcknowledged()
	return false
}

// TestLogNamesVersionOfStream guards against a log from which nobody can tell at which software versions a stream was.
func TestLogNamesVersionOfStream(t *testing.T) {
	w := newTestEnv(t, newVersionedTarget(t, "a", "1.4", breaksOnce), newVersionedTarget(t, "b", "1.4", breaksOnce))
	r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
	require.NoError(t, r.err)
	require.Equal(t, wantEvents(6), r.body)
	w.waitUntil(func() bool { return w.logContains(`"event":"answered"`) })
	versions := map[string]string{}
	for line := range strings.Lines(w.logs.String()) {
		if gjson.Get(line, "request").String() == "r1" {
			versions[gjson.Get(line, "event").String()] = gjson.Get(line, "version").String()
		}
	}
	require.Equal(t, map[string]string{"attempt-failed": "1.4", "resumed": "1.4", "answered": "1.4"}, versions)
}

// silentOnce is like breaksOnce, but the target of a new stream falls silent after its third event.
func silentOnce(a *arrival) bool {
	a.begin()
	if a.header("Last-Event-Id") == "3" {
		a.events(4, 6)
		a.end()
		return true
	}
	a.events(1, 3)
	closedWithin(a.conn, waitTimeout)
	return false
}

// versionPlay is a stream that breaks, and the versions of the targets of its service.
type versionPlay struct {
	name     string
	versions []string
	script   func(a *arrival) bool
	state    string // of the entry of the second target
	whole    bool   // the stream goes on at another target; else it is cut
}

// versionPlays are the plays of TestBrokenStreamGoesOnOnlyAtItsVersion.
var versionPlays = []versionPlay{
	{"target of its version beside others", []string{"1", "1", "2", "2"}, breaksOnce, "ready", true},
	{"two targets of each of three versions", []string{"1", "1", "2", "2", "", ""}, breaksOnce, "ready", true},
	{"no target of its version", []string{"1", "2"}, breaksOnce, "ready", false},
	{"one target without a version", []string{"", "2"}, breaksOnce, "ready", false},
	{"target of its version leaves", []string{"1", "1"}, breaksOnce, "draining", false},
	{"silent, target of its version beside others", []string{"1", "1", "2", "2"}, silentOnce, "ready", true},
	{"silent, no target of its version", []string{"1", "2"}, silentOnce, "ready", false},
}

// TestBrokenStreamGoesOnOnlyAtItsVersion guards against streams that hold events of two software versions: a stream that
// broke off or whose target fell silent went on at any target of its service. Without another target of its version it
// is cut, and the request reaches no other target.
func TestBrokenStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	knownred.Skip(t)
	const streams = 3 // per gateway
	for _, play := range versionPlays {
		t.Run(play.name, func(t *testing.T) {
			w, second := newVersionedEnv(t, play) // one after the other, as two gateways take the same port
			t.Parallel()
			results := make(chan string, 2*streams) // problems, empty for streams without one
			for n := range streams {
				for _, e := range []*testEnv{w, second} {
					go func() { results <- play.run(e, fmt.Sprintf("%s-%d", e.address, n)) }()
				}
			}
			for range 2 * streams {
				require.Empty(t, receive(t, results))
			}
		})
	}
}

// run sends a stream with an ID, and returns what is wrong with its outcome, or an empty text.
func (p *versionPlay) run(e *testEnv, id string) string {
	began := time.Now()
	r := e.do(call{path: "/stream/x", key: "key1", id: id, parts: id + ":60", deadline: 3 * time.Second})
	versions, sends := e.versionsOf(id)
	switch {
	case len(versions) != 1:
		return fmt.Sprint("versions at which the stream was: ", versions)
	case p.whole && (r.err != nil || r.body != wantEvents(6) || sends != 2):
		return fmt.Sprintf("%d sends, error %v, body %q", sends, r.err, r.body)
	case !p.whole && (r.err == nil || strings.Contains(r.body, "id: 4") || sends != 1):
		return fmt.Sprintf("not cut: %d sends, error %v, body %q", sends, r.err, r.body)
	case time.Since(began) > 4*time.Second:
		return "the stream outlasted its deadline"
	}
	return ""
}

// TestStreamWithoutEventsGoesOnAtAnyVersion guards against new streams that fail though a target of another version could
// begin them.
func TestStreamWithoutEventsGoesOnAtAnyVersion(t *testing.T) {
	var begun sync.Map // IDs of requests whose first send is over
	script := func(a *arrival) bool {
		a.begin()
		if _, again := begun.LoadOrStore(a.header("X-Attempt-Id"), true); !again {
			return false
		}
		a.events(1, 3)
		a.end()
		return true
	}
	w := newTestEnv(t, newVersionedTarget(t, "a", "1", script), newVersionedTarget(t, "b", "2", script))
	for n := range 4 {
		id := fmt.Sprint("r", n)
		r := w.do(call{path: "/stream/x", key: "key1", id: id, parts: fmt.Sprintf("p%d:60", n)})
		require.NoError(t, r.err)
		require.Equal(t, wantEvents(3), r.body)
		versions, _ := w.versionsOf(id)
		require.Len(t, versions, 2)
	}
}

// newVersionedEnv starts the targets of a play and two gateways that know them.
func newVersionedEnv(t *testing.T, play versionPlay) (w, second *testEnv) {
	var targets []*scriptedTarget
	for n, version := range play.versions {
		targets = append(targets, newVersionedTarget(t, fmt.Sprint("m", n), version, play.script))
	}
	w = newTestEnvWith(t, keepKeysValid, targets...)
	w.putTarget(targets[1], play.state)
	second, _, _ = w.startSecond(keepKeysValid)
	ready := len(targets)
	if play.state != "ready" {
		ready--
	}
	w.waitUntil(func() bool {
		return w.logContains(`"event":"peer-regained"`) && (ready == len(targets) || w.logContains(fmt.Sprintf(`"ready":%d,"leaving":1`, ready)))
	})
	second.waitUntil(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "warm", deadline: 300 * time.Millisecond}).status == fasthttp.StatusOK
	})
	return w, second
}

// versionsOf returns the software versions of the targets that received a request, and how often it was received.
func (w *testEnv) versionsOf(id string) (versions map[string]bool, sends int) {
	versions = map[string]bool{}
	for _, s := range w.targets {
		for _, a := range s.received() {
			if a.id == id {
				versions[s.version] = true
				sends++
			}
		}
	}
	return versions, sends
}
