package gateway_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
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
