// Package logbook writes log lines without ever blocking the caller: lines are
// kept in a bounded buffer and written in batches. When the buffer is full, lines
// are dropped and counted; lines about failures are dropped last.
package logbook

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	bufferBytes  = 256 << 10
	reserveBytes = 64 << 10 // of the buffer, for lines above the level of information
	flushEvery   = 200 * time.Millisecond
)

// Book is a bounded buffer of log lines. It implements zerolog.LevelWriter.
type Book struct {
	out     io.Writer
	dropped atomic.Uint64
	told    uint64

	mu   sync.Mutex
	full []byte
}

// NewBook returns a Book that writes to out once Run is called.
func NewBook(out io.Writer) *Book { return &Book{out: out} }

// Write keeps a line. It implements io.Writer.
func (b *Book) Write(line []byte) (int, error) { return b.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel keeps a line of a level. It implements zerolog.LevelWriter.
func (b *Book) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	limit := bufferBytes
	if level <= zerolog.InfoLevel {
		limit -= reserveBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.full)+len(line) > limit {
		b.dropped.Add(1)
		return len(line), nil
	}
	b.full = append(b.full, line...)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *Book) Dropped() uint64 { return b.dropped.Load() }

// Run writes the lines in batches until the context ends, and reports its end on
// the channel once the last batch is written.
func (b *Book) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(flushEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- b.flush()
				return
			case <-ticker.C:
				if err := b.flush(); err != nil {
					b.dropped.Add(1)
				}
			}
		}
	}()
	return done
}

// flush writes what is kept, and a line that tells how many were dropped.
func (b *Book) flush() error {
	b.mu.Lock()
	batch := b.full
	b.full = nil
	b.mu.Unlock()
	if dropped := b.Dropped(); dropped > b.told {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"event\":\"lines-dropped\",\"count\":%d}\n", dropped-b.told)
		b.told = dropped
	}
	if len(batch) == 0 {
		return nil
	}
	_, err := b.out.Write(batch)
	return err
}
