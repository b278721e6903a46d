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
	requestBodyBytes   = 6 << 20                // body of a request; exceeds the socket buffers between the gateway and a target that does not read
	bodyPieceBytes     = 1 << 20                // part of the body that the caller writes at once
	receiveBufferBytes = 256 << 10              // receive buffer of the target's sockets
	stepPause          = 30 * time.Millisecond  // pause of the caller or the target between two steps
	deadlineSlack      = 500 * time.Millisecond // time after the deadline within which an answer still counts as in time
	tcpEstablished     = 1                      // TCP_ESTABLISHED of Linux, a state in TCP_INFO
)

// earlyTarget is a target that can answer before it has read the body of the request. It counts how often
// each request ID arrives.
type earlyTarget struct {
	*scriptedTarget
	mu    sync.Mutex
	sends map[string]int
}

// newEarlyTarget starts a target that reads only the head of a request before it runs the script. The
// script reads as much of the body as it needs, and returns whether the connection stays open.
func newEarlyTarget(t *testing.T, id, service string, script func(a *arrival, body io.Reader) bool) *earlyTarget {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	e := &earlyTarget{
		scriptedTarget: &scriptedTarget{id: id, service: service, address: listener.Addr().(*net.TCPAddr).AddrPort(), listener: listener},
		sends:          map[string]int{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, script)
		}
	}()
	return e
}

// serve runs the script for each request on a connection, until the script returns false.
func (e *earlyTarget) serve(conn net.Conn, script func(a *arrival, body io.Reader) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		a := &arrival{conn: conn}
		if err := a.request.Header.Read(reader); err != nil {
			return
		}
		e.mu.Lock()
		e.sends[a.header("X-Attempt-Id")]++
		e.mu.Unlock()
		if !script(a, io.LimitReader(reader, int64(a.request.Header.ContentLength()))) {
			return
		}
	}
}

// sent returns how often the request with an ID reached the target.
func (e *earlyTarget) sent(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sends[id]
}

// requestBody returns a large body that repeats the ID of its request.
func requestBody(id string) []byte {
	return bytes.Repeat([]byte(id+" body.. "), requestBodyBytes/len(id+" body.. "))
}

// sendSlowly sends a request whose body it writes in pieces, chunked or with a Content-Length, and reads
// the answer. It calls beforeLastPiece before it writes the last piece.
func (w *testEnv) sendSlowly(c call, chunked bool, beforeLastPiece func()) result {
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
		piece := body[:min(bodyPieceBytes, len(body))]
		if body = body[len(piece):]; len(body) == 0 {
			time.Sleep(stepPause)
			beforeLastPiece()
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

// earlyAnswers holds scripts that begin their answer while the body of the request is still being sent.
// served tells whether the answer is complete, so that the caller must get it.
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
		time.Sleep(stepPause)
		_, _ = io.Copy(io.Discard, body)
		a.write(head[len(head)/2:] + text)
		return true
	}, true},
	"complete answer before the body is read": {func(a *arrival, body io.Reader) bool {
		head, text := a.sizedHead(0)
		a.write(head + text)
		time.Sleep(stepPause)
		received, err := io.ReadAll(body)
		return err == nil && bytes.Equal(received, requestBody(a.header("X-Attempt-Id")))
	}, true},
	"half a head, then silence": {func(a *arrival, _ io.Reader) bool {
		head, _ := a.sizedHead(0)
		a.write(head[:len(head)/2])
		for !peerClosed(a.conn) {
			time.Sleep(stepPause)
		}
		return false
	}, false},
}

// peerClosed returns whether the other side closed a connection. It reads the TCP state from the kernel,
// so that the bytes that are still unread stay in the socket.
func peerClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr != nil || info.State != tcpEstablished
	})
	return err != nil || closed
}

// A target begins its answer, and may stop within the head, while the gateway still sends it the body of
// the request. The caller must not get a truncated answer as if it were complete, nor wait past its
// deadline for a target that no longer reads the body.
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
					elapsed := time.Since(began)
					require.Less(t, elapsed, deadline+deadlineSlack, "the caller waited past its deadline")
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
