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

// arrival is a request at a scripted target.
type arrival struct {
	request fasthttp.Request
	conn    net.Conn
	number  int // of the requests at this target
}

func (a *arrival) header(name string) string { return string(a.request.Header.Peek(name)) }

// answer writes a whole answer with the mark of the target.
func (a *arrival) answer(status int, body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
		status, a.header("X-Attempt-Id"), len(body), body)
}

// begin writes the head of a stream.
func (a *arrival) begin() {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		a.header("X-Attempt-Id"))
}

func (a *arrival) chunk(text string) { fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(text), text) }

// events writes the events from one number to another.
func (a *arrival) events(from, to int) {
	for n := from; n <= to; n++ {
		a.chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", n, n))
	}
}

func (a *arrival) end() { a.chunk("") }

// wantEvents returns the events from 1 to a number.
func wantEvents(to int) string {
	var b bytes.Buffer
	for n := 1; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// scripted is a target whose answers a test scripts.
type scripted struct {
	id       string
	service  string
	address  netip.AddrPort
	listener net.Listener

	mu       sync.Mutex
	arrivals []*arrival
}

// newScripted starts a target. The script returns false to close the connection.
func newScripted(t testing.TB, id, service string, script func(a *arrival) bool) *scripted {
	t.Helper()
	l, address := listen(t)
	s := &scripted{id: id, service: service, address: address, listener: l}
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

func (s *scripted) serve(conn net.Conn, script func(a *arrival) bool) {
	defer conn.Close()
	rd := bufio.NewReader(conn)
	for {
		a := &arrival{conn: conn}
		if err := a.request.Read(rd); err != nil {
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		a.number = len(s.arrivals)
		s.mu.Unlock()
		if !script(a) {
			return
		}
	}
}

// seen returns the requests that arrived.
func (s *scripted) seen() []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*arrival(nil), s.arrivals...)
}

// got returns what comes on a channel. The test fails if nothing does.
func got[T any](t testing.TB, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(waitLimit):
		require.Fail(t, "nothing came")
	}
	return value
}

// closed returns whether the other side closes a connection within a time.
func closed(conn net.Conn, limit time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return true
	}
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// heldConn holds what is written.
type heldConn struct {
	net.Conn
	held bytes.Buffer
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) { return c.held.Write(p) }

// atOnce passes on all that a function writes in one piece.
func (a *arrival) atOnce(write func()) {
	conn := a.conn
	held := &heldConn{Conn: conn}
	a.conn = held
	write()
	a.conn = conn
	_, _ = conn.Write(held.held.Bytes())
}

// arrived waits until all that was written has arrived at the other side, or that has closed
// the connection. It returns false if neither happens.
func (a *arrival) arrived() bool {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if count, err := unacknowledged(a.conn); err == nil && count == 0 || link.ClosedByPeer(a.conn) {
			return true
		}
	}
	return false
}

// unacknowledged returns the number of bytes that were written on a connection and have not
// arrived at the other side yet, as far as is known here.
func unacknowledged(conn net.Conn) (int, error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	count := 0
	var asked error
	err = raw.Control(func(fd uintptr) { count, asked = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return count, errors.CombineErrors(err, asked)
}
