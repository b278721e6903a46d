package gateway_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// The places of a host that stopped stayed taken at the others until they missed its news, also those of
// streams that their callers did not read.
func TestPlacesOfAStoppedHostAreFreeForOthersAtOnce(t *testing.T) {
	for name, size := range map[string]int{"callers that read": 0, "callers that do not read": 4 << 10} {
		t.Run(name, func(t *testing.T) { requireFreePlaces(t, size) })
	}
}

// requireFreePlaces fills all places from a host with streams that go on with events of a size, 0 for none, and
// stops it. Its streams end half a second before its grace does, and another host finds the places free.
func requireFreePlaces(t *testing.T, size int) {
	const engines = 6
	var stopped atomic.Bool
	text := strings.Repeat("x", size)
	script := func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		if stopped.Load() {
			a.end()
			return true
		}
		for n := 2; size > 0; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
			if _, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		closed(a.conn, waitLimit)
		return false
	}
	var targets []*scripted
	for n := range engines {
		targets = append(targets, newScripted(t, fmt.Sprint("m", n), "model", script))
	}
	w := newTestEnvWith(t, graceOf(shortGrace), targets...)
	w.configure(func(d *configDocument) { d.Services[1].Engine.Slots = 1 })
	second, _, _ := w.startSecond(keepKeysValid)
	w.waitUntil(func() bool { return w.logContains(`"event":"peer-regained"`) && w.logContains(`"revision":2`) })
	for n := range engines {
		w.dial(streamRequest("/stream/x", fmt.Sprint("r", n)))
	}
	w.waitUntil(func() bool { return w.arrivals() == engines })
	w.waitUntil(func() bool {
		r := second.do(call{path: "/stream/x", key: "key1", id: "early", deadline: 200 * time.Millisecond})
		return r.body != "no-configuration" && r.body != "no-target"
	})
	require.Equal(t, engines, w.arrivals(), "all are full")
	stopped.Store(true)
	w.stop()
	require.Less(t, w.ended(), shortGrace)
	began := time.Now()
	for n := range engines {
		r := second.do(call{path: "/stream/x", key: "key1", id: fmt.Sprint("s", n)})
		require.NoError(t, r.err)
		require.Equal(t, fasthttp.StatusOK, r.status, r.body)
	}
	t.Logf("places found in %v", time.Since(began))
	require.Less(t, time.Since(began), 400*time.Millisecond)
}
