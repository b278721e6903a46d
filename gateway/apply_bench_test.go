package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// BenchmarkApply measures how long the gateway holds the lock of its core while it applies a new
// configuration. Decoding is not included, since it happens before the lock is taken.
func BenchmarkApply(b *testing.B) {
	for _, routes := range []int{20, 370} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			table := route.Table{Services: []route.Service{{Name: "a"}, {Name: "b"}}}
			for n := range routes {
				table.Routes = append(table.Routes, route.Route{
					Name: fmt.Sprint("r", n), Host: "h", Prefix: fmt.Sprintf("/%d/", n), TargetLatency: time.Second,
					Shares: []route.Share{{Service: []string{"a", "b"}[n%2], Weight: 1}},
				})
			}
			g := &Gateway{core: newCore(NewSettings())}
			g.record = newRecorder(g.log, newMetrics(), g.core.times)
			next := route.NewTable(table)
			b.ReportAllocs()
			for b.Loop() {
				next.Version++
				g.core.table.Store(&route.Table{Version: next.Version - 1})
				g.applyConfig(next, nil)
			}
			require.Equal(b, next, g.core.table.Load())
		})
	}
}
