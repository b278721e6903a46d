package target

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/fault"
)

// SendBytes writes a request that is encoded already. Wrote tells whether any
// byte was handed over.
func (l *Line) SendBytes(request []byte) error {
	l.wrote = false
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fault.Mark(err, ErrBroken)
	}
	if _, err := (lineWriter{line: l}).Write(request); err != nil {
		l.bad = true
		return fault.Mark(err, ErrBroken)
	}
	return nil
}

// SetWait begins a wait: all reads until the next one take no longer together.
func (l *Line) SetWait(limit time.Duration) { l.until = time.Now().Add(limit) }

// Await waits for the first byte of an answer. The error is marked ErrSilent if
// none came in time, and the line may be awaited again; otherwise it is marked
// ErrBroken.
func (l *Line) Await(limit time.Duration) error {
	l.SetWait(limit)
	_, err := l.rd.Peek(1)
	if err == nil {
		return nil
	}
	err = classify(err)
	l.bad = !errors.Is(err, ErrSilent)
	return err
}

// Keep sets how long the line may stay idle before it is used again.
func (l *Line) Keep(limit time.Duration) { l.keep = limit }
