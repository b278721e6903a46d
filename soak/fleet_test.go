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

// stoppingScript is a program that fails without whole settings, and stoppingScript when it is asked to.
const stoppingScript = `#!/bin/sh
grep -q '}$' "$2" || exit 1
trap 'echo "{\"event\":\"stopped\"}"; exit 0' TERM
echo started
while :; do sleep 0.02; done
`

// unstoppableScript is a program that does not end when it is asked to, and logs that it did.
const unstoppableScript = `#!/bin/sh
trap 'echo stopping' TERM
echo started
while :; do sleep 0.02; done
`

// newScriptedGateway returns a gateway whose program is a script.
func newScriptedGateway(t *testing.T, script string) *gateway {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "program")
	require.NoError(t, os.WriteFile(path, []byte(script), 0o700))
	return newGateways(1, path, dir, netip.AddrPort{})[0]
}

// A process that outlives its grace is killed at its end, as the platform does, and counted;
// one that stood still is excused.
func TestProcessThatOutlivesItsGraceIsKilled(t *testing.T) {
	for _, still := range []bool{false, true} {
		g := newScriptedGateway(t, unstoppableScript)
		g.gracePeriod = 300 * ms
		require.NoError(t, g.start())
		g.awaitFirstLogLine()
		if still {
			g.signal(syscall.SIGSTOP)
			g.outages = append(g.outages, TimeSpan{From: time.Now()})
		}
		require.True(t, g.stop())
		require.Zero(t, g.unexpectedExits)
		stop := g.plannedStops()[0]
		require.True(t, stop.Killed)
		require.Equal(t, still, stop.Paused)
		require.GreaterOrEqual(t, stop.To.Sub(stop.From), g.gracePeriod)
		if !still {
			require.Equal(t, "stopping", stop.LastLogLine)
		}
		v := &View{Stops: map[int][]Stop{0: g.plannedStops()}}
		require.Equal(t, still, len(exceededGracePeriods(v)) == 0)
		require.Empty(t, missingStopLogs(v))
	}
}

// What a process before logged last is not taken for the last line of the next one.
func TestLastLineIsThatOfItsProcess(t *testing.T) {
	g := newScriptedGateway(t, stoppingScript)
	require.NoError(t, g.start())
	require.NoError(t, g.restart())
	g.awaitFirstLogLine()
	g.signal(syscall.SIGKILL)
	<-g.exited
	require.Equal(t, "started", g.lastLogLine())
	require.Contains(t, g.plannedStops()[0].LastLogLine, stoppedEvent)
}

// Restarts and changed settings that overlap leave one process, which ends as planned.
func TestOverlappingSignalsOfAGateway(t *testing.T) {
	g := newScriptedGateway(t, stoppingScript)
	require.NoError(t, g.start())
	for range 3 {
		var open sync.WaitGroup
		errs := make(chan error, 8)
		for n := range 4 {
			open.Go(func() { errs <- g.restart() })
			open.Go(func() { errs <- g.reloadSettings(uint64(n)) })
		}
		open.Wait()
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
