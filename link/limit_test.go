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

// Settings of the tests in which a child process is suspended during a dial.
const (
	dialAddressEnv = "CASSIACHUTE_TEST_STILL_ADDRESS" // set for the child process only: the address to dial
	dialTimeout    = 200 * time.Millisecond
	pauseTime      = 2 * dialTimeout // how long the child process is suspended
)

// stoppingContext is a context that suspends the process when it is first used by a dial, before the
// dial has sent anything.
type stoppingContext struct {
	context.Context
	stopped *bool // set before the process is suspended, so that it happens once
}

// Value implements context.Context. The dialer of package net looks up its trace hooks here after
// the dial timeout has started to run; the process suspends itself at this point.
func (c stoppingContext) Value(key any) any {
	if fmt.Sprintf("%T", key) == "nettrace.TraceKey" && !*c.stopped {
		*c.stopped = true
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
	return c.Context.Value(key)
}

// TestDialOfSuspendedProcessSucceeds guards against a dial that fails because its own process was
// suspended for longer than the dial timeout: a reachable target was then reported as unreachable.
func TestDialOfSuspendedProcessSucceeds(t *testing.T) {
	for name, dial := range map[string]func(ctx context.Context, address netip.AddrPort) error{
		"dial timeout of the pool": func(ctx context.Context, address netip.AddrPort) error {
			pool := link.NewPool(nil, link.WithDialTimeout(func() time.Duration { return dialTimeout }))
			_, err := pool.Get(ctx, address, true)
			return err
		},
		"time limit of the context": func(ctx context.Context, address netip.AddrPort) error {
			ctx, cancel := link.WithLimit(ctx, dialTimeout)
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
// and resumes the child once the dial timeout has passed.
func runStoppedDuringDial(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), dialAddressEnv+"="+listener.Addr().String())
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
	require.True(t, status.Stopped(), "the child process should have suspended itself during the dial")
	time.Sleep(pauseTime)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	require.NoError(t, cmd.Wait())
}

// TestWithLimitEnds checks that a context of WithLimit ends when its time limit has passed, not
// earlier, and that it ends as soon as its parent is cancelled.
func TestWithLimitEnds(t *testing.T) {
	start := time.Now()
	ctx, cancel := link.WithLimit(context.Background(), dialTimeout)
	defer cancel()
	<-ctx.Done()
	require.GreaterOrEqual(t, time.Since(start), dialTimeout)
	parent, stop := context.WithCancel(context.Background())
	ctx, cancel = link.WithLimit(parent, time.Hour)
	defer cancel()
	stop()
	<-ctx.Done()
}
