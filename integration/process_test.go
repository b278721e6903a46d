package integration_test

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/standin/faults"
)

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan error
	log  string
}

// freePort returns an address that nothing listens at and that is given out once.
func freePort(t testing.TB) netip.AddrPort {
	t.Helper()
	for {
		port := firstPort + lastPort.Add(1)
		require.Less(t, port, uint32(portLimit), "no free port")
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", address.String())
		if err == nil {
			l.Close()
			return address
		}
	}
}

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
