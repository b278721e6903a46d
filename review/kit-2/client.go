package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// result is what a client got for a request.
type result struct {
	id     string
	status int // 0 if the connection ended without an answer
	head   http.Header
	body   string
	err    error // the answer is not complete
	took   time.Duration
}

// request is a request of a client.
type request struct {
	method, path, id, key, body string
	deadline                    int
	extra                       string // further header lines, each with its end
	wait                        time.Duration
}

// text encodes the request.
func (q request) text() string {
	t := sprintf("%s %s HTTP/1.1\r\nHost: svc.example\r\n{attempt}: %s\r\n", q.method, q.path, q.id)
	if q.key != "" {
		t += "X-Key: " + q.key + "\r\n"
	}
	if q.deadline > 0 {
		t += sprintf("X-Deadline-Ms: %d\r\n", q.deadline)
	}
	t += q.extra
	if q.method != "GET" || q.body != "" {
		t += sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return t + "\r\n" + q.body
}

// do sends a request on a new connection.
func (q request) do(front string) result {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return result{id: q.id, err: err}
	}
	defer conn.Close()
	return q.on(conn, bufio.NewReader(conn))
}

// on sends a request on an open connection.
func (q request) on(conn net.Conn, reader *bufio.Reader) result {
	began := time.Now()
	wait := q.wait
	if wait == 0 {
		wait = 20 * time.Second
	}
	_ = conn.SetDeadline(began.Add(wait))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return result{id: q.id, err: err, took: time.Since(began)}
	}
	return read(reader, q, began)
}

// read reads the answer to a request.
func read(reader *bufio.Reader, q request, began time.Time) result {
	r := result{id: q.id}
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		r.err, r.took = err, time.Since(began)
		return r
	}
	body, err := io.ReadAll(response.Body)
	r.status, r.head, r.body, r.err, r.took = response.StatusCode, response.Header, string(body), err, time.Since(began)
	return r
}

// String formats a result for the record.
func (r result) String() string {
	return sprintf("answer id=%s status=%d took=%dms seal=%q retry-after=%q body=%.60q err=%v",
		r.id, r.status, r.took.Milliseconds(), r.head.Get(names["seal"]), r.head.Get("Retry-After"), r.body, r.err)
}
