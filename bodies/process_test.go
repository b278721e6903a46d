// Package bodies_test runs the programs that serve callers against callers whose requests are not controlled: large,
// slow, endless or incomplete. It checks that the process lives, that its memory and open descriptors stay under a
// bound, and that an ordinary request is answered afterwards.
package bodies_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	startTimeout = 20 * time.Second // for a process to be ready
	pollInterval = 10 * time.Millisecond
	kibibyte     = 1 << 10 // /proc/PID/status gives memory in KiB
)

// programDir is the directory of the built programs.
var programDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the programs and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cassia-bodies")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "../cmd/cassia-gateway", "../cmd/cassia-entry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	programDir = dir
	return m.Run()
}

// process is a running program.
type process struct {
	t       *testing.T
	pid     int
	exited  chan struct{}
	logFile string
}

// startProcess starts a program with a settings file and waits until its readiness check succeeds. The process is
// killed at the end of the test.
func startProcess(t *testing.T, program string, settings any, readiness string) *process {
	t.Helper()
	dir := t.TempDir()
	body, err := json.Marshal(settings)
	require.NoError(t, err)
	file := filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(file, body, 0o600))
	out, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(t, err)
	defer out.Close()
	cmd := exec.Command(filepath.Join(programDir, program), "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(t, cmd.Start())
	p := &process{t: t, pid: cmd.Process.Pid, exited: make(chan struct{}), logFile: out.Name()}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL) // fails if the process has exited
		<-p.exited
	})
	require.Eventually(t, func() bool {
		status, _, err := fasthttp.GetTimeout(nil, readiness, time.Second)
		return err == nil && status == fasthttp.StatusOK
	}, startTimeout, pollInterval, "the process is not ready")
	return p
}

// requireAlive fails the test if the process has ended, and shows the end of its log.
func (p *process) requireAlive() {
	p.t.Helper()
	select {
	case <-p.exited:
		log, _ := os.ReadFile(p.logFile)
		require.Fail(p.t, "the process has ended", "%s", log[max(0, len(log)-2000):])
	default:
	}
}

// peakMemory returns the most resident memory that the process has had, in bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	require.NoError(p.t, err)
	_, rest, found := bytes.Cut(status, []byte("VmHWM:"))
	require.True(p.t, found)
	kib, err := strconv.ParseInt(strings.Fields(string(rest))[0], 10, 64)
	require.NoError(p.t, err)
	return kib * kibibyte
}

// openDescriptors returns the number of open descriptors of the process.
func (p *process) openDescriptors() int {
	p.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	require.NoError(p.t, err)
	return len(list)
}

// readinessURL returns the URL of a readiness check.
func readinessURL(address netip.AddrPort, path string) string {
	return "http://" + address.String() + path
}
