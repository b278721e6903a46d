package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	earlyBody      = 6 << 20 // more than the buffers between a host and a target that does not read take
	earlyPiece     = 1 << 20
	earlyWindow    = 256 << 10
	earlyPause     = 30 * time.Millisecond
	earlySlack     = 500 * time.Millisecond
	tcpEstablished = 1 // state of a connection
)

// early is a target that answers before it has read the body of the request.
type early struct {
	*scripted
	mu    sync.Mutex
	sends map[string]int
}

// newEarly starts a target whose script has the head of a request, and reads its body itself.
func newEarly(t *testing.T, id, service string, script func(a *arrival, body io.Reader) bool) *early {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, earlyWindow) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	e := &early{
		scripted: &scripted{id: id, service: service, address: l.Addr().(*net.TCPAddr).AddrPort(), listener: l},
		sends:    map[string]int{},
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, script)
		}
	}()
	return e
}

func (e *early) serve(conn net.Conn, script func(a *arrival, body io.Reader) bool) {
	defer conn.Close()
	rd := bufio.NewReader(conn)
	for {
		a := &arrival{conn: conn}
		if err := a.request.Header.Read(rd); err != nil {
			return
		}
		e.mu.Lock()
		e.sends[a.header("X-Attempt-Id")]++
		e.mu.Unlock()
		if !script(a, io.LimitReader(rd, int64(a.request.Header.ContentLength()))) {
			return
		}
	}
}

// sent returns how often a request reached the target.
func (e *early) sent(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sends[id]
}

// bodyOf returns the body of a request with an id.
func bodyOf(id string) []byte {
	return bytes.Repeat([]byte(id+" body.. "), earlyBody/len(id+" body.. "))
}

// sendSlowly sends a request whose body comes piece by piece, in chunks or with its length, and
// reads the answer. Before the last piece, it calls a function.
func (w *testEnv) sendSlowly(c call, chunked bool, before func()) result {
	body := bodyOf(c.id)
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	deadline := ""
	if c.deadline > 0 {
		deadline = fmt.Sprintf("X-Deadline-Ms: %d\r\n", c.deadline.Milliseconds())
	}
	conn := w.dial(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Key: key1\r\n%s%s\r\n\r\n", c.path, c.id, deadline, framing))
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		return result{err: err}
	}
	for len(body) > 0 {
		piece := body[:min(earlyPiece, len(body))]
		if body = body[len(piece):]; len(body) == 0 {
			time.Sleep(earlyPause)
			before()
		}
		text := piece
		if chunked {
			text = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(text); err != nil {
			return result{err: err}
		}
	}
	if chunked {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return result{err: err}
		}
	}
	return readResult(bufio.NewReaderSize(conn, maxResponseHead))
}

// earlyAnswers are what a target does while the body is on its way, and whether the caller is served.
var earlyAnswers = map[string]struct {
	script func(a *arrival, body io.Reader) bool
	served bool
}{
	"half a head, closed": {func(a *arrival, _ io.Reader) bool {
		head, _ := a.sizedHead(0)
		a.write(head[:len(head)/2])
		return false
	}, false},
	"half a head, reset": {func(a *arrival, _ io.Reader) bool {
		head, _ := a.sizedHead(0)
		a.write(head[:len(head)/2])
		a.arrived()
		a.reset()
		return false
	}, false},
	"half a head, the body read, closed": {func(a *arrival, body io.Reader) bool {
		head, _ := a.sizedHead(0)
		a.write(head[:len(head)-2])
		_, _ = io.Copy(io.Discard, body)
		return false
	}, false},
	"half a refusal, the body read, closed": {func(a *arrival, body io.Reader) bool {
		a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: " + a.header("X-Attempt-Id") + "\r\n" + notRun)
		_, _ = io.Copy(io.Discard, body)
		return false
	}, false},
	"head and half a body, closed": {func(a *arrival, body io.Reader) bool {
		head, text := a.sizedHead(0)
		a.write(head + text[:len(text)/2])
		_, _ = io.Copy(io.Discard, body)
		return false
	}, false},
	"half a head, goes on": {func(a *arrival, body io.Reader) bool {
		head, text := a.sizedHead(0)
		a.write(head[:len(head)/2])
		time.Sleep(earlyPause)
		_, _ = io.Copy(io.Discard, body)
		a.write(head[len(head)/2:] + text)
		return true
	}, true},
	"whole answer, the body read later": {func(a *arrival, body io.Reader) bool {
		head, text := a.sizedHead(0)
		a.write(head + text)
		time.Sleep(earlyPause)
		sum, err := io.ReadAll(body)
		return err == nil && bytes.Equal(sum, bodyOf(a.header("X-Attempt-Id")))
	}, true},
	"half a head, then nothing": {func(a *arrival, _ io.Reader) bool {
		head, _ := a.sizedHead(0)
		a.write(head[:len(head)/2])
		for !unreadEnd(a.conn) {
			time.Sleep(earlyPause)
		}
		return false
	}, false},
}

// unreadEnd returns whether the other side ended a connection of which nothing is read.
func unreadEnd(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = infoErr != nil || info.State != tcpEstablished
	})
	return err != nil || ended
}

// MIXED, CONFIG: a head stops while the body of the request is on its way. No caller gets a part of an
// answer as a whole, or waits past its deadline for a target that reads no more.
func TestHeadThatStopsBeforeTheBodyCame(t *testing.T) {
	for name, c := range earlyAnswers {
		for _, path := range routesOfHeads[:3] {
			t.Run(name+" "+path[1:len(path)-2], func(t *testing.T) {
				t.Parallel()
				a, b := newEarly(t, "a", "plain", c.script), newEarly(t, "b", "model", c.script)
				w := newTestEnvWith(t, keepKeysValid, a.scripted, b.scripted)
				deadline := time.Second
				if c.served {
					deadline = waitLimit
				}
				for _, chunked := range []bool{false, true} {
					id := fmt.Sprintf("r%t", chunked)
					sent := func() int { return a.sent(id) + b.sent(id) }
					began := time.Now()
					r := w.sendSlowly(call{path: path, id: id, deadline: deadline}, chunked, func() {
						require.Zero(t, sent(), "the body is not whole")
						began = time.Now()
					})
					took := time.Since(began)
					require.Less(t, took, deadline+earlySlack, "the caller waits no longer")
					require.LessOrEqual(t, sent(), 1)
					switch {
					case c.served:
						require.NoError(t, r.err)
						require.Equal(t, fasthttp.StatusOK, r.status, w.logs)
						require.Equal(t, wantWhole(path, id), r.body)
					case r.err == nil && sent() > 0:
						require.Contains(t, []int{failed, fasthttp.StatusGatewayTimeout}, r.status)
						require.Empty(t, r.header.Peek("X-Replica-Seal"))
					}
				}
			})
		}
	}
}
