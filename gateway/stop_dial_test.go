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

// silentListener returns an address where connections are neither accepted nor refused.
func silentListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) }) // nothing is left to do for it
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
	require.Fail(t, "all connections are taken")
	return address
}

// A request for which a target was being connected to at the end of the work had no answer when the process ended.
func TestRequestIsAnsweredWhileItsTargetIsConnectedTo(t *testing.T) {
	for _, path := range []string{"/order/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			service := "plain"
			if path == "/stream/x" {
				service = "model"
			}
			w := newTestEnvWith(t, graceOf(cutMargin+20*time.Millisecond), &scripted{id: "a", service: service, address: silentListener(t)})
			var callers []net.Conn // fewer than the target has places; one alone may be answered in the moment of the end
			for n := range 7 {
				callers = append(callers, w.dial(streamRequest(path, fmt.Sprint("r", n))))
			}
			time.Sleep(30 * time.Millisecond) // they wait for the connection, which nothing tells
			w.stop()
			w.ended()
			early := 0
			for _, caller := range callers {
				if link.Readable(caller) {
					early++
				}
			}
			require.Equal(t, len(callers), early, "the process ended before it answered")
			for _, caller := range callers {
				r := readResult(bufio.NewReader(caller))
				require.NoError(t, r.err)
				require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
			}
		})
	}
}
