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
	earlyBody      = 6 << 20                // exceeds the socket buffers between the gateway and a target that does not read
	earlyPiece     = 1 << 20                // bytes that the caller sends at once
	earlyWindow    = 256 << 10              // receive buffer of the target
	earlyPause     = 30 * time.Millisecond  // pause of the caller or the target between two steps
	earlySlack     = 500 * time.Millisecond // time beyond the deadline that an answer may take
	tcpEstablished = 1                      // TCP_ESTABLISHED of the kernel
)

// earlyTarget is a target that answers before it has read the body of the request.
type earlyTarget struct {
	*scriptedTarget
	mu    sync.Mutex
	sends map[string]int
}

// newEarlyTarget starts a target whose script is called with the head of a request and reads the body itself.
func newEarlyTarget(t *testing.T, id, service string, script func(a *arrival, body io.Reader) bool) *earlyTarget {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, earlyWindow) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	e := &earlyTarget{
		scriptedTarget: &scriptedTarget{id: id, service: service, address: l.Addr().(*net.TCPAddr).AddrPort(), listener: l},
		sends:          map[string]int{},
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

// serve runs the script for each request of a connection until it returns false.
func (e *earlyTarget) serve(conn net.Conn, script func(a *arrival, body io.Reader) bool) {
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
func (e *earlyTarget) sent(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sends[id]
}

// requestBody returns the body of the request with an ID.
func requestBody(id string) []byte {
	return bytes.Repeat([]byte(id+" body.. "), earlyBody/len(id+" body.. "))
}

// sendSlowly sends a request whose body is written in pieces, chunked or with a Content-Length, and
// reads the answer. It calls before ahead of the last piece.
func (w *testEnv) sendSlowly(c call, chunked bool, before func()) result {
	body := requestBody(c.id)
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	deadline := ""
	if c.deadline > 0 {
		deadline = fmt.Sprintf("X-Deadline-Ms: %d\r\n", c.deadline.Milliseconds())
	}
	conn := w.dial(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Key: key1\r\n%s%s\r\n\r\n", c.path, c.id, deadline, framing))
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
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

// earlyAnswers are scripts that answer while the body is being sent; served tells whether the caller
// gets the answer.
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
		a.allAcknowledged()
		a.reset()
		return false
	}, false},
	"half a head, closed after reading the body": {func(a *arrival, body io.Reader) bool {
		head, _ := a.sizedHead(0)
		a.write(head[:len(head)-2])
		_, _ = io.Copy(io.Discard, body)
		return false
	}, false},
	"half a refusal, closed after reading the body": {func(a *arrival, body io.Reader) bool {
		a.write("HTTP/1.1 503 X\r\nX-Attempt-Id: " + a.header("X-Attempt-Id") + "\r\n" + notRunHeader)
		_, _ = io.Copy(io.Discard, body)
		return false
	}, false},
	"head and half a body, closed after reading the body": {func(a *arrival, body io.Reader) bool {
		head, text := a.sizedHead(0)
		a.write(head + text[:len(text)/2])
		_, _ = io.Copy(io.Discard, body)
		return false
	}, false},
	"head in two parts": {func(a *arrival, body io.Reader) bool {
		head, text := a.sizedHead(0)
		a.write(head[:len(head)/2])
		time.Sleep(earlyPause)
		_, _ = io.Copy(io.Discard, body)
		a.write(head[len(head)/2:] + text)
		return true
	}, true},
	"complete answer before the body is read": {func(a *arrival, body io.Reader) bool {
		head, text := a.sizedHead(0)
		a.write(head + text)
		time.Sleep(earlyPause)
		sum, err := io.ReadAll(body)
		return err == nil && bytes.Equal(sum, requestBody(a.header("X-Attempt-Id")))
	}, true},
	"half a head, then silence": {func(a *arrival, _ io.Reader) bool {
		head, _ := a.sizedHead(0)
		a.write(head[:len(head)/2])
		for !peerClosed(a.conn) {
			time.Sleep(earlyPause)
		}
		return false
	}, false},
}

// peerClosed returns whether the peer closed a connection, without reading from it.
func peerClosed(conn net.Conn) bool {
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

// The head of an answer stops while the body of the request is being sent. No caller gets a part of an
// answer as a whole one, or waits past its deadline for a target that does not read on.
func TestTruncatedHeadDuringRequestBodyIsNotPassedOn(t *testing.T) {
	for name, c := range earlyAnswers {
		for _, path := range headPaths[:3] {
			t.Run(name+" "+path[1:len(path)-2], func(t *testing.T) {
				t.Parallel()
				a, b := newEarlyTarget(t, "a", "plain", c.script), newEarlyTarget(t, "b", "model", c.script)
				w := newTestEnvWith(t, keepKeysValid, a.scriptedTarget, b.scriptedTarget)
				deadline := time.Second
				if c.served {
					deadline = waitTimeout
				}
				for _, chunked := range []bool{false, true} {
					id := fmt.Sprintf("r%t", chunked)
					sent := func() int { return a.sent(id) + b.sent(id) }
					began := time.Now()
					r := w.sendSlowly(call{path: path, id: id, deadline: deadline}, chunked, func() {
						require.Zero(t, sent(), "the request was sent before its body was complete")
						began = time.Now()
					})
					took := time.Since(began)
					require.Less(t, took, deadline+earlySlack, "the caller waited past its deadline")
					require.LessOrEqual(t, sent(), 1)
					switch {
					case c.served:
						require.NoError(t, r.err)
						require.Equal(t, fasthttp.StatusOK, r.status, w.logs)
						require.Equal(t, wantBody(path, id), r.body)
					case r.err == nil && sent() > 0:
						require.Contains(t, []int{statusFailed, fasthttp.StatusGatewayTimeout}, r.status)
						require.Empty(t, r.header.Peek("X-Replica-Seal"))
					}
				}
			})
		}
	}
}
