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

// ends is a program that fails without whole settings, and ends when it is asked to.
const ends = `#!/bin/sh
grep -q '}$' "$2" || exit 1
trap 'echo "{\"event\":\"stopped\"}"; exit 0' TERM
echo started
while :; do sleep 0.02; done
`

// stays is a program that does not end when it is asked to, and logs that it did.
const stays = `#!/bin/sh
trap 'echo stopping' TERM
echo started
while :; do sleep 0.02; done
`

// scripted returns a gateway whose program is a script.
func scripted(t *testing.T, script string) *gateway {
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
		g := scripted(t, stays)
		g.grace = 300 * ms
		require.NoError(t, g.start())
		g.awaitLine()
		if still {
			g.signal(syscall.SIGSTOP)
			g.away = append(g.away, Span{From: time.Now()})
		}
		require.True(t, g.end())
		require.Zero(t, g.ended)
		stop := g.planned()[0]
		require.True(t, stop.Killed)
		require.Equal(t, still, stop.Still)
		require.GreaterOrEqual(t, stop.To.Sub(stop.From), g.grace)
		if !still {
			require.Equal(t, "stopping", stop.Last)
		}
		v := &View{Stops: map[int][]Stop{0: g.planned()}}
		require.Equal(t, still, len(outlived(v)) == 0)
		require.Empty(t, unlogged(v))
	}
}

// What a process before logged last is not taken for the last line of the next one.
func TestLastLineIsThatOfItsProcess(t *testing.T) {
	g := scripted(t, ends)
	require.NoError(t, g.start())
	require.NoError(t, g.restart())
	g.awaitLine()
	g.signal(syscall.SIGKILL)
	<-g.done
	require.Equal(t, "started", g.lastLine())
	require.Contains(t, g.planned()[0].Last, lastEvent)
}

// Restarts and changed settings that overlap leave one process, which ends as planned.
func TestOverlappingSignalsOfAGateway(t *testing.T) {
	g := scripted(t, ends)
	require.NoError(t, g.start())
	for range 3 {
		var open sync.WaitGroup
		errs := make(chan error, 8)
		for n := range 4 {
			open.Go(func() { errs <- g.restart() })
			open.Go(func() { errs <- g.hangup(uint64(n)) })
		}
		open.Wait()
		close(errs)
		for err := range errs {
			require.NoError(t, err)
		}
		body, err := os.ReadFile(g.file())
		require.NoError(t, err)
		require.True(t, json.Valid(body))
	}
	last := g.cmd
	require.True(t, g.end())
	require.False(t, g.end())
	require.NotNil(t, last.ProcessState)
	require.Zero(t, g.ended)
	for _, stop := range g.planned() {
		require.False(t, stop.To.IsZero())
		require.False(t, stop.Killed)
		require.Contains(t, stop.Last, lastEvent)
	}
}
