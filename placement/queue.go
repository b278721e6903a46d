package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Limits of the queue.
const (
	engineWaitFraction = 0.4 // fraction of the tightest latency goal that a request may wait here for an engine
	looseWaitFraction  = 0.6 // fraction of the difference to its looser goal that a request may wait longer
	plainWaitFraction  = 0.6 // fraction of the latency goal that a request may wait here for a plain target
	maxQueuedRequests  = 512 // requests queued per service
	maxFullSearches    = 8   // requests without a target, per pass, standing and allowed regions, after which the others only try their preferred engines

	serveIntervalPerTarget    = 50 * time.Microsecond // between two passes over the queue, per target owned by this host
	maxTargetsWithoutInterval = 16                    // up to this many owned targets, passes over the queue need no interval
)

// allowedSeparator joins the names of allowed regions and the version to one key.
const allowedSeparator = "\x00"

// queuedRequest is a request that waits for a target.
type queuedRequest struct {
	id            uint64
	ask           *Request
	expires       time.Time // end of the wait
	firstEventDue time.Time // when its first event is wanted
}

// Grant is the decision about a queued request. Without a target, its wait ended in vain.
type Grant struct {
	ID     uint64
	Choice Choice
}

// MaxWait returns how long a request may wait here for a target and still be served in time. After
// that it is refused, while its caller can still turn elsewhere.
func (b *Board) MaxWait(a *Request) time.Duration {
	p := b.pool(a.Service)
	maxWait := scale(a.LatencyGoal, plainWaitFraction)
	if p.engine != nil {
		tight := min(a.LatencyGoal, max(p.tightestGoal, 0))
		maxWait = scale(tight, engineWaitFraction) + scale(a.LatencyGoal-tight, looseWaitFraction)
	}
	return max(0, maxWait-a.Elapsed)
}

// Wait queues a request. It returns false if the request is to be refused at once.
func (b *Board) Wait(now time.Time, id uint64, a *Request) bool {
	p := b.pool(a.Service)
	maxWait := b.MaxWait(a)
	t := queuedRequest{id: id, ask: a, expires: now.Add(maxWait), firstEventDue: now.Add(a.LatencyGoal - a.Elapsed)}
	at, _ := slices.BinarySearchFunc(p.queue, t, p.compareQueued)
	tooLong := b.ownsQueue(p) && p.expectedWait(now, at) > maxWait || b.coldWait(now, p, at) > maxWait
	if maxWait <= 0 || len(p.queue) >= maxQueuedRequests || tooLong {
		b.recordRefused(now, p)
		return false
	}
	p.queue = slices.Insert(p.queue, at, t)
	return true
}

// compareQueued orders the queue by the times at which first events are due. In a plain service, requests of a higher
// rank come first. It is never 0, so that a new request y comes behind those that are equal.
func (p *pool) compareQueued(x, y queuedRequest) int {
	if p.engine == nil && x.ask.Priority != y.ask.Priority {
		return cmp.Compare(x.ask.Priority, y.ask.Priority)
	}
	return cmp.Or(x.firstEventDue.Compare(y.firstEventDue), -1)
}

// Withdraw removes a request from the queue. It returns false if the request is not queued.
func (b *Board) Withdraw(service string, id uint64) bool {
	p := b.pool(service)
	at := slices.IndexFunc(p.queue, func(t queuedRequest) bool { return t.id == id })
	if at < 0 {
		return false
	}
	p.queue = slices.Delete(p.queue, at, at+1)
	return true
}

// ServeQueue decides again about the requests queued for a service, in the order in which their
// first events are due; teams above their share come last. After several requests without a
// target, it tries only the preferred engines of the others, since the queue of a host with many
// callers waits for many engines. A host with many targets of its own leaves an interval between
// two passes, which take longer there.
func (b *Board) ServeQueue(now time.Time, service string) []Grant {
	p := b.pool(service)
	if len(p.queue) == 0 || now.Sub(p.lastServed) < b.serveInterval(p) {
		return nil
	}
	p.lastServed = now
	var grants []Grant
	for standing := Entitled; standing <= AboveEvenShare; standing++ {
		misses := map[string]int{} // by allowed targets: those of a full region or version do not block requests for others
		remaining := p.queue[:0]
		for _, t := range p.queue {
			teamStanding, _ := b.standingForDecision(now, t.ask)
			allowed := t.ask.allowedTargets()
			if teamStanding == standing && (misses[allowed] < maxFullSearches || b.preferredHasRoom(now, p, t.ask)) {
				if g, ok := b.tryGrant(now, t); ok {
					grants = append(grants, g)
					continue
				}
				misses[allowed]++
			}
			remaining = append(remaining, t)
		}
		p.queue = remaining
	}
	return grants
}

// allowedTargets returns a key that is the same for requests that allow the same regions and version.
func (a *Request) allowedTargets() string {
	regions := strings.Join(a.Regions, allowedSeparator)
	if !a.VersionFixed {
		return regions
	}
	return regions + allowedSeparator + allowedSeparator + a.Version
}

// serveInterval returns the least time between two passes over the queue. It is 0 with few targets:
// during an interval, a slot that becomes free goes to a new request and not to a queued one.
func (b *Board) serveInterval(p *pool) time.Duration {
	if len(b.hosts) > 0 && len(p.owned) <= maxTargetsWithoutInterval {
		return 0
	}
	return time.Duration(len(p.owned)) * serveIntervalPerTarget
}

// tryGrant looks for a target for a queued request. It returns false if there is none.
func (b *Board) tryGrant(now time.Time, t queuedRequest) (Grant, bool) {
	c := b.Choose(now, t.ask)
	if c.Target == "" {
		return Grant{}, false
	}
	b.RecordSent(now, t.ask, &c)
	return Grant{ID: t.id, Choice: c}, true
}

// ExpireQueued removes the requests whose wait has ended, and those whose targets are all leaving, evacuated or
// paused. It returns the decision about each.
func (b *Board) ExpireQueued(now time.Time) []Grant {
	var grants []Grant
	for _, p := range b.pools {
		if len(p.queue) == 0 {
			continue
		}
		remaining := p.queue[:0]
		for _, t := range p.queue {
			if now.Before(t.expires) && !p.hasNoTarget(now, t.ask) {
				remaining = append(remaining, t)
				continue
			}
			t.ask.AnyEngine, t.ask.NoWait = true, true
			grants = append(grants, Grant{ID: t.id, Choice: b.Choose(now, t.ask)})
			if last := &grants[len(grants)-1]; last.Choice.Target != "" {
				b.RecordSent(now, t.ask, &last.Choice)
			} else {
				b.recordRefused(now, p)
			}
		}
		p.queue = remaining
	}
	return grants
}

// QueuedServices returns the names of the services that have queued requests.
func (b *Board) QueuedServices() []string {
	var names []string
	for name, p := range b.pools {
		if len(p.queue) > 0 {
			names = append(names, name)
		}
	}
	return names
}
