package soak

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stoppingScript is a program that fails if its settings file is incomplete, and ends on SIGTERM.
const stoppingScript = `#!/bin/sh
grep -q '}$' "$2" || exit 1
trap 'echo "{\"event\":\"stopped\"}"; exit 0' TERM
echo started
while :; do sleep 0.02; done
`

// unstoppableScript is a program that logs SIGTERM but does not end.
const unstoppableScript = `#!/bin/sh
trap 'echo stopping' TERM
echo started
while :; do sleep 0.02; done
`

// newScriptedGateway returns a gateway that runs a shell script.
func newScriptedGateway(t *testing.T, script string) *gateway {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "program")
	require.NoError(t, os.WriteFile(path, []byte(script), 0o700))
	return newGateways(1, path, dir, netip.AddrPort{})[0]
}

// A process that is still running at the end of its grace period is killed, as the platform does, and
// reported as a violation unless it was suspended.
func TestProcessIsKilledAtEndOfGracePeriod(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		g := newScriptedGateway(t, unstoppableScript)
		g.gracePeriod = 300 * ms
		require.NoError(t, g.start())
		g.awaitFirstLogLine()
		if suspended {
			g.signal(syscall.SIGSTOP)
			g.outages = append(g.outages, TimeSpan{From: time.Now()})
		}
		require.True(t, g.stop())
		require.Zero(t, g.unexpectedExits)
		stop := g.plannedStops()[0]
		require.True(t, stop.Killed)
		require.Equal(t, suspended, stop.Paused)
		require.GreaterOrEqual(t, stop.To.Sub(stop.From), g.gracePeriod)
		if !suspended {
			require.Equal(t, "stopping", stop.LastLogLine)
		}
		v := &View{Stops: map[int][]Stop{0: g.plannedStops()}}
		require.Equal(t, suspended, len(exceededGracePeriods(v)) == 0)
		require.Empty(t, missingStopLogs(v))
	}
}

// The last log line of a process is not mistaken for a line of the next process.
func TestLastLogLineIsOfCurrentProcess(t *testing.T) {
	g := newScriptedGateway(t, stoppingScript)
	require.NoError(t, g.start())
	require.NoError(t, g.restart())
	g.awaitFirstLogLine()
	g.signal(syscall.SIGKILL)
	<-g.exited
	require.Equal(t, "started", g.lastLogLine())
	require.Contains(t, g.plannedStops()[0].LastLogLine, stoppedEvent)
}

// Concurrent restarts and reloads leave exactly one process, which stops as planned.
func TestConcurrentRestartsAndReloads(t *testing.T) {
	g := newScriptedGateway(t, stoppingScript)
	require.NoError(t, g.start())
	for range 3 {
		var wg sync.WaitGroup
		errs := make(chan error, 8)
		for n := range 4 {
			wg.Go(func() { errs <- g.restart() })
			wg.Go(func() { errs <- g.reloadSettings(uint64(n)) })
		}
		wg.Wait()
		close(errs)
		for err := range errs {
			require.NoError(t, err)
		}
		body, err := os.ReadFile(g.settingsFile())
		require.NoError(t, err)
		require.True(t, json.Valid(body))
	}
	last := g.cmd
	require.True(t, g.stop())
	require.False(t, g.stop())
	require.NotNil(t, last.ProcessState)
	require.Zero(t, g.unexpectedExits)
	for _, stop := range g.plannedStops() {
		require.False(t, stop.To.IsZero())
		require.False(t, stop.Killed)
		require.Contains(t, stop.LastLogLine, stoppedEvent)
	}
}
