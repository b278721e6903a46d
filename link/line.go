// Package link holds the connections to targets and tells exactly what was
// handed to a target when something fails.
package link

import (
	"bufio"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/fault"
)

const (
	writeTimeout    = 5 * time.Second
	lineBufferBytes = 4 << 10
	readBufferBytes = 8 << 10 // also the most that the head of an answer may have
)

var (
	// ErrUnreached means that no connection could be made, so no byte was sent.
	ErrUnreached = errors.New("target not reached")
	// ErrSilent means that the target did not answer, or did not go on, in time.
	ErrSilent = errors.New("target silent")
	// ErrBroken means that the connection ended before the answer was complete.
	ErrBroken = errors.New("connection to target broken")
)

// Line is one connection to a target. It carries one exchange at a time.
type Line struct {
	conn  net.Conn
	rd    *bufio.Reader
	until time.Time            // end of the present wait, over all its reads
	more  func() time.Duration // asked when a wait is over
	heard bool                 // bytes came in the present wait
	late  bool                 // the last read ended with its wait
	wrote bool
	sends int // requests that were sent on it
	bad   bool
	since time.Time     // when it became idle
	keep  time.Duration // longest time that it may stay idle
}

// lineReader applies the end of the present wait.
type lineReader struct{ line *Line }

// Read implements io.Reader. A wait that is over goes on if the line is told so, without a byte
// lost.
func (r lineReader) Read(p []byte) (int, error) {
	l := r.line
	for {
		if err := l.conn.SetReadDeadline(l.until); err != nil {
			return 0, err
		}
		n, err := l.conn.Read(p)
		l.heard = l.heard || n > 0
		l.late = errors.Is(err, os.ErrDeadlineExceeded)
		if !l.late || l.more == nil {
			return n, err
		}
		longer := l.more()
		if longer <= 0 {
			return 0, err
		}
		l.SetWait(longer)
	}
}

// lineWriter notes that bytes were handed over.
type lineWriter struct{ line *Line }

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.line.wrote = true
	return w.line.conn.Write(p)
}

// Send writes a request. Wrote tells whether any byte was handed over.
func (l *Line) Send(request *fasthttp.Request) error {
	l.wrote = false
	l.sends++
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fault.Mark(err, ErrBroken)
	}
	wr := bufio.NewWriterSize(lineWriter{line: l}, lineBufferBytes)
	err := request.Write(wr)
	if err == nil {
		err = wr.Flush()
	}
	if err != nil {
		l.bad = true
		return fault.Mark(err, ErrBroken)
	}
	return nil
}

// Wrote returns whether a byte of the last request was handed to the target.
func (l *Line) Wrote() bool { return l.wrote }

// Used returns whether the line carried another request before the last one.
func (l *Line) Used() bool { return l.sends > 1 }

// Receive reads the head of the answer, which has to be whole within a time. The body is
// read from the response's body stream, each wait of it after SetWait.
func (l *Line) Receive(response *fasthttp.Response, limit time.Duration) error {
	l.SetWait(limit)
	response.StreamBody = true
	if err := response.ReadLimitBody(l.rd, 0); err != nil {
		return l.failed(err)
	}
	return nil
}

// failed marks the error of a read. Libraries put errors of their own in the place of one that
// says that time ran out.
func (l *Line) failed(err error) error {
	if l.late {
		return fault.Mark(err, ErrSilent)
	}
	l.bad = true
	return classify(err)
}

// timeout is an error that may say that time ran out. Those of net are, and
// those that fasthttp puts in their place.
type timeout interface {
	error
	Timeout() bool
}

func classify(err error) error {
	var t timeout
	if errors.As(err, &t) && t.Timeout() {
		return fault.Mark(err, ErrSilent)
	}
	return fault.Mark(err, ErrBroken)
}

// Close ends the connection, which cancels what runs on it.
func (l *Line) Close() {
	l.bad = true
	l.conn.Close()
}

// EndsWithin waits for the other side to close the connection, and returns false
// if it did not within a time.
func (l *Line) EndsWithin(limit time.Duration) bool {
	l.SetWait(limit)
	_, err := l.rd.Peek(1)
	return err != nil && !errors.Is(classify(err), ErrSilent)
}

// SendBytes writes a request that is encoded already, within a time. Wrote tells whether any
// byte was handed over. The error is marked ErrSilent if the target did not take all of it in
// that time.
func (l *Line) SendBytes(request []byte, limit time.Duration) error {
	l.wrote = false
	l.sends++
	if err := l.conn.SetWriteDeadline(time.Now().Add(min(limit, writeTimeout))); err != nil {
		return fault.Mark(err, ErrBroken)
	}
	if _, err := (lineWriter{line: l}).Write(request); err != nil {
		l.bad = true
		return classify(err)
	}
	return nil
}

// SetWait begins a wait: all reads until the next one take no longer together.
func (l *Line) SetWait(limit time.Duration) { l.until, l.heard = time.Now().Add(limit), false }

// SetMore sets what is asked when a wait is over: how much longer to wait, 0 to end it. Nil
// ends all waits in time.
func (l *Line) SetMore(more func() time.Duration) { l.more = more }

// stoodStill is the time after the end of a wait from which its process stood still.
const stoodStill = 50 * time.Millisecond

// Arrived returns whether bytes came that were not read, and none before them in the present wait. The
// end of the connection is no such byte.
func (l *Line) Arrived() bool { return !l.heard && l.unread() }

// Overslept returns whether the process stood still as the wait ended, and bytes came that were not read.
func (l *Line) Overslept() bool { return time.Since(l.until) > stoodStill && l.unread() }

func (l *Line) unread() bool { return Readable(l.conn) && !Gone(l.conn) }

// Begun returns whether something of an answer can be read, or its end.
func (l *Line) Begun() bool { return l.rd.Buffered() > 0 || Readable(l.conn) }

// Await waits for the first byte of an answer. The error is marked ErrSilent if
// none came in time, and the line may be awaited again; otherwise it is marked
// ErrBroken.
func (l *Line) Await(limit time.Duration) error {
	l.SetWait(limit)
	_, err := l.rd.Peek(1)
	if err == nil {
		return nil
	}
	return l.failed(err)
}

// Keep sets how long the line may stay idle before it is used again.
func (l *Line) Keep(limit time.Duration) { l.keep = limit }

// quiet returns whether nothing arrived on an idle connection, not even its end.
func (l *Line) quiet() bool { return l.rd.Buffered() == 0 && !Readable(l.conn) }
