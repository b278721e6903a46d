package main

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/standin/loopback"
)

// fullPipe returns the writing end of a pipe that is full and is never read.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	var fds [2]int
	require.NoError(t, syscall.Pipe2(fds[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK))
	chunk := make([]byte, 4096)
	for {
		if _, err := syscall.Write(fds[1], chunk); err != nil {
			require.ErrorIs(t, err, syscall.EAGAIN)
			break
		}
	}
	require.NoError(t, syscall.SetNonblock(fds[1], false))
	t.Cleanup(func() { _ = syscall.Close(fds[0]) })
	out := os.NewFile(uintptr(fds[1]), "log")
	t.Cleanup(func() { _ = out.Close() })
	return out
}

// Guards against a process that outlives its grace period: when the pipe of its log is
// full, a write of the last lines blocks forever.
func TestProcessExitsWithinGraceWhenNobodyReadsItsLog(t *testing.T) {
	const grace = 3 * time.Second
	dir := t.TempDir()
	binary := filepath.Join(dir, "gateway")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(output))
	listen, ready, peer, store := loopback.Address(), loopback.Address(), loopback.Address(), loopback.Address()
	settingsJSON, err := json.Marshal(map[string]string{
		"name": "host1", "place": "place1", "listen": listen.String(), "ready": ready.String(), "peer": peer.String(),
		"store": store.String(), "grace": grace.String(),
	})
	require.NoError(t, err)
	settingsFile := filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(settingsFile, settingsJSON, 0o600))
	cmd := exec.Command(binary, "--settings", settingsFile)
	cmd.Stdout = fullPipe(t)
	require.NoError(t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // fails if the process has exited
	require.Eventually(t, func() bool { return readinessAnswers(ready) }, 20*time.Second, 10*time.Millisecond)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-exited:
		require.NoError(t, err)
	case <-time.After(grace):
		require.Fail(t, "the process still runs after its grace period")
	}
}

// readinessAnswers returns whether a host answers on its readiness endpoint, be it
// ready or not.
func readinessAnswers(ready netip.AddrPort) bool {
	response, err := http.Get("http://" + ready.String() + platform.PathReady)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}
