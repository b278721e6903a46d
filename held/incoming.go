package held

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	callerFraction = 3.0 / 4 // of the budget, for bodies of callers; the rest is left for answers of requests that have run
	firstChunk     = 4 << 10 // bytes of the first buffer of a body whose length is not announced
	progressBytes  = 4 << 10 // a body makes progress when this many bytes of it have arrived
	// stallTime is the time without progress after which a body may be evicted. A caller that sends 8 KiB a second or
	// more is not evicted.
	stallTime = 500 * time.Millisecond
)

var (
	// ErrNoRoom means that the host can't hold a body of a caller beside those that it holds.
	ErrNoRoom = errors.New("no room for the body of the request")
	// ErrBodyTooLarge means that the body of a caller is larger than the limit.
	ErrBodyTooLarge = errors.New("body of the request is larger than the limit")
)

// Chunks are the bytes of a body, in the buffers in which they arrived, so that each byte is held once.
type Chunks [][]byte

// Len returns the number of bytes.
func (c Chunks) Len() int {
	size := 0
	for _, chunk := range c {
		size += len(chunk)
	}
	return size
}

// Incoming is the body of a caller's request. It is held from its arrival until no target needs it any more. All
// methods but those of the budget are called by one goroutine. A nil Incoming is an empty body.
type Incoming struct {
	budget     *Budget
	interrupt  func()       // makes the pending read of the body fail
	chunks     Chunks       // that have arrived
	bytes      int64        // that are counted; guarded by the lock of the budget
	complete   bool         // not to be evicted any more; guarded by the lock of the budget
	progress   atomic.Int64 // when bytes last arrived, in Unix nanoseconds
	unreported int          // bytes that have arrived since progress was set
	counted    bool         // bytes were counted at some time; until then the budget is not locked
	evicted    atomic.Bool
}

// NewIncoming returns an Incoming that holds nothing yet. interrupt makes a pending read of the body fail; it is called
// if the body is evicted.
func (b *Budget) NewIncoming(interrupt func()) *Incoming {
	i := &Incoming{budget: b, interrupt: interrupt}
	i.progress.Store(b.now().UnixNano())
	return i
}

// Chunks returns the bytes that have arrived.
func (i *Incoming) Chunks() Chunks {
	if i == nil {
		return nil
	}
	return i.chunks
}

// ReadAll reads a body to its end. length is the announced length, negative if there is none. The error is ErrNoRoom
// if the host can't hold the body, ErrBodyTooLarge if it has more than limit bytes, or that of the body.
func (i *Incoming) ReadAll(body io.Reader, length, limit int) error {
	if length > limit {
		return ErrBodyTooLarge
	}
	if length > FreeBytes && !i.budget.ensureRoom(i, int64(length-FreeBytes)) {
		return ErrNoRoom
	}
	end := length
	if length < 0 {
		end = limit + 1 // one byte more shows that the body is too large
	}
	err := i.readUntil(body, end, length >= 0)
	size := i.chunks.Len()
	switch {
	case i.evicted.Load():
		return ErrNoRoom
	case err != nil && !errors.Is(err, io.EOF):
		return err
	case size > limit:
		return ErrBodyTooLarge
	case size < length:
		return io.ErrUnexpectedEOF
	}
	return i.finish()
}

// readUntil reads a body to its end, or to a number of bytes. The error is io.EOF at the end. Buffers begin small and
// double, so that a body takes little more room than has arrived.
func (i *Incoming) readUntil(body io.Reader, end int, announced bool) error {
	next, size := firstChunk, 0
	if announced {
		next = FreeBytes
	}
	for size < end {
		next = min(next, end-size)
		if !i.resize(int64(size + next)) {
			return ErrNoRoom
		}
		chunk, err := i.fill(body, i.newChunk(next, end))
		if len(chunk) > 0 {
			i.chunks = append(i.chunks, chunk)
		}
		if err != nil {
			return err
		}
		if size = i.chunks.Len(); announced && end <= maxChunk {
			next = end - size // the rest of a short body comes in one buffer
		} else {
			next = min(2*next, maxChunk)
		}
	}
	return nil
}

