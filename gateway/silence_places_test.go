package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/cassiachute/cassiachute/platform"
)

// A hedge is the second attempt of a request whose target is silent. However it ends, the slots at both targets
// must be free again: afterwards two targets with one slot each must serve two requests at the same time.
func TestSlotsAreReleasedAfterHedge(t *testing.T) {
	type answerScript func(a *arrival) bool
	silent := func(a *arrival) bool { a.begin(); a.events(1, 2); closedWithin(a.conn, waitTimeout); return false }
	resumesAfter := func(pause time.Duration) answerScript {
		return func(a *arrival) bool {
			a.begin()
			a.events(1, 2)
			time.Sleep(pause)
			a.events(3, 4)
			a.end()
			return true
		}
	}
	serves := func(a *arrival) bool { a.begin(); a.events(3, 4); a.end(); return true }
	hangs := func(a *arrival) bool { closedWithin(a.conn, waitTimeout); return false }
	rejects := func(a *arrival) bool {
		a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: " + a.header("X-Attempt-Id") + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	for name, c := range map[string]struct {
		first, second answerScript
		leaves        time.Duration // when the caller disconnects; 0: it stays
	}{
		"request moved to second target":         {silent, serves, 0},
		"first target resumes, second is silent": {resumesAfter(1560 * time.Millisecond), hangs, 0},
		"second target rejects":                  {resumesAfter(2 * time.Second), rejects, 0},
		"both targets silent":                    {silent, hangs, 0},
		"caller leaves just after the hedge":     {silent, hangs, 1570 * time.Millisecond},
		"caller leaves later":                    {silent, hangs, 1800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts, laterRequests atomic.Int32
			bothInUse := make(chan struct{})
			script := func(a *arrival) bool {
				if a.header("X-Attempt-Id") != "r1" {
					if laterRequests.Add(1) == 2 {
						close(bothInUse)
					}
					select {
					case <-bothInUse:
					case <-time.After(8 * time.Second):
					}
					a.begin()
					a.events(1, 4)
					a.end()
					return true
				}
				if attempts.Add(1) == 1 {
					return c.first(a)
				}
				return c.second(a)
			}
			w := newTestEnv(t, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
			w.configure(func(d *configDocument) { d.Services[1].Engine = &configEngine{Slots: 1, TokenCapacity: 100000} })
			w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
			conn := w.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Token-Count: 100,40\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n")
			if c.leaves > 0 {
				time.Sleep(c.leaves)
				conn.Close()
			} else {
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(8*time.Second)))
				rd := bufio.NewReader(conn)
				for {
					line, err := rd.ReadString('\n')
					if err != nil || strings.TrimSpace(line) == "0" {
						break
					}
				}
			}
			var wg sync.WaitGroup
			for i := range 2 {
				wg.Go(func() {
					for n := range 60 {
						r := w.do(call{path: "/once/x", key: "key1", id: fmt.Sprintf("p%d-%d", i, n)})
						if r.status == 200 && r.err == nil {
							return
						}
						time.Sleep(100 * time.Millisecond)
					}
					t.Error("request was not served")
				})
			}
			wg.Wait()
			require.GreaterOrEqual(t, laterRequests.Load(), int32(2))
			select {
			case <-bothInUse:
			default:
				t.Error("targets were never in use at the same time")
			}
		})
	}
}

// When a silent target resumes while the host still waits for a connection to a second one, which does not
// accept it, its events are passed on at once.
func TestEventsPassWhileSecondTargetIsDialed(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer unix.Close(fd)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(name.(*unix.SockaddrInet4).Port))
	for range 3 { // fills the accept queue
		conn, err := net.DialTimeout("tcp", address.String(), 50*time.Millisecond)
		if err == nil {
			defer conn.Close()
		}
	}
	wrote := make(chan time.Time, 1)
	first := newScriptedTarget(t, "a", "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 2)
		time.Sleep(1530 * time.Millisecond)
		wrote <- time.Now()
		a.events(3, 4)
		a.end()
		return true
	})
	w := newTestEnv(t, first)
	conn := w.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Token-Count: 100,40\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n")
	w.waitUntil(func() bool { return len(first.received()) == 1 })
	w.putRow(platform.TableTargets, "b", targetRow{Service: "model", Address: address.String(), Zone: "place1", Slots: 8, State: "ready"})
	rd := bufio.NewReader(conn)
	for {
		line, err := rd.ReadString('\n')
		require.NoError(t, err, w.logs)
		if strings.HasPrefix(line, "id: 3") {
			break
		}
	}
	delay := time.Since(receive(t, wrote))
	t.Log("delay of event 3:", delay)
	require.Less(t, delay, 100*time.Millisecond)
}
