//go:build review

package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

// Answer is what a client got.
type Answer struct {
	Status   int // 0 without an answer
	Header   http.Header
	Body     string
	Complete bool // the answer ended as its framing says
	Close    bool // the connection takes no further request
	Err      error
}

// Client is a connection of a client to a gateway.
type Client struct {
	Conn net.Conn
	rd   *bufio.Reader
}

// Dial connects a client to a gateway.
func Dial(g *Gateway) (*Client, error) {
	conn, err := net.DialTimeout("tcp", g.Listen.String(), time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, rd: bufio.NewReader(conn)}, nil
}

// RequestText returns a request.
func RequestText(method, path, id, lines, body string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s", method, path, Host,
		target.HeaderAttempt, id, target.HeaderDeadline, deadline.Milliseconds(), lines, len(body), body)
}

// Do sends a request and reads the answer.
func (c *Client) Do(text string, limit time.Duration) Answer {
	_ = c.Conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return Answer{Err: err}
	}
	return c.Read(limit)
}

// Read reads one answer.
func (c *Client) Read(limit time.Duration) Answer {
	_ = c.Conn.SetDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(c.rd, nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Complete: err == nil && framed, Close: response.Close, Err: err}
}

// Close closes the connection.
func (c *Client) Close() { _ = c.Conn.Close() }
