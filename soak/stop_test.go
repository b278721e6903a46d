package soak_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/soak"
)

// countProcesses returns the number of running processes of a program.
func countProcesses(t *testing.T, path string) int {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	require.NoError(t, err)
	count := 0
	for _, file := range files {
		body, err := os.ReadFile(file)
		if err == nil && bytes.HasPrefix(body, []byte(path+"\x00")) {
			count++
		}
	}
	return count
}

// A soak that is interrupted ends all processes that it started, including suspended ones.
func TestInterruptedSoakEndsAllProcesses(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	path, err := soak.Build(ctx, t.TempDir())
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := soak.Run(ctx, soak.NewPlan(1, hostCount, time.Hour, []soak.FaultKind{soak.FaultGatewayPause, soak.FaultSettingsReload}), path, io.Discard)
		done <- err
	}()
	require.Eventually(t, func() bool { return countProcesses(t, path) == hostCount }, time.Minute, 20*time.Millisecond)
	time.Sleep(3 * time.Second) // so that some faults are injected
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.Zero(t, countProcesses(t, path))
}
