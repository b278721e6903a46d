package link

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Body reads the body of a target's response and records whether it was complete.
type Body struct {
	line        *Conn
	src         io.Reader
	remaining   int           // bytes of Content-Length still to read; -1 if chunked, -2 if the body ends with the connection
	idleTimeout time.Duration // time limit of each read; 0 if the limit set on the connection covers the whole body

	complete bool // the body was read to its end
}

// NewBody returns the body of a response whose head was read by Receive.
func NewBody(l *Conn, response *fasthttp.Response) *Body {
	b := &Body{line: l, src: response.BodyStream(), remaining: response.Header.ContentLength()}
	if b.src == nil {
		b.remaining = 0
	}
	return b
}

// SetIdleTimeout gives each read of the body its own time limit, for bodies whose parts are forwarded
// as they arrive.
func (b *Body) SetIdleTimeout(limit time.Duration) { b.idleTimeout = limit }

// Complete reports whether the body was read to its end.
func (b *Body) Complete() bool { return b.complete }

// Framed reports whether the response is chunked or has a Content-Length, so
// that its end can be told from a broken connection.
func (b *Body) Framed() bool { return b.remaining != -2 }

// Read implements io.Reader. It returns io.EOF only at the end of the body;
// other errors are marked ErrSilent or ErrBroken. The connection of a body that
// failed or that is not framed can't be used again.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.read(p)
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

// read reads from the response and counts down the announced length.
func (b *Body) read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if b.idleTimeout > 0 {
		b.line.SetWait(b.idleTimeout)
	}
	n, err := b.src.Read(p)
	if b.remaining > 0 {
		b.remaining -= n
		if b.remaining == 0 {
			return n, io.EOF
		}
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && b.remaining < 0 {
		if b.remaining == -2 {
			b.line.unusable.Store(true)
		}
		return n, io.EOF
	}
	err = b.line.markReadError(err)
	b.line.unusable.Store(true)
	return n, err
}
