package gateway_test

import (
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"
)

const benchEvents = 30

// BenchmarkStream passes on streams, each on a new connection of its caller.
func BenchmarkStream(b *testing.B) {
	w := newWorld(b, newScriptedTarget(b, "a", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, benchEvents)
		a.end()
		return true
	}))
	b.ReportAllocs()
	for n := range b.N {
		if r := w.do(call{path: "/stream/x", key: "key1", id: fmt.Sprint(n)}); r.status != fasthttp.StatusOK {
			b.Fatal(r.status, r.err)
		}
	}
}
