package placement

import (
	"math"
	"time"
)

// Parameters of the detection of slow and stalled streams.
const (
	gapWeight             = 0.02                    // weight of the newest interval in the mean interval between events of a target
	requiredGapGrowth     = 1.001                   // growth of the required interval with each request that allows a longer one
	minStalledStreams     = 3                       // fewest streams that must be silent at once
	stallGapCount         = 4                       // mean intervals for which they must be silent
	minStall              = 300 * time.Millisecond  // least silence of a stalled target
	maxStall              = 1500 * time.Millisecond // silence after which a target no longer counts as stalled
	minCongestionFraction = 0.2                     // smallest fraction of the allowed queue, at an engine far too slow
)

// requiredEventGap returns the longest interval between events with which a stream of the maximum
// length finishes in time, given the tokens per event. It is 0 if there is no such limit.
func (a *Request) requiredEventGap(tokensPerEvent int) time.Duration {
	if a.MaxOutput <= 0 || a.AnswerTimeLimit <= a.LatencyGoal {
		return 0
	}
	events := max(1, a.MaxOutput/max(1, tokensPerEvent))
	return (a.AnswerTimeLimit - a.LatencyGoal) / time.Duration(events)
}

// learnRequiredGap updates the required interval between events of the service by a request. It
// follows a shorter interval at once and a longer one slowly.
func (p *pool) learnRequiredGap(a *Request) {
	if p.engine == nil {
		return
	}
	need := a.requiredEventGap(p.engine.TokensPerEvent)
	switch {
	case need == 0:
	case p.requiredEventGap == 0 || need < p.requiredEventGap:
		p.requiredEventGap = need
	default:
		p.requiredEventGap = min(need, scale(p.requiredEventGap, requiredGapGrowth))
	}
}

// RecordEventGap records the interval between two events of a stream of this host.
func (b *Board) RecordEventGap(now time.Time, target string, gap time.Duration) {
	if r := b.targets[target]; r != nil {
		r.meanEventGap += scale(gap-r.meanEventGap, gapWeight)
		r.observeStep(now, b.pool(r.target.Service), r.load().Running, gap-b.lateness)
		r.eventReceived(now)
	}
}

// eventReceived records an event of a stream of this host. It ends the suspension of a target that
// had stalled.
func (r *targetRecord) eventReceived(now time.Time) {
	r.lastEvent = now
	if r.suspendedForSilence {
		r.suspendedForSilence = false
		r.health.resume()
	}
}

// RecordRemoteEventGaps records a number of intervals between events of a stream of another
// host, by their mean.
func (b *Board) RecordRemoteEventGaps(now time.Time, target string, count int, mean time.Duration) {
	if r := b.targets[target]; r != nil && count > 0 {
		r.meanEventGap += scale(mean-r.meanEventGap, 1-math.Pow(1-gapWeight, float64(count)))
		r.observeStep(now, b.pool(r.target.Service), r.load().Running, mean)
	}
}

// stalled reports whether all streams of a target fell silent at once. Streams show that a target
// is cut off or frozen before any timeout does. After maxStall it returns false, so that new
// requests find out whether only old connections are silent.
func (r *targetRecord) stalled(now time.Time) bool {
	silent := now.Sub(r.lastEvent)
	return r.activeStreams >= minStalledStreams && silent > max(minStall, stallGapCount*r.meanEventGap) && silent < maxStall
}

// congestionFactor returns the fraction of the allowed queue that is left at an engine whose
// streams are too slow to finish in time. When prompts arrive without a break, each step of the
// engine prefills a piece of one, and long streams miss their deadlines.
func (p *pool) congestionFactor(r *targetRecord) float64 {
	if r == nil || p.requiredEventGap == 0 || r.meanEventGap <= p.requiredEventGap {
		return 1
	}
	ratio := float64(p.requiredEventGap) / float64(r.meanEventGap)
	return max(minCongestionFraction, ratio*ratio)
}
