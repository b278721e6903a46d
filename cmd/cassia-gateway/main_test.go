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

// fullPipe returns a pipe that nobody reads and that takes no more bytes.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	var fds [2]int
	require.NoError(t, syscall.Pipe2(fds[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK))
	piece := make([]byte, 4096)
	for {
		if _, err := syscall.Write(fds[1], piece); err != nil {
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

// A process whose log nobody reads outlived its grace, since it waited for the last lines to be written.
func TestProcessWithoutAReaderOfItsLogEndsWithinItsGrace(t *testing.T) {
	const grace = 3 * time.Second
	dir := t.TempDir()
	path := filepath.Join(dir, "gateway")
	output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	require.NoError(t, err, string(output))
	listen, ready, peer, store := loopback.Address(), loopback.Address(), loopback.Address(), loopback.Address()
	body, err := json.Marshal(map[string]string{
		"name": "host1", "place": "place1", "listen": listen.String(), "ready": ready.String(), "peer": peer.String(),
		"store": store.String(), "grace": grace.String(),
	})
	require.NoError(t, err)
	file := filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(file, body, 0o600))
	cmd := exec.Command(path, "--settings", file)
	cmd.Stdout = fullPipe(t)
	require.NoError(t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // fails if it ended
	require.Eventually(t, func() bool { return answers(ready) }, 20*time.Second, 10*time.Millisecond)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(grace):
		require.Fail(t, "the process is still there")
	}
}

// answers returns whether a host says whether it is ready.
func answers(ready netip.AddrPort) bool {
	response, err := http.Get("http://" + ready.String() + platform.PathReady)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}
