package placement

import (
	"time"

	"github.com/cassiachute/cassiachute/warmup"
)

// RecordAdmitted records the arrival of a request that was admitted.
func (b *Board) RecordAdmitted(now time.Time, a *Request) {
	p := b.pool(a.Service)
	p.team(a.Team).asked.add(now, a.Cost())
	p.learnRequiredGap(a)
}

// RecordSent records that a request is sent to the chosen target. It sets Choice.QueuedTokens.
func (b *Board) RecordSent(now time.Time, a *Request, c *Choice) {
	r := b.targets[c.Target]
	if r == nil {
		return
	}
	r.ownLoad.add(c.Load)
	r.warmup.Record(now)
	c.QueuedTokens = r.load().Prompt
	r.cache.add(a.Chain)
	usage := b.pool(a.Service).team(a.Team)
	usage.received.add(now, a.Cost())
	usage.running += c.Load.Running
}

// RecordFirstEvent records the first event of a request that this host decided about. It returns
// the load that the request still holds.
func (b *Board) RecordFirstEvent(now time.Time, a *Request, c Choice, took time.Duration) Load {
	r := b.targets[c.Target]
	remaining := b.RecordStarted(c)
	if r == nil {
		return remaining
	}
	b.recordAlive(now, r, now.Add(-took))
	if !a.Remote {
		r.streamStarted(now)
	}
	b.pool(a.Service).learnFirstEvent(now, r, c.QueuedTokens, took, b.latenessOf(a))
	return remaining
}

// RecordRemoteFirstEvent records the first event of a request that another host decided about.
func (b *Board) RecordRemoteFirstEvent(now time.Time, a *Request, c Choice, took time.Duration) {
	if r := b.targets[c.Target]; r != nil {
		b.recordAlive(now, r, now.Add(-took))
		r.streamStarted(now)
		b.pool(a.Service).learnFirstEvent(now, r, c.QueuedTokens, took, b.latenessOf(a))
	}
}

// streamStarted records the first event of a stream of this host.
func (r *targetRecord) streamStarted(now time.Time) {
	r.activeStreams++
	r.eventReceived(now)
}

// learnFirstEvent compares the time to a first event with the estimate, and updates the estimate
// unless the target is much slower than the others.
func (p *pool) learnFirstEvent(now time.Time, r *targetRecord, queuedTokens int, took, lateness time.Duration) {
	expected := seconds(p.prefillModel.BaseLatency()) + p.prefillModel.PrefillTime(queuedTokens)
	r.health.recordLatency(took, expected)
	p.observeSpeed(now, r, took, expected, lateness)
	if r.health.slowdown() < maxLearnSlowdown {
		p.prefillModel.Learn(queuedTokens, r.meanTime(took))
	}
}

// RecordStarted records that a request had its first event, without the time it took. It returns
// the load that the request still holds.
func (b *Board) RecordStarted(c Choice) Load {
	remaining := c.Load
	remaining.Prompt = 0
	if r := b.targets[c.Target]; r != nil {
		r.ownLoad.sub(Load{Prompt: c.Load.Prompt})
	}
	return remaining
}

// maxLearnSlowdown is the slowdown from which samples of a target say nothing about the other
// targets.
const maxLearnSlowdown = 2.0

// Outcome says how a request ended at its target.
type Outcome uint8

// Outcomes of a request at its target.
const (
	Done        Outcome = iota // a complete answer
	Failed                     // an answer that is an error or broke off
	Rejected                   // the target did not run it
	Silent                     // no answer in time
	Unreachable                // no connection to the target
	CallerLeft                 // the caller left
	NotSent                    // nothing was sent
	WrongTarget                // another target answered at the address
)

// RecordEnd records the end of a request at its target. The load is what the request still held. A
// request without a first event is not charged to its team, unless the caller left.
func (b *Board) RecordEnd(now time.Time, a *Request, target string, remaining Load, o Outcome, took time.Duration) {
	r := b.targets[target]
	if r == nil {
		return
	}
	r.ownLoad.sub(remaining)
	usage := b.pool(a.Service).team(a.Team)
	usage.running = max(0, usage.running-remaining.Running)
	if remaining.Prompt > 0 && o != CallerLeft {
		usage.received.subtract(now, a.Cost())
	}
	if !a.Remote {
		r.streamEnded(remaining)
	}
	if o == Done {
		b.recordAlive(now, r, now.Add(-took))
	}
	if p := b.pool(a.Service); o == Done && p.engine == nil {
		p.observeSpeed(now, r, took, p.answerTime, b.latenessOf(a))
		r.observeStep(now, p, r.load().Running+1, took-b.latenessOf(a))
		p.answerTime += scale(r.meanTime(took)-p.answerTime, answerTimeWeight)
	}
	b.recordOutcome(now, r, o)
}

// RecordRemoteEnd records the end of a request that another host decided about.
func (b *Board) RecordRemoteEnd(now time.Time, target string, remaining Load, o Outcome) {
	if r := b.targets[target]; r != nil {
		r.streamEnded(remaining)
		b.recordOutcome(now, r, o)
	}
}

// streamEnded records the end of a request of this host, given the load it held last.
func (r *targetRecord) streamEnded(remaining Load) {
	if remaining.Prompt == 0 && remaining.Running > 0 {
		r.activeStreams = max(0, r.activeStreams-1)
	}
}

// recordOutcome updates the health of a target by the outcome of a request.
func (b *Board) recordOutcome(now time.Time, r *targetRecord, o Outcome) {
	if o == Silent || o == Unreachable {
		b.suspectCold(r, now, warmup.ReasonUnreached)
	}
	switch o {
	case Done:
		r.health.recordSuccess()
	case Failed:
		r.health.recordFailure()
		r.speed.failedAt = now
	case Silent:
		r.suspendedForSilence = r.activeStreams > 0 && now.Sub(r.lastEvent) >= minStall
		r.health.suspend(now)
	case Unreachable:
		r.health.suspend(now)
	case WrongTarget:
		r.health.recordMisdirected(now)
	case Rejected, CallerLeft, NotSent:
	}
}
