package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/wire"
)

// Limits of the adaptive concurrency limit and of the ejection of failing targets.
const (
	slowStartDivisor       = 4                      // a new target starts with its slots divided by this
	decreaseFactor         = 0.9                    // factor by which a slow answer reduces the limit
	decreaseInterval       = time.Second            // minimum time between two reductions
	minEjection            = 200 * time.Millisecond // the first one; each further one lasts twice as long
	maxEjection            = 5 * time.Second        // longest ejection
	maxAffinityLoadGap     = 0.25                   // how much higher the load of a target with a cached prefix may be
	timeoutsBeforeEjection = 2                      // requests without answer in a row after which a target is ejected
)

// target holds the load and health of one target.
type target struct {
	number       uint32    // number of the target in the configuration
	slots        int       // configured slots
	limit        float64   // most slots in use at once, adapted to the observed event pace and failures
	running      int       // slots in use
	suspects     int       // running requests that may have crashed another target before
	leaving      bool      // takes no new work
	slowStart    bool      // the limit grows by one with each fast request until the first slow one
	ejections    int       // ejections since the last request that succeeded
	timeouts     int       // requests without answer since the last one that succeeded
	ejectedUntil time.Time // gets no work until then; zero if it is not ejected
	reducedAt    time.Time // when the limit was last reduced
	heapIndex    int       // index in Shard.free, -1 without a free slot
}

// load returns the part of the limit that is in use.
func (t *target) load() float64 { return float64(t.running) / max(1, t.limit) }

// hasFreeSlot returns whether the target can take a request now.
func (t *target) hasFreeSlot() bool {
	return !t.leaving && t.ejectedUntil.IsZero() && float64(t.running) < max(1, float64(int(t.limit)))
}

// targetHeap is a heap of the targets with a free slot, the least loaded first.
type targetHeap []*target

