package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a replica, with the connection to answer on.
type arrival struct {
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
	body    []byte
	id      string
	at      time.Time
	onConn  int // number of the request on its connection
}

// replica is a stand-in for a server of a service.
type replica struct {
	id, service, zone string
	address           string
	born              int64
	state             string
	listener          net.Listener
	handle            func(a *arrival) bool // answers; returns false to close the connection

	mu       sync.Mutex
	arrivals []*arrival
	conns    map[net.Conn]bool
	beats    int
	stop     chan struct{}
}

// newReplica starts a replica that registers itself in the store.
func newReplica(s *store, id, service, zone, listen string, handle func(a *arrival) bool) *replica {
	l, err := net.Listen("tcp", listen)
	must(err)
	r := &replica{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), state: "ready",
		listener: l, handle: handle, conns: map[net.Conn]bool{}, stop: make(chan struct{}),
	}
	go r.serve()
	go r.beat(s)
	return r
}

// entry is the entry of a replica in the store.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slotsOf(r.service), "state": r.state,
		"coldRemainingMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": r.beats, "born": r.born,
	}
}

// beat writes the entry of the replica every 1.2 s.
func (r *replica) beat(s *store) {
	for {
		s.put("servers", r.id, r.entry())
		select {
		case <-r.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (r *replica) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go func() {
			defer func() {
				_ = conn.Close()
				r.mu.Lock()
				delete(r.conns, conn)
				r.mu.Unlock()
			}()
			reader := bufio.NewReader(conn)
			for n := 1; ; n++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				body, err := io.ReadAll(request.Body)
				if err != nil {
					return
				}
				a := &arrival{conn: conn, reader: reader, request: request, body: body, id: request.Header.Get(names["attempt"]), at: time.Now(), onConn: n}
				if expect := request.Header.Get(names["expect"]); expect != "" && expect != r.id {
					fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n{attempt}: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", a.id, r.id)
					continue
				}
				r.mu.Lock()
				r.arrivals = append(r.arrivals, a)
				r.mu.Unlock()
				if !r.handle(a) {
					return
				}
			}
		}()
	}
}

// list returns the requests that arrived so far.
func (r *replica) list() []*arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*arrival{}, r.arrivals...)
}

// seal returns the signature of an answer.
func (a *arrival) seal() string { return sealOf(a.id) }

// sealOf returns the signature of an answer to a request.
func sealOf(id string) string { return "3e1b." + id }

// whole answers with a body and its length.
func (a *arrival) whole(status int, body string) bool {
	_, err := fprintf(a.conn, "HTTP/1.1 %d X\r\n{attempt}: %s\r\n{seal}: %s\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n%s",
		status, a.id, a.seal(), len(body), body)
	return err == nil
}

// beginStream writes the head of a chunked event stream.
func (a *arrival) beginStream() {
	fprintf(a.conn, "HTTP/1.1 200 OK\r\n{attempt}: %s\r\n{seal}: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.id, a.seal())
}

// event writes one event of a chunked stream.
func (a *arrival) event(n int) error {
	text := sprintf("id: %d\ndata: %s-%d\n\n", n, a.id, n)
	_, err := fprintf(a.conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

// endStream ends a chunked stream.
func (a *arrival) endStream() { fmt.Fprint(a.conn, "0\r\n\r\n") }

// slotsOf returns how many requests a replica of a service runs at once.
func slotsOf(service string) int {
	if service == "desk" {
		return 6
	}
	return 128
}
