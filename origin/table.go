package origin

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxStreams bounds the streams that a Table remembers; the oldest ones are forgotten first.
const maxStreams = 1 << 15

// Key identifies a stream by a hash of its service, team and the attempt that brought its first event.
type Key uint64

// NewKey returns the key of a stream. A stream of another service or team has another key.
func NewKey(service, team, attempt string) Key {
	d := xxhash.New()
	for _, text := range []string{service, team, attempt} {
		_, _ = d.WriteString(text) // never returns an error
		_, _ = d.Write([]byte{0})
	}
	return Key(d.Sum64())
}

// String returns the key in hexadecimal.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Stream is a stream and the version that began it.
type Stream struct {
	Key     Key
	Service string
	Version string
}

// stream is a Stream in a Table.
type stream struct {
	Stream
	seen  time.Time // when the first event was passed on
	saved bool      // its row is in the store
	ended bool      // it ended whole, so that nobody takes it up
}

// Table remembers which version began the streams of this host within Window. It may be used by several goroutines
// at once.
type Table struct {
	mu      sync.Mutex
	streams map[Key]*stream
	order   []*stream // by seen
}

// NewTable returns a Table without streams.
func NewTable() *Table { return &Table{streams: map[Key]*stream{}} }

// Add records a stream whose first events are passed on. saved says that its row is in the store already. A
// stream that is known keeps its version.
func (t *Table) Add(now time.Time, s Stream, saved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if known := t.streams[s.Key]; known != nil {
		known.ended = false
		return
	}
	added := &stream{Stream: s, seen: now, saved: saved}
	t.streams[s.Key] = added
	t.order = append(t.order, added)
}

// expire drops streams that are older than Window, and the oldest ones if there are too many.
func (t *Table) expire(now time.Time) {
	count := 0
	for count < len(t.order) && (now.Sub(t.order[count].seen) > Window || len(t.order)-count >= maxStreams) {
		delete(t.streams, t.order[count].Key)
		count++
	}
	t.order = t.order[count:]
}

// Version returns the version that began a stream, and false if this host does not know it.
func (t *Table) Version(now time.Time, key Key) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.streams[key]
	if s == nil {
		return "", false
	}
	return s.Version, true
}

// End records that a stream ended whole.
func (t *Table) End(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.streams[key]; s != nil {
		s.ended = true
	}
}

// Batch is a set of changes to the rows of streams.
type Batch struct {
	Puts     []Stream
	Removals []Key
}

// Len returns the number of changes.
func (b *Batch) Len() int { return len(b.Puts) + len(b.Removals) }

// Pending returns at most limit changes that the store has not yet got: rows of streams of mixed services, the newest
// ones last, and removals of rows of streams that ended.
func (t *Table) Pending(now time.Time, limit int, mixed func(service string) bool) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var b Batch
	for _, s := range t.order {
		switch {
		case b.Len() == limit:
			return b
		case s.saved && s.ended:
			b.Removals = append(b.Removals, s.Key)
		case !s.saved && !s.ended && mixed(s.Service):
			b.Puts = append(b.Puts, s.Stream)
		}
	}
	return b
}

// Saved records that the store has got a batch.
func (t *Table) Saved(b Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, put := range b.Puts {
		if s := t.streams[put.Key]; s != nil {
			s.saved = true
		}
	}
	for _, key := range b.Removals {
		if s := t.streams[key]; s != nil {
			s.saved = false
		}
	}
}

// Forgotten records that the store may have lost rows, so that all are written again.
func (t *Table) Forgotten() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.order {
		s.saved = false
	}
}
