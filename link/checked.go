package link

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// checkedConn is a connection of a client that checks the heads of the answers that it reads.
type checkedConn struct {
	net.Conn
	head headScanner // of the answer to the last request, or of an interim answer before it
}

// CheckAnswers returns a connection on which the heads of answers are checked as Conn.Receive checks them. A read that
// has an invalid head fails with ErrInvalidHead. It is for clients that read the whole answer before they write the next request.
func CheckAnswers(conn net.Conn) net.Conn { return &checkedConn{Conn: conn} }

// NewClient returns a client that checks the heads of answers, for calls with a timeout that need no Pool.
func NewClient() *fasthttp.Client {
	return &fasthttp.Client{DialTimeout: func(address string, limit time.Duration) (net.Conn, error) {
		conn, err := fasthttp.DialTimeout(address, limit)
		if err != nil {
			return nil, err
		}
		return CheckAnswers(conn), nil
	}}
}

// Write implements net.Conn. What is read after it is the head of an answer.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.head = headScanner{}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for text := p[:n]; len(text) > 0 && c.head.state != headEnded; {
		length, headErr := c.head.scan(text)
		if headErr != nil {
			return 0, headErr
		}
		if text = text[length:]; c.head.interim() {
			c.head = headScanner{}
		}
	}
	return n, err
}
