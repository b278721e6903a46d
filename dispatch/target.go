package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	slowStartPart    = 4 // a new target starts with this part of its slots
	decreaseFactor   = 0.9
	decreaseEvery    = time.Second
	firstRest        = 200 * time.Millisecond
	maxRest          = 5 * time.Second
	affinitySlack    = 0.25 // how much fuller a target with a cached prefix may be
	silencesTillRest = 2
)

// target is a row for one target.
type target struct {
	number   uint32
	slots    int
	limit    float64 // slots in use at once at most, adapted to what the target shows
	running  int
	suspects int // running requests that were on a target that crashed
	leaving  bool
	growing  bool // in slow start
	failures int
	silences int
	rest     time.Time // gets no work until then
	reduced  time.Time
	index    int // position among the targets with a free slot, -1 if none is free
}

func (t *target) load() float64 { return float64(t.running) / max(1, t.limit) }

func (t *target) room() bool {
	return !t.leaving && t.rest.IsZero() && float64(t.running) < max(1, float64(int(t.limit)))
}

// targetHeap orders the targets with a free slot by load.
type targetHeap []*target

func (h targetHeap) Len() int { return len(h) }
func (h targetHeap) Less(i, j int) bool {
	if a, b := h[i].load(), h[j].load(); a != b {
		return a < b
	}
	return h[i].number < h[j].number
}

func (h targetHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *targetHeap) Push(x any) {
	t := x.(*target)
	t.index = len(*h)
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

// putTarget enters or changes a target. One that joins a running shard starts
// slowly.
func (s *Shard) putTarget(now time.Time, number uint32, row *catalog.TargetRow) {
	t := s.targets[number]
	if t == nil {
		t = &target{number: number, limit: float64(row.Slots), index: -1}
		if now.Sub(s.started) > s.config.Recover {
			t.limit = float64(max(1, row.Slots/slowStartPart))
			t.growing = true
		}
		s.targets[number] = t
	}
	if t.slots != 0 && row.Slots > t.slots {
		t.growing = true
	}
	t.slots = row.Slots
	t.limit = min(t.limit, float64(row.Slots))
	t.leaving = row.Leaving
	s.seat(t)
}

// retire takes a target out of service. Its row goes with its last grant.
func (s *Shard) retire(t *target) {
	t.leaving = true
	s.seat(t)
	if t.running == 0 {
		delete(s.targets, t.number)
	}
}

// seat moves a target to its position among those with a free slot.
func (s *Shard) seat(t *target) {
	switch {
	case t.room() && t.index < 0:
		heap.Push(&s.free, t)
	case t.room():
		heap.Fix(&s.free, t.index)
	case t.index >= 0:
		heap.Remove(&s.free, t.index)
		t.index = -1
	}
}

// capacity returns the slots of all targets that take work.
func (s *Shard) capacity() int {
	total := 0
	for _, t := range s.targets {
		if !t.leaving && t.rest.IsZero() {
			total += max(1, int(t.limit))
		}
	}
	return total
}

// choose returns the target for a ticket, or nil if none has a free slot. A
// target that has the longest known prefix of the prompt cached is taken if it
// is not much fuller than the least loaded one.
func (s *Shard) choose(tk *ticket) *target {
	if len(s.free) == 0 {
		return nil
	}
	least := s.free[0]
	if least.number == tk.avoid && len(s.targets) > 1 {
		least = s.other(tk.avoid)
	}
	if least == nil || tk.suspect {
		return s.apart(tk, least)
	}
	for _, block := range slices.Backward(tk.blocks) {
		number, ok := s.prefix.Get(block)
		if !ok {
			continue
		}
		t := s.targets[number]
		if t != nil && t.index >= 0 && number != tk.avoid && t.load() <= least.load()+affinitySlack {
			return t
		}
	}
	return least
}

// apart returns a free target that runs no other suspect, so that the next
// crash tells which one is to blame, or else the one given.
func (s *Shard) apart(tk *ticket, otherwise *target) *target {
	for _, t := range s.free {
		if t.suspects == 0 && t.number != tk.avoid {
			return t
		}
	}
	return otherwise
}

// other returns the least loaded free target but one, or nil.
func (s *Shard) other(avoid uint32) *target {
	var best *target
	for _, t := range s.free {
		if t.number != avoid && (best == nil || t.load() < best.load()) {
			best = t
		}
	}
	return best
}

func (s *Shard) learnPrefix(blocks []uint32, t *target) {
	for _, block := range blocks {
		s.prefix.Add(block, t.number)
	}
}

// judge adapts the limit of a target to how a request ended there.
func (s *Shard) judge(now time.Time, t *target, m *wire.End) {
	switch m.Fate {
	case wire.FateDone:
		t.failures, t.silences = 0, 0
		s.adapt(now, t, time.Duration(m.TokenInterval)*time.Microsecond)
	case wire.FateBroken, wire.FateRefused:
		s.sendToRest(now, t)
	case wire.FateSilent:
		t.silences++
		if t.silences >= silencesTillRest {
			s.sendToRest(now, t)
		}
	case wire.FateWithdrawn, wire.FateStale, wire.FatePreempted:
	}
	if s.view.Targets[t.number] == nil && t.running == 0 {
		delete(s.targets, t.number)
	}
	s.seat(t)
}

// adapt applies additive increase and multiplicative decrease.
func (s *Shard) adapt(now time.Time, t *target, pace time.Duration) {
	if pace > s.service.Pace.Duration {
		t.growing = false
		if now.Sub(t.reduced) >= decreaseEvery {
			t.limit = max(1, t.limit*decreaseFactor)
			t.reduced = now
		}
		return
	}
	if float64(t.running)+1 < t.limit-1 {
		return
	}
	if t.growing {
		t.limit++
	} else {
		t.limit += 1 / t.limit
	}
	t.limit = min(t.limit, float64(t.slots))
}

// sendToRest keeps work from a failing target for a time that doubles with
// each failure, and lets it start slowly after it.
func (s *Shard) sendToRest(now time.Time, t *target) {
	rest := min(maxRest, firstRest<<min(t.failures, 10))
	t.failures++
	t.rest = now.Add(rest)
	t.limit = 1
	t.growing = true
}

// wake ends the rest of targets.
func (s *Shard) wake(now time.Time) {
	for _, t := range s.targets {
		if !t.rest.IsZero() && !now.Before(t.rest) {
			t.rest = time.Time{}
			s.seat(t)
		}
	}
}
