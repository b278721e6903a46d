package placement

import (
	"math"
	"time"
)

const (
	gapWeight          = 0.02  // of the newest pause between events in the mean of a target
	needGrowth         = 1.001 // of the pause that streams need, at each request that needs less
	leastFlows         = 3     // streams that must be silent at once
	stallGaps          = 4     // mean pauses for which they must be silent
	leastStall         = 300 * time.Millisecond
	maxStall           = 1500 * time.Millisecond
	leastCongestedPart = 0.2 // of the queue, at an engine far too slow
)

// need returns the longest pause between events with which a stream of the announced
// length is over in time.
func (a *Ask) need(stride int) time.Duration {
	if a.Output <= 0 || a.Time <= a.Aim {
		return 0
	}
	events := max(1, a.Output/max(1, stride))
	return (a.Time - a.Aim) / time.Duration(events)
}

// learnNeed takes what a request needs.
func (p *pool) learnNeed(a *Ask) {
	if p.engine == nil {
		return
	}
	need := a.need(p.engine.TokensPerEvent)
	switch {
	case need == 0:
	case p.need == 0 || need < p.need:
		p.need = need
	default:
		p.need = min(need, scale(p.need, needGrowth))
	}
}

// Gap takes the pause between two events of a stream.
func (b *Board) Gap(now time.Time, target string, pause time.Duration) {
	if r := b.rows[target]; r != nil {
		r.gap += scale(pause-r.gap, gapWeight)
		r.hear(now)
	}
}

// hear takes an event of a stream of this host. A target that stood still and goes on is sound.
func (r *row) hear(now time.Time) {
	r.heard = now
	if r.mute {
		r.mute = false
		r.health.resume()
	}
}

// Gaps takes so many pauses between the events of a stream that this host did not see.
func (b *Board) Gaps(target string, count int, mean time.Duration) {
	if r := b.rows[target]; r != nil && count > 0 {
		r.gap += scale(mean-r.gap, 1-math.Pow(1-gapWeight, float64(count)))
	}
}

// stalled returns whether all streams of a target fell silent at once. It answers
// targets that are cut off or stand still: their streams show it before any timeout.
// Later, new requests tell whether only old connections are silent.
func (r *row) stalled(now time.Time) bool {
	silent := now.Sub(r.heard)
	return r.flows >= leastFlows && silent > max(leastStall, stallGaps*r.gap) && silent < maxStall
}

// congestion returns the part of the queue that is left at an engine whose streams are too
// slow to be over in time. It answers prompts that are read without a break: each
// step of the engine then reads a piece of one, and long streams miss their end.
func (p *pool) congestion(r *row) float64 {
	if r == nil || p.need == 0 || r.gap <= p.need {
		return 1
	}
	part := float64(p.need) / float64(r.gap)
	return max(leastCongestedPart, part*part)
}
