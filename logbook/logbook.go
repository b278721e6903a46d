// Package logbook writes log lines without ever blocking the caller: lines are
// kept in a bounded buffer and written in batches. When the buffer is full, lines
// are dropped and counted; lines about failures are dropped last.
package logbook

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"
)

// Names of the lines that a Book writes itself, and of its counts.
const (
	eventField   = "event"
	eventDropped = "lines-dropped"
	lostBatch    = "lines-lost" // a batch could not be written
	otherEvents  = "other"
	maxEvents    = 64 // that are counted apart
)

// droppedLine tells how many lines were dropped.
type droppedLine struct {
	Level string            `json:"level"`
	Event string            `json:"event"`
	Count uint64            `json:"count"` // since the last such line
	Total map[string]uint64 `json:"total"` // since the start, by event
}

// lostLine tells that a batch could not be written.
type lostLine struct {
	Level string `json:"level"`
	Event string `json:"event"`
	Error string `json:"error"`
}

const (
	bufferBytes  = 256 << 10
	reserveBytes = 64 << 10 // of the buffer, for lines above the level of information
	flushEvery   = 200 * time.Millisecond
	pieceBytes   = 3000 // most of one write, unless a line is longer: collectors cut what is larger than a pipe takes at once
)

// Book is a bounded buffer of log lines. It implements zerolog.LevelWriter.
type Book struct {
	out   io.Writer
	spare []byte // of the last batch

	mu      sync.Mutex
	full    []byte
	dropped map[string]uint64 // lines dropped since the start, by event
	told    uint64            // of these, lines that were told of
}

// NewBook returns a Book that writes to out once Run is called.
func NewBook(out io.Writer) *Book { return &Book{out: out, dropped: map[string]uint64{}} }

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
		b.drop(line)
		return len(line), nil
	}
	b.full = append(b.full, line...)
	return len(line), nil
}

// drop counts a line that is dropped. The caller holds the lock.
func (b *Book) drop(line []byte) {
	event := gjson.GetBytes(line, eventField).String()
	if _, known := b.dropped[event]; !known && len(b.dropped) >= maxEvents {
		event = otherEvents
	}
	b.dropped[event]++
}

// Dropped returns the numbers of lines that were dropped, by event.
func (b *Book) Dropped() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.dropped)
}

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
					b.lost(err)
				}
			}
		}
	}()
	return done
}

// lost counts a batch that could not be written, and keeps a line about it.
func (b *Book) lost(err error) {
	b.mu.Lock()
	b.dropped[lostBatch]++
	b.mu.Unlock()
	line, encodeErr := json.Marshal(lostLine{Level: zerolog.LevelErrorValue, Event: lostBatch, Error: err.Error()})
	if encodeErr != nil {
		return // strings are always encoded
	}
	_, _ = b.WriteLevel(zerolog.ErrorLevel, append(line, '\n')) // never fails
}

// flush writes what is kept, and a line that tells how many lines were dropped.
func (b *Book) flush() error {
	batch := b.take()
	if len(batch) == 0 {
		return nil
	}
	defer func() { b.spare = batch[:0] }()
	for rest := batch; len(rest) > 0; {
		end := pieceEnd(rest)
		if _, err := b.out.Write(rest[:end]); err != nil {
			return err
		}
		rest = rest[end:]
	}
	return nil
}

// pieceEnd returns the end of the whole lines that are written at once.
func pieceEnd(lines []byte) int {
	if len(lines) <= pieceBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:pieceBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// take returns what is to be written.
func (b *Book) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.full
	b.full, b.spare = b.spare, nil
	total := uint64(0)
	for _, count := range b.dropped {
		total += count
	}
	if total == b.told {
		return batch
	}
	line, err := json.Marshal(droppedLine{
		Level: zerolog.LevelWarnValue, Event: eventDropped, Count: total - b.told, Total: b.dropped,
	})
	if err != nil {
		return batch // numbers and strings are always encoded
	}
	b.told = total
	return append(append(batch, line...), '\n')
}
