// Package held bounds the bytes that a host holds together: answers, since targets may send without end, and bodies of
// requests and connections, since callers may send as they like.
//
// Each answer or body counts beyond a first part, which is what those of the usual size need. If all of them hold too
// many bytes, bodies that make no progress are evicted first. If that is not enough, a body that grows is refused. For
// an answer that grows, the largest answer of the target whose answers hold most is given up, so that a flood of one
// target does not end the answers of others.
package held

import (
	"bytes"
	"io"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// FreeBytes of each answer and of each body are not counted.
	FreeBytes = 16 << 10

	minChunk       = 512       // bytes of the first buffer of an answer
	maxChunk       = 256 << 10 // bytes of a buffer of an answer; each is twice as large as the one before
	memoryFraction = 1.0 / 8   // of the memory of the host, for all bytes that are counted
	defaultMemory  = 256       // MiB of memory, if it is not known
	mebibyte       = 1 << 20

	// unreadTime is the time after which the answer of a caller that takes nothing of it may be given up. The server
	// reads 4 KiB or more at once, so a caller that takes 1 KiB a second is not affected.
	unreadTime = 5 * time.Second
)

// ErrTooLarge means that an answer is larger than the host can hold.
var ErrTooLarge = errors.New("answer is larger than this host can hold")

// Budget counts the bytes that are held. It may be used by several goroutines at once.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	used    int64                // counted bytes of answers and bodies
	answers map[*Answer]struct{} // that hold counted bytes

	received int64                  // counted bytes of bodies
	bodies   map[*Incoming]struct{} // of callers, that hold counted bytes
	now      func() time.Time
}

// Answer is an answer of a target that holds bytes.
type Answer struct {
	budget  *Budget
	target  string
	bytes   int64       // that are counted
	give    func()      // closes the connection to the target; nil once the answer is complete
	givenUp atomic.Bool // the answer was given up for others

	drop   func()       // closes the connection of the caller that reads the answer; nil before it is passed on
	readAt atomic.Int64 // when the caller last took a part of it, in Unix nanoseconds
}

// NewBudget returns the Budget of a host with some memory in MiB, 0 if it is not known.
func NewBudget(memory float64) *Budget {
	b := &Budget{answers: map[*Answer]struct{}{}, bodies: map[*Incoming]struct{}{}, now: time.Now}
	b.SetMemory(memory)
	return b
}

// SetMemory sets the memory of the host in MiB, 0 if it is not known.
func (b *Budget) SetMemory(memory float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = int64(memoryBytes(memory) * memoryFraction)
}

// memoryBytes returns the memory of a host in bytes. memory is in MiB, 0 if it is not known.
func memoryBytes(memory float64) float64 {
	if memory <= 0 {
		memory = defaultMemory
	}
	return min(math.MaxInt32, max(1, memory)) * mebibyte
}

// Used returns the bytes that are held, and how many may be.
func (b *Budget) Used() (used, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit
}

// NewAnswer returns an Answer of a target that holds nothing yet. giveUp closes the connection to the target.
func (b *Budget) NewAnswer(target string, giveUp func()) *Answer {
	return &Answer{budget: b, target: target, give: giveUp}
}

// GivenUp reports whether the answer was given up for others.
func (a *Answer) GivenUp() bool { return a.givenUp.Load() }

// Resize changes the bytes that the answer holds. It returns false if the answer is given up, now or before.
func (a *Answer) Resize(bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.givenUp.Load() {
		return false
	}
	counted := max(0, bytes-FreeBytes)
	b.used += counted - a.bytes
	a.bytes = counted
	if counted > 0 {
		b.answers[a] = struct{}{}
	}
	for b.used > b.limit {
		if b.evictStalled(nil) || b.evictUnread(a) {
			continue
		}
		victim := b.victim()
		if victim == nil || victim == a {
			b.remove(a)
			return false
		}
		victim.givenUp.Store(true)
		victim.give()
		b.remove(victim)
	}
	return true
}

// Complete records that the answer is complete, so that it is not given up any more.
func (a *Answer) Complete() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.give = nil
}

// Release gives back all bytes of the answer.
func (a *Answer) Release() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.remove(a)
}

// remove takes an answer out. The caller holds the lock.
func (b *Budget) remove(a *Answer) {
	b.used -= a.bytes
	a.bytes = 0
	delete(b.answers, a)
}

// evictUnread gives up the complete answer, other than one that is kept, whose caller took nothing of it for the
// longest time, at least unreadTime. It returns false if there is none. The caller holds the lock.
func (b *Budget) evictUnread(kept *Answer) bool {
	var victim *Answer
	oldest := b.now().Add(-unreadTime).UnixNano()
	for candidate := range b.answers {
		if at := candidate.readAt.Load(); candidate != kept && candidate.drop != nil && at <= oldest {
			victim, oldest = candidate, at
		}
	}
	if victim == nil {
		return false
	}
	victim.givenUp.Store(true)
	b.remove(victim)
	victim.drop()
	return true
}

// victim returns the answer to give up: of those that are not complete, the largest of the target that holds
// most. The caller holds the lock.
func (b *Budget) victim() *Answer {
	totals := map[string]int64{}
	for candidate := range b.answers {
		totals[candidate.target] += candidate.bytes
	}
	var victim *Answer
	for candidate := range b.answers {
		switch {
		case candidate.give == nil:
		case victim == nil || totals[candidate.target] > totals[victim.target]:
			victim = candidate
		case totals[candidate.target] == totals[victim.target] && candidate.bytes > victim.bytes:
			victim = candidate
		}
	}
	return victim
}

// ReadAll reads a body of at most limit bytes to its end. The error is ErrTooLarge or that of the body.
func (a *Answer) ReadAll(body io.Reader, limit int) ([]byte, error) {
	var chunks [][]byte // the last one is not full; a single buffer that grows would leave its earlier ones as garbage
	chunk := make([]byte, 0, minChunk)
	size := 0
	for {
		if len(chunk) == cap(chunk) {
			chunks = append(chunks, chunk)
			next := min(2*cap(chunk), maxChunk, limit+1-size)
			if next <= 0 || !a.Resize(int64(size+next)) {
				return nil, ErrTooLarge
			}
			chunk = make([]byte, 0, next)
		}
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		size += n
		switch {
		case a.GivenUp():
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && size > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			a.Complete()
			return slices.Concat(append(chunks, chunk)...), nil
		case err != nil:
			return nil, err
		}
	}
}

// Body is the body of an answer on its way to the caller. Its bytes are held until it is closed, as a server does
// once it has written them.
type Body struct {
	reader *bytes.Reader
	answer *Answer
}

// NewBody returns the Body of a complete answer. drop closes the connection of the caller; it is called if the caller
// takes nothing of the answer for some time while others need the room.
func NewBody(body []byte, a *Answer, drop func()) Body {
	a.readAt.Store(a.budget.now().UnixNano())
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.drop = drop
	return Body{reader: bytes.NewReader(body), answer: a}
}

// Read implements io.Reader. The server reads again once the caller has taken what was read before.
func (b Body) Read(p []byte) (int, error) {
	b.answer.readAt.Store(b.answer.budget.now().UnixNano())
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (b Body) Close() error {
	b.answer.Release()
	return nil
}
