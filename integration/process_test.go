package integration_test

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/standin/faults"
)

// process is a running program.
type process struct {
	name    string
	cmd     *exec.Cmd
	done    chan error // receives the result of Wait
	logPath string
}

// tempDirKeptOnFailure returns a new directory that is removed if the test
// passes. If it fails, the directory stays and its path is logged.
func tempDirKeptOnFailure(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "cassia-"+strings.ReplaceAll(t.Name(), "/", "-")+"-")
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("process logs are in %s", dir)
			return
		}
		require.NoError(t, os.RemoveAll(dir))
	})
	return dir
}

// dumpHosts writes the status of each host next to its log file and makes the
// host write its goroutine stacks to the log. It is called when a test fails.
func (f *fleet) dumpHosts() {
	for _, h := range f.hosts {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+h.settings.Status.String()+"/status", time.Second)
		if err != nil {
			body = []byte(err.Error())
		}
		if err := os.WriteFile(h.logPath+".status", body, 0o600); err != nil {
			f.t.Log(err)
		}
		h.signal(syscall.SIGQUIT)
	}
	for _, h := range f.hosts {
		select {
		case err := <-h.done: // the process has written its stacks and exited
			h.done <- err
		case <-time.After(dumpTimeout):
		}
	}
}

// dumpTimeout is the longest wait for one host to write its stacks.
const dumpTimeout = time.Second

// startProcess starts a program and writes its output to a log file. The process
// is killed at the end of the test.
func (f *fleet) startProcess(name, program string, args ...string) *process {
	f.t.Helper()
	path := filepath.Join(f.dir, name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer out.Close()
	cmd := exec.Command(filepath.Join(programDir, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(f.t, cmd.Start())
	p := &process{name: name, cmd: cmd, done: make(chan error, 1), logPath: path}
	go func() { p.done <- cmd.Wait() }()
	f.t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// addProxy starts a fault-injecting proxy in front of an address.
func (f *fleet) addProxy(name string, upstream netip.AddrPort) *faults.Proxy {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	p := faults.New(l, upstream)
	p.Run(f.ctx)
	f.proxies[name] = p
	return p
}

// eventually waits until a condition holds, and fails the test after
// waitTimeout.
func (f *fleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.dumpHosts()
			require.Fail(f.t, "condition did not become true in time", description)
		}
		time.Sleep(pollInterval)
	}
}

// awaitListening waits until a server accepts connections at an address.
func (f *fleet) awaitListening(address netip.AddrPort) {
	f.t.Helper()
	f.eventually("listening at "+address.String(), func() bool {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
}
