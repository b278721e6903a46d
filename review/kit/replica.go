//go:build review

package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiachute/cassiachute/standin/operator"
	"github.com/cassiachute/cassiachute/standin/target"
)

// Replica is a stand-in of a replica whose answers a case writes itself.
type Replica struct {
	ID      string
	Service string

	world    *World
	listener net.Listener
	runs     atomic.Int64
	handle   func(c *Call) bool
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// entryLifetime is the time after which the entry of a silent replica is removed: three heartbeats.
const entryLifetime = 3600 * time.Millisecond

// Call is one request at a replica.
type Call struct {
	Replica *Replica
	Conn    net.Conn
	Request *http.Request
	Body    []byte
	ID      string // id of the attempt
	Number  int    // of the request on its connection, from 1
}

// StartReplica starts a replica and registers it. handle answers a request and returns whether the
// connection stays open.
func (w *World) StartReplica(id, service string, slots int, handle func(c *Call) bool) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, Service: service, world: w, listener: l, handle: handle, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, operator.PutEntry(w.Store, id, operator.Entry{
		Service: service, Address: l.Addr().String(), Place: "zone-1", Slots: slots, State: operator.StateReady, StartedAt: time.Now().UnixMilli(),
	})
}

func (r *Replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Replica) serve(conn net.Conn) {
	r.track(conn, true)
	defer r.track(conn, false)
	defer conn.Close()
	rd := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c := &Call{Replica: r, Conn: conn, Request: request, Body: body, ID: request.Header.Get(target.HeaderAttempt), Number: number}
		if want := request.Header.Get(Headers.Expected); want != r.ID {
			r.world.Record.Add("replica %s: 421 for %s, which names %s", r.ID, c.ID, want)
			c.Write("HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: " + r.ID + "\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		r.runs.Add(1)
		if !r.handle(c) {
			return
		}
	}
}

// Write writes a part of the answer.
func (c *Call) Write(text string) bool {
	_, err := c.Conn.Write([]byte(text))
	return err == nil
}

// LastEvent returns the number of the last event that the caller of a resumed stream has, 0 for a new stream.
func (c *Call) LastEvent() int {
	last, _ := strconv.Atoi(c.Request.Header.Get("Last-Event-Id")) // 0 without the header
	return last
}

// Head returns the status line and headers of an answer with more header lines.
func (c *Call) Head(status int, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%s\r\n", status, http.StatusText(status),
		target.HeaderAttempt, c.ID, target.HeaderSeal, "seal-"+c.ID, lines)
}

// BeginStream writes the head of a stream in chunks.
func (c *Call) BeginStream() bool {
	return c.Write(c.Head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
}

// BeginUnframedStream writes the head of a stream that has neither a length nor chunks and ends with its connection.
func (c *Call) BeginUnframedStream() bool {
	return c.Write(c.Head(200, "Content-Type: text/event-stream\r\nConnection: close\r\n"))
}

// Chunk writes a chunk.
func (c *Call) Chunk(text string) bool {
	return c.Write(strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n")
}

// Event returns an event of a stream.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// Crash resets all connections of the replica and stops accepting, as the end of its process does. Its entry in the
// store goes after three heartbeats.
func (r *Replica) Crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	time.AfterFunc(entryLifetime, func() { operator.DeleteEntry(r.world.Store, r.ID) })
}

// Runs returns the number of requests that the replica has run.
func (r *Replica) Runs() int64 { return r.runs.Load() }

// track adds a connection, or removes it.
func (r *Replica) track(conn net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[conn] = struct{}{}
		return
	}
	delete(r.conns, conn)
}
