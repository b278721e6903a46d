package gateway

import (
	"bytes"
	"io"
	"math"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	maxHeldBytes      = 16 << 20 // body of an answer that is passed on as a whole
	freeHeldBytes     = 16 << 10 // of each answer, which are not counted: what answers of the usual size need
	heldFraction      = 1.0 / 8  // of the memory of the host, for all bytes that are counted
	defaultHeldMemory = 256      // MiB of memory, if the settings name none
	mebibyte          = 1 << 20
)

// errOversized means that an answer is larger than this host can hold.
var errOversized = errors.New("answer is larger than this host can hold")

// heldBytes bounds the bytes of answers that the host holds together, since targets may send without end.
// If they are too many, the largest answer of the target whose answers hold most is given up, so that a flood
// of one target does not end the answers of others.
type heldBytes struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	holders map[*holder]struct{}
}

// holder is an answer that holds counted bytes.
type holder struct {
	held    *heldBytes
	target  string
	bytes   int64       // that are counted
	give    func()      // closes the connection to the target; nil once the answer is complete
	givenUp atomic.Bool // the answer was given up for others
}

// newHeldBytes returns the bound of a host whose settings name its memory.
func newHeldBytes(s *Settings) *heldBytes {
	h := &heldBytes{holders: map[*holder]struct{}{}}
	h.setMemory(s)
	return h
}

// setMemory sets the bound by the memory in the settings.
func (h *heldBytes) setMemory(s *Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = int64(min(math.MaxInt32, max(1, s.Memory.Or(defaultHeldMemory))) * mebibyte * heldFraction)
}

// newHolder returns a holder of no bytes for an answer of a target. giveUp closes the connection to the target.
func (h *heldBytes) newHolder(target string, giveUp func()) *holder {
	return &holder{held: h, target: target, give: giveUp}
}

// total returns the bytes that are held.
func (h *heldBytes) total() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
}

// resize changes the bytes of a holder. It returns false if the holder is given up, now or before.
func (l *holder) resize(bytes int64) bool {
	h := l.held
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.givenUp.Load() {
		return false
	}
	counted := max(0, bytes-freeHeldBytes)
	h.used += counted - l.bytes
	l.bytes = counted
	if counted > 0 {
		h.holders[l] = struct{}{}
	}
	for h.used > h.limit {
		victim := h.victim()
		if victim == nil || victim == l {
			h.remove(l)
			return false
		}
		victim.givenUp.Store(true)
		victim.give()
		h.remove(victim)
	}
	return true
}

// complete records that the answer is complete, so that it is not given up any more.
func (l *holder) complete() {
	l.held.mu.Lock()
	defer l.held.mu.Unlock()
	l.give = nil
}

// release gives back all bytes of a holder.
func (l *holder) release() {
	l.held.mu.Lock()
	defer l.held.mu.Unlock()
	l.held.remove(l)
}

// remove takes a holder out. The caller holds the lock.
func (h *heldBytes) remove(l *holder) {
	h.used -= l.bytes
	l.bytes = 0
	delete(h.holders, l)
}

// victim returns the holder to give up: of those that are not complete, the largest of the target that holds
// most. The caller holds the lock.
func (h *heldBytes) victim() *holder {
	totals := map[string]int64{}
	for l := range h.holders {
		totals[l.target] += l.bytes
	}
	var victim *holder
	for l := range h.holders {
		switch {
		case l.give == nil:
		case victim == nil || totals[l.target] > totals[victim.target]:
			victim = l
		case totals[l.target] == totals[victim.target] && l.bytes > victim.bytes:
			victim = l
		}
	}
	return victim
}

// readAll reads a body to its end. The error is errOversized or that of the body.
func (l *holder) readAll(body io.Reader) ([]byte, error) {
	buf := make([]byte, 0, bytes.MinRead)
	for {
		if len(buf) == cap(buf) {
			size := min(2*cap(buf), maxHeldBytes+1)
			if len(buf) > maxHeldBytes || !l.resize(int64(size)) {
				return nil, errOversized
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case l.givenUp.Load():
			return nil, errOversized
		case errors.Is(err, io.EOF) && len(buf) > maxHeldBytes:
			return nil, errOversized
		case errors.Is(err, io.EOF):
			l.complete()
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// holdEvents prepares to hold what comes of a stream of a target until it is a whole event.
func (x *exchange) holdEvents(a *attempt) {
	x.releaseEvents()
	x.eventHolder = x.gateway.held.newHolder(a.choice.Target, a.conn.Close)
}

// releaseEvents gives back what is held of a stream.
func (x *exchange) releaseEvents() {
	if x.eventHolder != nil {
		x.eventHolder.release()
	}
}

// heldBody is the body of an answer on its way to the caller. Its bytes are held until the server has written
// them.
type heldBody struct {
	*bytes.Reader
	holder *holder
}

// Close implements io.Closer. The server calls it once it has written the body, or can't.
func (b heldBody) Close() error {
	b.holder.release()
	return nil
}
