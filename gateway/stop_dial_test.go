package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/cassiachute/cassiachute/link"
)

// unresponsiveListener returns an address at which connections are neither accepted nor refused, because its
// accept queue is full.
func unresponsiveListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) }) // the test is over
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	for range 10 {
		conn, err := net.DialTimeout("tcp", address.String(), 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	require.Fail(t, "the listener accepts every connection")
	return address
}

// A request whose target was still being dialed at the end of a planned stop got no answer before the process
// ended.
func TestRequestIsAnsweredWhileTargetIsDialed(t *testing.T) {
	for _, path := range []string{"/order/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			service := "plain"
			if path == "/stream/x" {
				service = "model"
			}
			w := newTestEnvWith(t, withGrace(stopMargin+20*time.Millisecond), &scriptedTarget{id: "a", service: service, address: unresponsiveListener(t)})
			var callers []net.Conn // fewer than the target has slots; a single one might be answered by chance as the process ends
			for n := range 7 {
				callers = append(callers, w.dial(streamRequest(path, fmt.Sprint("r", n))))
			}
			time.Sleep(30 * time.Millisecond) // by now all requests wait for the connection, which can't be observed
			w.stop()
			w.timeToEnd()
			answered := 0
			for _, caller := range callers {
				if link.Readable(caller) {
					answered++
				}
			}
			require.Equal(t, len(callers), answered, "the process ended before all were answered")
			for _, caller := range callers {
				r := readResult(bufio.NewReader(caller))
				require.NoError(t, r.err)
				require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
			}
		})
	}
}
