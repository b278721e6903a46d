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

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan error
	log  string
}

// keptDir returns a new directory that is removed after a test that passed. That
// of a failed test stays, and its path is logged.
func keptDir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "cassia-"+strings.ReplaceAll(t.Name(), "/", "-")+"-")
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of the processes: %s", dir)
			return
		}
		require.NoError(t, os.RemoveAll(dir))
	})
	return dir
}

// dump makes the hosts of a test that fails write their state and the stacks of
// their goroutines to the files of their logs.
func (f *fleet) dump() {
	for _, h := range f.hosts {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+h.settings.Status.String()+"/status", time.Second)
		if err != nil {
			body = []byte(err.Error())
		}
		if err := os.WriteFile(h.log+".status", body, 0o600); err != nil {
			f.t.Log(err)
		}
		h.signal(syscall.SIGQUIT)
	}
	for _, h := range f.hosts {
		select {
		case err := <-h.done: // the stacks are written
			h.done <- err
		case <-time.After(dumpLimit):
		}
	}
}

// dumpLimit is the longest wait for the stacks of one host.
const dumpLimit = time.Second

// spawn starts a program whose log goes to a file.
func (f *fleet) spawn(name, program string, args ...string) *process {
	f.t.Helper()
	path := filepath.Join(f.dir, name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer out.Close()
	cmd := exec.Command(filepath.Join(programs, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(f.t, cmd.Start())
	p := &process{name: name, cmd: cmd, done: make(chan error, 1), log: path}
	go func() { p.done <- cmd.Wait() }()
	f.t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// link puts a proxy in front of an address.
func (f *fleet) link(name string, upstream netip.AddrPort) *faults.Proxy {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	p := faults.New(l, upstream)
	p.Run(f.ctx)
	f.links[name] = p
	return p
}

// eventually waits for a condition.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			f.dump()
			require.Fail(f.t, "condition did not come about", what)
		}
		time.Sleep(poll)
	}
}

func (f *fleet) listening(address netip.AddrPort) {
	f.t.Helper()
	f.eventually("listening at "+address.String(), func() bool {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
}