// Len implements heap.Interface.
func (h targetHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h targetHeap) Less(i, j int) bool {
	if a, b := h[i].load(), h[j].load(); a != b {
		return a < b
	}
	return h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h targetHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *targetHeap) Push(x any) {
	t := x.(*target)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *targetHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// putTarget adds a target or applies its changed configuration. A target that joins a running
// shard, or gets more slots, goes through slow start.
func (s *Shard) putTarget(now time.Time, number uint32, row *catalog.TargetRow) {
	t := s.targets[number]
	if t == nil {
		t = &target{number: number, limit: float64(row.Slots), heapIndex: -1}
		if now.Sub(s.started) > s.config.RecoveryTimeout {
			t.limit = float64(max(1, row.Slots/slowStartDivisor))
			t.slowStart = true
		}
		s.targets[number] = t
	}
	if t.slots != 0 && row.Slots > t.slots {
		t.slowStart = true
	}
	t.slots = row.Slots
	t.limit = min(t.limit, float64(row.Slots))
	t.leaving = row.Draining
	s.updateFreeHeap(t)
}

// retire stops giving work to a target that left the configuration. It is deleted when it runs
// nothing.
func (s *Shard) retire(t *target) {
	t.leaving = true
	s.updateFreeHeap(t)
	if t.running == 0 {
		delete(s.targets, t.number)
	}
}

// updateFreeHeap adds a target to Shard.free, moves it or removes it, after its load or state
// changed.
func (s *Shard) updateFreeHeap(t *target) {
	switch {
	case t.hasFreeSlot() && t.heapIndex < 0:
		heap.Push(&s.free, t)
	case t.hasFreeSlot():
		heap.Fix(&s.free, t.heapIndex)
	case t.heapIndex >= 0:
		heap.Remove(&s.free, t.heapIndex)
		t.heapIndex = -1
	}
}

// capacity returns the sum of the limits of the targets that take work.
func (s *Shard) capacity() int {
	total := 0
	for _, t := range s.targets {
		if !t.leaving && t.ejectedUntil.IsZero() {
			total += max(1, int(t.limit))
		}
	}
	return total
}

// chooseTarget returns the target for a ticket, or nil if none can take it. Of the targets with a
// free slot it prefers the one with the longest known prefix of the prompt in its cache, if its
// load is within maxAffinityLoadGap of the least loaded one.
func (s *Shard) chooseTarget(tk *ticket) *target {
	if len(s.free) == 0 {
		return nil
	}
	least := s.free[0]
	if least.number == tk.avoidTarget && len(s.targets) > 1 {
		least = s.leastLoadedExcept(tk.avoidTarget)
	}
	if least == nil || tk.suspect {
		return s.isolateSuspect(tk, least)
	}
	for _, block := range slices.Backward(tk.prefixBlocks) {
		number, ok := s.prefixTargets.Get(block)
		if !ok {
			continue
		}
		t := s.targets[number]
		if t != nil && t.heapIndex >= 0 && number != tk.avoidTarget && t.load() <= least.load()+maxAffinityLoadGap {
			return t
		}
	}
	return least
}

// isolateSuspect returns a target with a free slot that runs no other suspect, so that the next
// crash tells which request caused it. It returns otherwise if there is none.
func (s *Shard) isolateSuspect(tk *ticket, otherwise *target) *target {
	for _, t := range s.free {
		if t.suspects == 0 && t.number != tk.avoidTarget {
			return t
		}
	}
	return otherwise
}

// leastLoadedExcept returns the least loaded target with a free slot except one, or nil.
func (s *Shard) leastLoadedExcept(avoid uint32) *target {
	var best *target
	for _, t := range s.free {
		if t.number != avoid && (best == nil || t.load() < best.load()) {
			best = t
		}
	}
	return best
}

// recordPrefix remembers that a target is about to have the blocks of a prompt in its cache.
func (s *Shard) recordPrefix(blocks []uint32, t *target) {
	for _, block := range blocks {
		s.prefixTargets.Add(block, t.number)
	}
}

// recordOutcome adapts the limit and the ejection of a target to how a request ended there.
func (s *Shard) recordOutcome(now time.Time, t *target, m *wire.RequestEnd) {
	switch m.Outcome {
	case wire.OutcomeCompleted:
		t.ejections, t.timeouts = 0, 0
		s.adaptLimit(now, t, time.Duration(m.TokenInterval)*time.Microsecond)
	case wire.OutcomeConnectionLost, wire.OutcomeRejected:
		s.eject(now, t)
	case wire.OutcomeTimedOut:
		t.timeouts++
		if t.timeouts >= timeoutsBeforeEjection {
			s.eject(now, t)
		}
	case wire.OutcomeCanceled, wire.OutcomeStaleGrant, wire.OutcomePreempted:
	}
	if s.view.Targets[t.number] == nil && t.running == 0 {
		delete(s.targets, t.number)
	}
	s.updateFreeHeap(t)
}

// adaptLimit applies additive increase and multiplicative decrease (AIMD) to the limit of a
// target. pace is the time between two events of the request that ended. The limit grows only if
// it is nearly exhausted.
func (s *Shard) adaptLimit(now time.Time, t *target, pace time.Duration) {
	if pace > s.service.TokenInterval.Duration {
		t.slowStart = false
		if now.Sub(t.reducedAt) >= decreaseInterval {
			t.limit = max(1, t.limit*decreaseFactor)
			t.reducedAt = now
		}
		return
	}
	if float64(t.running)+1 < t.limit-1 {
		return
	}
	if t.slowStart {
		t.limit++
	} else {
		t.limit += 1 / t.limit
	}
	t.limit = min(t.limit, float64(t.slots))
}

// eject keeps work from a failing target for a time that doubles with each ejection. Afterwards it
// goes through slow start from one slot.
func (s *Shard) eject(now time.Time, t *target) {
	duration := min(maxEjection, minEjection<<min(t.ejections, 10))
	t.ejections++
	t.ejectedUntil = now.Add(duration)
	t.limit = 1
	t.slowStart = true
}

// endEjections gives work again to the targets whose ejection is over.
func (s *Shard) endEjections(now time.Time) {
	for _, t := range s.targets {
		if !t.ejectedUntil.IsZero() && !now.Before(t.ejectedUntil) {
			t.ejectedUntil = time.Time{}
			s.updateFreeHeap(t)
		}
	}
}
