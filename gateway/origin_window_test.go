package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// TestWindowOfVersionsCoversTheLongestStream guards against a stream that its client takes up at another version, since
// the version that began it had left the list before the stream ended.
func TestWindowOfVersionsCoversTheLongestStream(t *testing.T) {
	c := newCore(Settings{})
	c.table.Store(route.NewTable(route.Table{Routes: []route.Route{
		{Resumable: true, Timeout: time.Minute, Shares: []route.Share{{Service: "a"}, {Service: "b"}}},
		{Resumable: true, Timeout: 2 * time.Minute, Shares: []route.Share{{Service: "b"}}},
		{Timeout: time.Hour, Shares: []route.Share{{Service: "a"}}},
	}}))
	require.Equal(t, time.Minute+originMargin, c.originWindow("a"))
	require.Equal(t, 2*time.Minute+originMargin, c.originWindow("b"))
}
