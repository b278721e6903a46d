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

// Other hosts counted the slots that a stopped host had used as taken until they noticed that its state reports
// were missing. The slots must be free at once, also those of streams that their callers do not read.
func TestSlotsOfStoppedHostAreFreedAtOnce(t *testing.T) {
	for name, size := range map[string]int{"callers that read": 0, "callers that do not read": 4 << 10} {
		t.Run(name, func(t *testing.T) { requireSlotsFreeAfterStop(t, size) })
	}
}

// requireSlotsFreeAfterStop fills all slots with streams from one host, and stops the host. After its first
// event, each stream sends events of the given size, or none if size is 0. The streams are aborted stopMargin
// before the end of the grace period. Another host must find the slots free then.
func requireSlotsFreeAfterStop(t *testing.T, size int) {
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
		closedWithin(a.conn, waitTimeout)
		return false
	}
	var targets []*scriptedTarget
	for n := range engines {
		targets = append(targets, newScriptedTarget(t, fmt.Sprint("m", n), "model", script))
	}
	w := newTestEnvWith(t, withGrace(shortGrace), targets...)
	w.configure(func(d *configDocument) { d.Services[1].Engine.Slots = 1 })
	second, _, _ := w.startSecond(keepKeysValid)
	w.waitUntil(func() bool { return w.logContains(`"event":"peer-regained"`) && w.logContains(`"revision":2`) })
	for n := range engines {
		w.dial(streamRequest("/stream/x", fmt.Sprint("r", n)))
	}
	w.waitUntil(func() bool { return w.requestCount() == engines })
	w.waitUntil(func() bool {
		r := second.do(call{path: "/stream/x", key: "key1", id: "early", deadline: 200 * time.Millisecond})
		return r.body != "no-configuration" && r.body != "no-target"
	})
	require.Equal(t, engines, w.requestCount(), "all slots are taken")
	stopped.Store(true)
	w.stop()
	require.Less(t, w.timeToEnd(), shortGrace)
	began := time.Now()
	for n := range engines {
		r := second.do(call{path: "/stream/x", key: "key1", id: fmt.Sprint("s", n)})
		require.NoError(t, r.err)
		require.Equal(t, fasthttp.StatusOK, r.status, r.body)
	}
	t.Logf("slots found free after %v", time.Since(began))
	require.Less(t, time.Since(began), 400*time.Millisecond)
}
