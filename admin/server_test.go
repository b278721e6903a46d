package admin_test

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/standin/loopback"
)

// TestRunStopsDespiteIncompleteBody guards against a shutdown that never ends because
// a client sent only a part of its request body.
func TestRunStopsDespiteIncompleteBody(t *testing.T) {
	s := admin.NewSettings()
	s.Listen, s.Platform = loopback.Address(), loopback.Address()
	s.Operators = []admin.Operator{{Name: "operator", Digest: strings.Repeat("0", 64)}}
	server, err := admin.New(s)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	conn, err := net.Dial("tcp", s.Listen.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/apply HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "server did not wait for the rest of the body")
	cancel()
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		require.Fail(t, "Run did not return after its context was cancelled")
	}
}
