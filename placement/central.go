package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// OwnerTimeout is how long a host waits for the answer of an owner before it decides alone.
const OwnerTimeout = 50 * time.Millisecond

const (
	minCentralHosts  = 24                              // least hosts of a fleet whose host states are too old to show the slots in use of a plain target
	centralGoalRatio = 4                               // multiple of OwnerTimeout that a latency goal must have, to leave time to ask a silent owner
	minCentralGoal   = centralGoalRatio * OwnerTimeout // least latency goal of the routes to a service with a central queue
	targetBacklog    = 1                               // requests that wait at a target itself, so that it does not idle until its owner hears of a free slot
	retryFraction    = 0.5                             // fraction of the capacity that is planned for retries of refused callers; the rest is for new ones
)

// centralQueue is the queue of a plain service with few slots in a large fleet. One host, the owner, decides about all
// its targets. Hosts that decide each for themselves do not know which slots the others use: some targets reject
// requests while others are idle.
type centralQueue struct {
	enabled   bool
	owner     uint64    // ID of the host
	nextRetry time.Time // when the next refused caller is asked to retry
}

// updateCentralQueue decides whether a service has a central queue, and who owns it.
func (b *Board) updateCentralQueue(service string, p *pool) {
	p.central.enabled = p.engine == nil && p.tightestGoal >= minCentralGoal && max(len(b.hosts), len(b.peers)+1) >= minCentralHosts
	p.central.owner = rendezvousOwner(b.hosts, xxhash.Sum64String(service), b.self)
}

// ownsQueue reports whether this host owns the central queue of a service.
func (b *Board) ownsQueue(p *pool) bool { return p.central.enabled && p.central.owner == b.self }

// referToQueue returns a referral to the owner of the central queue. Each request is referred there once. No engine is
// named, so the empty name marks in a.asked that the owner was asked.
func (p *pool) referToQueue(a *Request) (Referral, bool) {
	if a.waitAsked {
		return Referral{}, false
	}
	a.waitAsked = true
	a.asked = append(a.asked, "")
	return Referral{Host: p.central.owner, MayWait: true, AnyEngine: true}, true
}

// plainSlots returns how many requests this host may have running at a plain target, those that wait there included.
func (b *Board) plainSlots(now time.Time, p *pool, r *targetRecord) int {
	slots := r.availableSlots(now, r.target.Slots)
	if b.ownsQueue(p) {
		slots += targetBacklog
	}
	return slots
}

// timePerRequest returns the mean time between two requests that the usable targets of a plain service complete. A cold
// target completes at most its cold rate.
func (p *pool) timePerRequest(now time.Time) time.Duration {
	perSecond := 0.0
	for _, r := range p.targets {
		if r.closed() || r.isPaused(now, true) || !r.health.usable(now) {
			continue
		}
		rate := r.plainCapacity() / p.answerTime.Seconds()
		if r.warmup.Cold(now) {
			rate = min(rate, p.coldRate)
		}
		perSecond += rate
	}
	if perSecond == 0 {
		return p.answerTime
	}
	return seconds(1 / perSecond)
}

// expectedWait returns how long a request waits in the queue of a plain service behind a number of others.
func (p *pool) expectedWait(now time.Time, ahead int) time.Duration {
	return time.Duration(ahead) * p.timePerRequest(now)
}

// refusePlain returns the choice for a request of a plain service whose targets are full. The owner of a central queue
// spreads the Retry-After of refused callers over the time when there will be room for them beside new ones.
func (b *Board) refusePlain(now time.Time, p *pool) Choice {
	c := Choice{Reason: ReasonFull, RetryAfter: max(minRetryAfter, p.answerTime)}
	if b.ownsQueue(p) {
		c.RetryAfter = min(maxRetryAfter, p.retryTime(now).Sub(now))
	}
	return c
}

// retryTime returns when the next refused caller is asked to retry.
func (p *pool) retryTime(now time.Time) time.Time {
	earliest := now.Add(max(minRetryAfter, p.answerTime, p.expectedWait(now, len(p.queue))))
	if p.central.nextRetry.Before(earliest) {
		return earliest
	}
	return p.central.nextRetry
}

// recordRefused records that a caller is refused, so that the next one is asked to retry later than it. Beyond
// maxRetryAfter all are told the same time.
func (b *Board) recordRefused(now time.Time, p *pool) {
	if !b.ownsQueue(p) {
		return
	}
	if at := p.retryTime(now); at.Sub(now) < maxRetryAfter {
		p.central.nextRetry = at.Add(scale(p.timePerRequest(now), 1/retryFraction))
	}
}
