package link_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/link"
)

const (
	stillAddress = "CASSIACHUTE_TEST_STILL_ADDRESS" // of the listener that the process which is stopped dials
	stillLimit   = 200 * time.Millisecond
	stillTime    = 2 * stillLimit
)

// stillContext stops the process once, when the dial has begun and has sent nothing.
type stillContext struct {
	context.Context
	stopped *bool
}

// Value implements context.Context. The dialer looks for a trace after its limit has begun.
func (c stillContext) Value(key any) any {
	if fmt.Sprintf("%T", key) == "nettrace.TraceKey" && !*c.stopped {
		*c.stopped = true
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
	return c.Context.Value(key)
}

// A host that stood still for longer than a connection may take told that the target could
// not be reached, and no other was left.
func TestDialOfAHostThatStoodStill(t *testing.T) {
	for name, dial := range map[string]func(ctx context.Context, address netip.AddrPort) error{
		"limit of the pool": func(ctx context.Context, address netip.AddrPort) error {
			pool := link.NewPool(nil, link.WithDialTimeout(func() time.Duration { return stillLimit }))
			_, err := pool.Get(ctx, address, true)
			return err
		},
		"limit of the call": func(ctx context.Context, address netip.AddrPort) error {
			ctx, cancel := link.WithLimit(ctx, stillLimit)
			defer cancel()
			_, err := link.NewPool(nil).Get(ctx, address, true)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			if address := os.Getenv(stillAddress); address != "" {
				stopped := false
				require.NoError(t, dial(stillContext{context.Background(), &stopped}, netip.MustParseAddrPort(address)))
				require.True(t, stopped)
				return
			}
			runStill(t)
		})
	}
}

// runStill runs the present test in another process, which stops itself and is let go on.
func runStill(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), stillAddress+"="+l.Addr().String())
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	require.NoError(t, cmd.Start())
	var status syscall.WaitStatus
	for {
		_, err = syscall.Wait4(cmd.Process.Pid, &status, syscall.WUNTRACED, nil)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	require.NoError(t, err)
	require.True(t, status.Stopped(), "the process stops in its dial")
	time.Sleep(stillTime)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	require.NoError(t, cmd.Wait())
}

// A target that takes no connection is given up when the limit is over.
func TestLimitEnds(t *testing.T) {
	began := time.Now()
	ctx, cancel := link.WithLimit(context.Background(), stillLimit)
	defer cancel()
	<-ctx.Done()
	require.GreaterOrEqual(t, time.Since(began), stillLimit)
	parent, stop := context.WithCancel(context.Background())
	ctx, cancel = link.WithLimit(parent, time.Hour)
	defer cancel()
	stop()
	<-ctx.Done()
}
