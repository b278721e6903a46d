package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/cassiachute/cassiachute/link"
)

// arrival is a request that arrived at a scripted target.
type arrival struct {
	request fasthttp.Request
	conn    net.Conn
	number  int    // counts the requests at this target from 1
	id      string // of the request; unlike header, it may be read while the script runs
}

// header returns a header of the request.
func (a *arrival) header(name string) string { return string(a.request.Header.Peek(name)) }

// answer writes a complete answer with the ID of the request and the header that marks answers of a target.
func (a *arrival) answer(status int, body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
		status, a.header("X-Attempt-Id"), len(body), body)
}

// begin writes the head of a stream.
func (a *arrival) begin() {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		a.header("X-Attempt-Id"))
}

// chunk writes one chunk of the body.
func (a *arrival) chunk(text string) { fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(text), text) }

// events writes the events numbered from first to last, one chunk each.
func (a *arrival) events(first, last int) {
	for n := first; n <= last; n++ {
		a.chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", n, n))
	}
}

// end writes the last, empty chunk of the body.
func (a *arrival) end() { a.chunk("") }

// wantEvents returns the body of a stream with the events numbered from 1 to last.
func wantEvents(last int) string {
	var b bytes.Buffer
	for n := 1; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// scriptedTarget is a target whose answers are written by a function that the test provides.
type scriptedTarget struct {
	id       string
	service  string
	version  string // of its software, as its entry says; set before the entry is written
	address  netip.AddrPort
	listener net.Listener

	mu       sync.Mutex
	arrivals []*arrival
}

// newScriptedTarget starts a target that calls script for each request. The script returns false to close the
// connection.
func newScriptedTarget(t testing.TB, id, service string, script func(a *arrival) bool) *scriptedTarget {
	t.Helper()
	l, address := listen(t)
	s := &scriptedTarget{id: id, service: service, address: address, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, script)
		}
	}()
	return s
}

// serve calls the script for each request on a connection.
func (s *scriptedTarget) serve(conn net.Conn, script func(a *arrival) bool) {
	defer conn.Close()
	rd := bufio.NewReader(conn)
	for {
		a := &arrival{conn: conn}
		if err := a.request.Read(rd); err != nil {
			return
		}
		a.id = a.header("X-Attempt-Id")
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		a.number = len(s.arrivals)
		s.mu.Unlock()
		if !script(a) {
			return
		}
	}
}

// received returns the requests that have arrived so far.
func (s *scriptedTarget) received() []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*arrival(nil), s.arrivals...)
}

// receive returns the next value of a channel. The test fails if none comes within waitTimeout.
func receive[T any](t testing.TB, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(waitTimeout):
		require.Fail(t, "no value arrived in time")
	}
	return value
}

// closedWithin returns whether the other side closes a connection before a timeout.
func closedWithin(conn net.Conn, timeout time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return true
	}
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// bufferingConn buffers what is written instead of sending it.
type bufferingConn struct {
	net.Conn
	buffered bytes.Buffer
}

// Write implements net.Conn.
func (c *bufferingConn) Write(p []byte) (int, error) { return c.buffered.Write(p) }

// writeAtOnce runs a function and sends all that it writes to a.conn in a single write.
func (a *arrival) writeAtOnce(write func()) {
	conn := a.conn
	buffering := &bufferingConn{Conn: conn}
	a.conn = buffering
	write()
	a.conn = conn
	_, _ = conn.Write(buffering.buffered.Bytes())
}

// allAcknowledged waits until the other side has acknowledged all bytes or closed the connection. It returns
// false if neither happens within waitTimeout.
func (a *arrival) allAcknowledged() bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if count, err := unackedBytes(a.conn); err == nil && count == 0 || link.ClosedByPeer(a.conn) {
			return true
		}
	}
	return false
}

// unackedBytes returns the number of bytes written on a connection that the other side has not acknowledged.
func unackedBytes(conn net.Conn) (int, error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	count := 0
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { count, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return count, errors.CombineErrors(err, ioctlErr)
}
