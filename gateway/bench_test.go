package gateway_test

import (
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"
)

// benchEvents is the number of events of each stream in BenchmarkStream.
const benchEvents = 30

// BenchmarkStream measures forwarding a whole stream to a caller that opens a new connection for it.
func BenchmarkStream(b *testing.B) {
	w := newTestEnv(b, newScriptedTarget(b, "a", "model", func(a *arrival) bool {
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
