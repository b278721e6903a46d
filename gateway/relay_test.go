package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A host that can't reach the store serves with the configuration of a peer, and learns from it within a few
// seconds that a key was removed.
func TestHostWithoutStoreAsksPeers(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		a.end()
		return true
	}))
	second, _, _ := w.startSecond(nil)
	second.waitUntil(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r1"}).status == fasthttp.StatusOK
	})
	w.configure(func(d *configDocument) { d.Tenants = d.Tenants[1:] })
	began := time.Now()
	second.waitUntil(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r2"}).status == fasthttp.StatusUnauthorized
	})
	require.Less(t, time.Since(began), 5*time.Second)
	require.Equal(t, fasthttp.StatusOK, second.do(call{path: "/stream/x", key: "key2", id: "r3"}).status)
}
