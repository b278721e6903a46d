package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// childEnvVariable is set in a child process that runs the test again, so that it lowers the
// descriptor limit only of itself.
const childEnvVariable = "CASSIA_TEST_CHILD"

// leaveOneDescriptor lowers the descriptor limit so that this process can open only one more descriptor.
func leaveOneDescriptor(t *testing.T) {
	t.Helper()
	probe, err := os.Open(os.DevNull)
	require.NoError(t, err)
	nextDescriptor := uint64(probe.Fd())
	require.NoError(t, probe.Close())
	setLimit(t, nextDescriptor+1)
}

// setLimit sets the soft limit of file descriptors of this process, up to its hard limit.
func setLimit(t *testing.T, descriptors uint64) {
	t.Helper()
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	limit.Cur = min(descriptors, limit.Max)
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
}

// Refusing a request must need no descriptor but that of its connection. An overloaded host accepts a
// connection with its last file descriptor. It answers the request with 503, even if only a part of
// the request, or nothing, had arrived when it accepted the connection.
func TestRequestOnLastFileDescriptorIsAnswered(t *testing.T) {
	if os.Getenv(childEnvVariable) == "" {
		command := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
		command.Env = append(os.Environ(), childEnvVariable+"=1")
		out, err := command.CombinedOutput()
		require.NoError(t, err, string(out))
		return
	}
	const head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n"
	for _, c := range []struct {
		name, first, rest string // bytes sent before and after the gateway accepts the connection
		answers           int
	}{
		{"part of a head", head, "Content-Length: 0\r\n\r\n", 1},
		{"part of a body", head + "Content-Length: 4\r\n\r\nab", "cd", 1},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "", 1},
		{"whole", head + "Content-Length: 0\r\n\r\n", "", 1},
		{"nothing", "", head + "Content-Length: 0\r\n\r\n", 1},
	} {
		g := newIdleGateway(t)
		g.core.lag.ExpectTick(time.Now().Add(-time.Hour), time.Second) // a tick overdue by almost an hour: the host counts as overloaded and may refuse requests
		caller, err := net.Dial("tcp", g.settings.Listen.String())
		require.NoError(t, err)
		_, err = io.WriteString(caller, c.first)
		require.NoError(t, err)
		leaveOneDescriptor(t)
		accepted := make(chan bool, 1)
		go func() {
			if conn, err := g.listeners[0].Accept(); err == nil {
				accepted <- true
				_ = g.server.ServeConn(conn)
			}
		}()
		require.NoError(t, caller.SetReadDeadline(time.Now().Add(5*time.Second)))
		if c.rest != "" {
			select {
			case <-accepted:
			case <-time.After(5 * time.Second):
				require.Fail(t, "the gateway did not accept the connection", c.name)
			}
			_, err = io.WriteString(caller, c.rest)
			require.NoError(t, err, c.name)
		}
		reader := bufio.NewReader(caller)
		var answer fasthttp.Response
		require.NoError(t, answer.Read(reader), c.name)
		require.Equal(t, fasthttp.StatusServiceUnavailable, answer.StatusCode(), c.name)
		require.NotEmpty(t, answer.Header.Peek("Retry-After"), c.name)
		setLimit(t, 1024)
		require.NoError(t, caller.Close())
	}
}

// A connection accepted by tryAccept behaves like one that net.Listener accepts: it has addresses,
// supports deadlines, sends small writes without delay (TCP_NODELAY), and a pending read returns
// net.ErrClosed when the connection is closed.
func TestTryAcceptReturnsUsableConnection(t *testing.T) {
	listener, err := listenConfig.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	listenerConn, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	var accepted socket
	require.Eventually(t, func() (ok bool) {
		accepted, ok = tryAccept(listenerConn)
		return ok
	}, 10*time.Second, time.Millisecond)
	conn := accepted.netConn()
	require.NotNil(t, conn)
	require.Equal(t, listener.Addr(), conn.LocalAddr())
	require.Equal(t, caller.LocalAddr().String(), conn.RemoteAddr().String())
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var noDelay int
	require.NoError(t, rawConn.Control(func(fd uintptr) {
		noDelay, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	}))
	require.NoError(t, err)
	require.Equal(t, 1, noDelay)
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	time.AfterFunc(time.Millisecond, func() { conn.Close() })
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
}

// A shortage of descriptors makes every accept fail and must not flood the log: it is logged once when it
// begins and once when it ends.
func TestDescriptorShortageIsLoggedAtStartAndEnd(t *testing.T) {
	var out bytes.Buffer
	r := newRecorder(zerolog.New(&out), newMetrics(), &activityTimes{})
	for range 3 {
		r.acceptResult(nil)
		r.acceptResult(syscall.EMFILE)
		r.acceptResult(syscall.EMFILE)
	}
	r.acceptResult(nil)
	require.Equal(t, 3, strings.Count(out.String(), eventExhausted))
	require.Equal(t, 3, strings.Count(out.String(), eventAvailable))
}