// newChunk returns the buffer for the next bytes of a body. If they are the rest of a short body, they join those that
// have arrived, since a body in one piece costs less to pass on.
func (i *Incoming) newChunk(next, end int) []byte {
	if len(i.chunks) != 1 || len(i.chunks[0])+next != end || end > maxChunk {
		return make([]byte, 0, next)
	}
	whole := append(make([]byte, 0, end), i.chunks[0]...)
	i.chunks = i.chunks[:0]
	return whole
}

// fill reads until a buffer is full or the body ends.
func (i *Incoming) fill(body io.Reader, chunk []byte) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		i.observeProgress(n)
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

// observeProgress records that bytes have arrived.
func (i *Incoming) observeProgress(n int) {
	if i.unreported += n; i.unreported >= progressBytes {
		i.unreported = 0
		i.progress.Store(i.budget.now().UnixNano())
	}
}

// resize changes the bytes that the body holds. It returns false if the body is evicted or there is no room.
func (i *Incoming) resize(bytes int64) bool {
	if bytes <= FreeBytes && !i.counted {
		return true
	}
	i.counted = true
	b := i.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := max(0, bytes-FreeBytes) - i.bytes
	if i.evicted.Load() || !b.makeRoom(i, more) {
		return false
	}
	i.bytes += more
	b.used += more
	b.received += more
	b.bodies[i] = struct{}{}
	return true
}

// finish records that the body has arrived whole, so that it is not evicted any more. The error is ErrNoRoom if it
// was evicted before.
func (i *Incoming) finish() error {
	if !i.counted {
		return nil
	}
	i.budget.mu.Lock()
	defer i.budget.mu.Unlock()
	if i.evicted.Load() {
		return ErrNoRoom
	}
	i.complete = true
	return nil
}

// Join returns the body in one piece and counts copies of it, this one included, that are held at the same time. The
// error is ErrNoRoom if the host can't hold them.
func (i *Incoming) Join(copies int) ([]byte, error) {
	size := i.chunks.Len()
	if !i.resize(int64(copies * size)) {
		return nil, ErrNoRoom
	}
	if len(i.chunks) == 1 {
		return i.chunks[0], nil
	}
	whole := make([]byte, 0, size)
	for n, chunk := range i.chunks {
		whole = append(whole, chunk...)
		i.chunks[n] = nil // so that it can be collected while the rest is copied
	}
	i.chunks = Chunks{whole}
	return whole, nil
}

// Release gives back all bytes of the body. It may be called more than once.
func (i *Incoming) Release() {
	if i == nil || !i.counted {
		return
	}
	i.budget.mu.Lock()
	defer i.budget.mu.Unlock()
	i.budget.removeBody(i)
}

// ensureRoom returns whether a body can hold a number of bytes more at present. Others are evicted as far as that is
// needed.
func (b *Budget) ensureRoom(i *Incoming, more int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.makeRoom(i, more)
}

// makeRoom evicts stalled bodies, those without progress for the longest time first, and then answers that are not read,
// until a body can hold a number of bytes more. It returns false if that is not possible. The caller holds the lock.
func (b *Budget) makeRoom(i *Incoming, more int64) bool {
	limit := int64(callerFraction * float64(b.limit))
	if more <= 0 {
		return true
	}
	if i.bytes+more > limit {
		return false
	}
	for b.received+more > limit || b.used+more > b.limit {
		if !b.evictStalled(i) && !b.evictUnread(nil) {
			return false
		}
	}
	return true
}

// evictStalled evicts the body, other than one that is kept, that made no progress for the longest time. It returns
// false if none is stalled. The caller holds the lock.
func (b *Budget) evictStalled(kept *Incoming) bool {
	var victim *Incoming
	oldest := b.now().Add(-stallTime).UnixNano()
	for candidate := range b.bodies {
		at := candidate.progress.Load()
		if candidate != kept && !candidate.complete && at <= oldest {
			victim, oldest = candidate, at
		}
	}
	if victim == nil {
		return false
	}
	victim.evicted.Store(true)
	b.removeBody(victim)
	victim.interrupt()
	return true
}

// removeBody takes a body out. The caller holds the lock.
func (b *Budget) removeBody(i *Incoming) {
	b.used -= i.bytes
	b.received -= i.bytes
	i.bytes = 0
	delete(b.bodies, i)
}

// Received returns the bytes of bodies of callers that are held.
func (b *Budget) Received() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}
