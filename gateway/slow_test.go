package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// A request that does not arrive completely within the read timeout is answered with 408, which tells the
// caller that it has not run.
func TestSlowRequestIsRefusedAsNotRun(t *testing.T) {
	g := newIdleGateway(t)
	g.server.ReadTimeout = 30 * time.Millisecond
	serveIdle(t, g, &route.Table{})
	for _, part := range []string{"GET /x HTTP/1.1\r\nHo", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na"} {
		got, err := io.ReadAll(dialIdle(t, g, part))
		require.NoError(t, err)
		require.Contains(t, string(got), "HTTP/1.1 408 ")
	}
}
