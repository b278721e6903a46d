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

// Settings of the tests of suspended processes.
const (
	dialAddressEnv = "CASSIACHUTE_TEST_STILL_ADDRESS" // environment variable with the address that the suspended process dials
	dialLimit      = 200 * time.Millisecond
	pauseTime      = 2 * dialLimit // how long the child process is suspended
)

// stoppingContext suspends its own process once, after a dial has begun and before it has sent anything.
type stoppingContext struct {
	context.Context
	stopped *bool // whether the process was suspended
}

// Value implements context.Context. The dialer asks for a trace after its time limit has started,
// which is when the process suspends itself.
func (c stoppingContext) Value(key any) any {
	if fmt.Sprintf("%T", key) == "nettrace.TraceKey" && !*c.stopped {
		*c.stopped = true
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
	return c.Context.Value(key)
}

// TestDialOfSuspendedProcessSucceeds guards against a process that was suspended during a dial, for
// longer than the dial's time limit, and reported the target as unreachable though it was not.
func TestDialOfSuspendedProcessSucceeds(t *testing.T) {
	for name, dial := range map[string]func(ctx context.Context, address netip.AddrPort) error{
		"limit of the pool": func(ctx context.Context, address netip.AddrPort) error {
			pool := link.NewPool(nil, link.WithDialTimeout(func() time.Duration { return dialLimit }))
			_, err := pool.Get(ctx, address, true)
			return err
		},
		"limit of the call": func(ctx context.Context, address netip.AddrPort) error {
			ctx, cancel := link.WithLimit(ctx, dialLimit)
			defer cancel()
			_, err := link.NewPool(nil).Get(ctx, address, true)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			if address := os.Getenv(dialAddressEnv); address != "" {
				stopped := false
				require.NoError(t, dial(stoppingContext{context.Background(), &stopped}, netip.MustParseAddrPort(address)))
				require.True(t, stopped)
				return
			}
			runStoppedDuringDial(t)
		})
	}
}

// runStoppedDuringDial runs the current test in a child process, which suspends itself during the dial,
// and resumes it after the dial's time limit.
func runStoppedDuringDial(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), dialAddressEnv+"="+l.Addr().String())
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
	require.True(t, status.Stopped(), "the child process suspends itself during the dial")
	time.Sleep(pauseTime)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	require.NoError(t, cmd.Wait())
}

// TestWithLimitEnds checks that the context ends after its limit, not before, and with its parent.
func TestWithLimitEnds(t *testing.T) {
	began := time.Now()
	ctx, cancel := link.WithLimit(context.Background(), dialLimit)
	defer cancel()
	<-ctx.Done()
	require.GreaterOrEqual(t, time.Since(began), dialLimit)
	parent, stop := context.WithCancel(context.Background())
	ctx, cancel = link.WithLimit(parent, time.Hour)
	defer cancel()
	stop()
	<-ctx.Done()
}
