package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
)

// TestEvacuationReachesHostsWithoutStore guards against hosts that go on sending to an evacuated data centre since
// they cannot read the store themselves. While all targets are there, requests are refused as not run, and they are
// served again once the operator takes the evacuation back. The value of the row cannot be read, and only its key counts.
func TestEvacuationReachesHostsWithoutStore(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		a.answer(fasthttp.StatusOK, "done")
		return true
	}))
	second, _, _ := w.startSecond(nil)
	status := func(e *testEnv) func(want int) func() bool {
		return func(want int) func() bool {
			return func() bool { return e.do(call{path: "/lookup/x", id: "r"}).status == want }
		}
	}
	first, other := status(w), status(second)
	w.waitUntil(other(fasthttp.StatusOK))
	w.putRow(platform.TableOperator, "evacuate/place1", 7)
	w.waitUntil(first(fasthttp.StatusServiceUnavailable))
	w.waitUntil(other(fasthttp.StatusServiceUnavailable))
	require.NotEmpty(t, w.do(call{path: "/lookup/x", id: "r"}).header.Peek("Retry-After"))
	w.store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableOperator, Key: "evacuate/place1"}}})
	w.waitUntil(first(fasthttp.StatusOK))
	w.waitUntil(other(fasthttp.StatusOK))
}

// TestStartingHostLearnsEvacuationFromPeers guards against a host that starts while the store is down and sends to an
// evacuated data centre.
func TestStartingHostLearnsEvacuationFromPeers(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		a.answer(fasthttp.StatusOK, "done")
		return true
	}))
	w.putRow(platform.TableOperator, "evacuate/place1", struct{}{})
	w.waitUntil(func() bool { return w.do(call{path: "/lookup/x", id: "r"}).status == fasthttp.StatusServiceUnavailable })
	w.setOutage(true)
	second, _, _ := w.startSecond(nil)
	second.waitUntil(func() bool { return second.do(call{path: "/lookup/x", id: "r"}).status != 0 })
	for range 20 {
		require.Equal(t, fasthttp.StatusServiceUnavailable, second.do(call{path: "/lookup/x", id: "r"}).status)
	}
}
