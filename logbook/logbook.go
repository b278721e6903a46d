// Package logbook writes log lines without ever blocking the caller: lines are
// kept in a bounded buffer and written in batches. When the buffer is full, lines
// are dropped and counted. Part of the buffer is reserved for lines above level
// info, so that lines about failures are dropped last.
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

// Events of the lines that a Writer adds itself, and keys of its counts of dropped
// lines.
const (
	eventField       = "event"
	eventDropped     = "lines-dropped"
	eventLostBatch   = "lines-lost" // a batch could not be written
	eventOther       = "other"      // all events beyond maxCountedEvents
	maxCountedEvents = 64           // events that have a count of their own
)

// dropReport is the log line that reports how many lines were dropped.
type dropReport struct {
	Level string            `json:"level"`
	Event string            `json:"event"`
	Count uint64            `json:"count"` // since the last such line
	Total map[string]uint64 `json:"total"` // since the start, by event
}

// lostBatchReport is the log line that reports that a batch could not be written.
type lostBatchReport struct {
	Level string `json:"level"`
	Event string `json:"event"`
	Error string `json:"error"`
}

// Limits of the buffer and of its writes.
const (
	maxBufferBytes = 256 << 10
	reserveBytes   = 64 << 10 // part of the buffer that is reserved for lines above level info
	flushInterval  = 200 * time.Millisecond

	// maxWriteBytes is the maximum size of one write, unless a single line is longer.
	// Log collectors split a write that is larger than a pipe takes at once.
	maxWriteBytes = 3000
)

// Writer is a bounded buffer of log lines. It implements zerolog.LevelWriter.
type Writer struct {
	out         io.Writer
	spareBuffer []byte // memory of the last batch, reused for the next one

	mu            sync.Mutex
	buffer        []byte
	dropped       map[string]uint64 // lines dropped since the start, by event
	reportedDrops uint64            // part of the dropped lines that earlier log lines reported
}

// NewWriter returns a Writer that writes to out once Run is called.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, dropped: map[string]uint64{}} }

// Write buffers a line of level info, or drops it if the buffer is full. It
// implements io.Writer.
func (b *Writer) Write(line []byte) (int, error) { return b.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel buffers a line, or drops it if the part of the buffer that its level may
// use is full. It implements zerolog.LevelWriter.
func (b *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	limit := maxBufferBytes
	if level <= zerolog.InfoLevel {
		limit -= reserveBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer)+len(line) > limit {
		b.countDropped(line)
		return len(line), nil
	}
	b.buffer = append(b.buffer, line...)
	return len(line), nil
}

// countDropped counts a dropped line under its event. The caller holds the lock.
func (b *Writer) countDropped(line []byte) {
	event := gjson.GetBytes(line, eventField).String()
	if _, known := b.dropped[event]; !known && len(b.dropped) >= maxCountedEvents {
		event = eventOther
	}
	b.dropped[event]++
}

// Dropped returns the number of lines dropped since the start, by event.
func (b *Writer) Dropped() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.dropped)
}

// Run starts to write the lines in batches until ctx is cancelled. The channel receives
// the result of writing the last batch.
func (b *Writer) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(flushInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- b.flush()
				return
			case <-ticker.C:
				if err := b.flush(); err != nil {
					b.recordLostBatch(err)
				}
			}
		}
	}()
	return done
}

// recordLostBatch counts a batch that could not be written, and buffers a line that
// reports it.
func (b *Writer) recordLostBatch(err error) {
	b.mu.Lock()
	b.dropped[eventLostBatch]++
	b.mu.Unlock()
	line, encodeErr := json.Marshal(lostBatchReport{Level: zerolog.LevelErrorValue, Event: eventLostBatch, Error: err.Error()})
	if encodeErr != nil {
		return // strings can always be encoded
	}
	_, _ = b.WriteLevel(zerolog.ErrorLevel, append(line, '\n')) // never fails
}

// flush writes the buffered lines, and a line that reports how many lines were dropped.
func (b *Writer) flush() error {
	batch := b.takeBatch()
	if len(batch) == 0 {
		return nil
	}
	defer func() { b.spareBuffer = batch[:0] }()
	for rest := batch; len(rest) > 0; {
		end := chunkEnd(rest)
		if _, err := b.out.Write(rest[:end]); err != nil {
			return err
		}
		rest = rest[end:]
	}
	return nil
}

// chunkEnd returns the end of the next write: as many whole lines as fit into
// maxWriteBytes, at least one.
func chunkEnd(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// takeBatch empties the buffer and returns its lines, with a line that reports newly
// dropped lines if there are any.
func (b *Writer) takeBatch() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.buffer
	b.buffer, b.spareBuffer = b.spareBuffer, nil
	total := uint64(0)
	for _, count := range b.dropped {
		total += count
	}
	if total == b.reportedDrops {
		return batch
	}
	line, err := json.Marshal(dropReport{
		Level: zerolog.LevelWarnValue, Event: eventDropped, Count: total - b.reportedDrops, Total: b.dropped,
	})
	if err != nil {
		return batch // numbers and strings can always be encoded
	}
	b.reportedDrops = total
	return append(append(batch, line...), '\n')
}
