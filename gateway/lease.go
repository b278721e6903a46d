package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	ownerTimeout       = placement.OwnerTimeout // for the answer of an owner
	ownerBackoff       = 500 * time.Millisecond // for which an owner that did not answer is not asked
	backoffAfterMisses = 2                      // consecutive slot requests without an answer; a single datagram may be lost
	leaseListInterval  = 500 * time.Millisecond // between the lists of slots that a host sends to each owner
)

// lease is a slot of a target that this host has asked for or holds for one of its requests.
// The slot belongs to another host, the owner, which assigns all slots of the target.
type lease struct {
	number  uint64 // names the lease between this host and the owner
	host    uint64 // number of the owner
	ask     *placement.Request
	askedAt time.Duration    // time since boot at which the owner was asked
	started bool             // the first event came
	granted bool             // the owner gave it a slot
	answers chan ownerAnswer // from the owner
}

// ownerAnswer is the decision of an owner about a request.
type ownerAnswer struct {
	choice    placement.Choice
	grantedAt time.Duration // earliest time since boot at which the owner may have given the slot
	queued    bool          // the request waits in the owner's queue
	hint      string        // engine to ask for instead, empty if there is none
}

// placementStep is the result of one step of the search for a target.
type placementStep struct {
	choice    placement.Choice
	lease     *lease // asked of an owner, nil if this host decided
	queued    bool   // the request waits in the queue of this host
	exhausted bool   // there is no owner left to ask
	final     bool   // no step comes after this one
}

// nextStep takes the next step to find a target for a request: it decides here if this host
// owns the target or nobody does, and asks the owner of the target otherwise.
func (c *core) nextStep(x *exchange) placementStep {
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	defer c.times.addSince(activityChoose, now)
	mayWait := x.chooseBefore == 0
	if !c.board.HasOwners(x.service) {
		return c.decideWithoutOwner(now, x, mayWait)
	}
	referral, ok := c.board.NextOwner(now, &x.ask)
	switch {
	case !ok && x.ask.ReferralCount() == 0:
		return c.decideWithoutOwner(now, x, mayWait)
	case !ok:
		return placementStep{exhausted: true}
	}
	referral.MayWait = referral.MayWait && mayWait
	x.ask.AnyEngine, x.ask.WantedEngine, x.ask.CachedTokens = referral.AnyEngine, referral.Target, 0
	switch {
	case referral.Host == c.self:
		s := c.decide(now, x, referral.MayWait)
		if s.choice.Target == "" && !s.queued && !referral.AnyEngine {
			x.ask.Alternative = c.board.AlternativeEngine(now, &x.ask)
		}
		return s
	case now.Before(c.backoffUntil[referral.Host]):
		return c.decideWithoutOwner(now, x, mayWait)
	}
	c.lastNumber++
	l := &lease{number: c.lastNumber, host: referral.Host, ask: &x.ask, askedAt: sinceBoot(), answers: make(chan ownerAnswer, 2)}
	c.leases[l.number] = l
	request := slotRequestMessage(x, l.number, &referral)
	request.Excluded = append(request.Excluded, c.board.PausedTargets(now, x.service)...)
	c.enqueue(l.host, boundToVersion(&x.ask, request))
	return placementStep{lease: l}
}

// decide chooses a target for a request at this host, or queues the request if it may wait and
// all targets are full. The caller holds the lock.
func (c *core) decide(now time.Time, x *exchange, wait bool) placementStep {
	x.ask.NoWait = !wait
	s := placementStep{choice: c.board.Choose(now, &x.ask)}
	switch {
	case s.choice.Target != "":
		x.chosenAt = sinceBoot()
		c.board.RecordSent(now, &x.ask, &s.choice)
		c.notifyPreferredOwner(&x.ask, c.self, s.choice.Target)
	case wait && s.choice.Reason == placement.ReasonFull:
		s.queued = c.board.Wait(now, x.id, &x.ask)
	}
	return s
}

// decideWithoutOwner decides about a request that no owner decides about, from what this host
// knows of all targets. The caller holds the lock.
func (c *core) decideWithoutOwner(now time.Time, x *exchange, wait bool) placementStep {
	x.ask.WantedEngine = ""
	s := c.decide(now, x, wait)
	s.final = true
	return s
}

// ownerTimedOut records that an owner did not answer in time, and decides about the request in
// its place. An owner that missed several requests in a row is not asked for a while.
func (c *core) ownerTimedOut(x *exchange, l *lease) placementStep {
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	if c.missedReplies[l.host]++; c.missedReplies[l.host] >= backoffAfterMisses {
		c.backoffUntil[l.host] = now.Add(ownerBackoff)
	}
	c.dropLease(l)
	return c.decideWithoutOwner(now, x, x.chooseBefore == 0)
}

// abandonLease drops the lease of a request that ended before its owner answered.
func (c *core) abandonLease(l *lease) {
	c.mu.Lock()
	defer c.unlockAndSend()
	c.dropLease(l)
}

// dropLease forgets a lease and returns its slot to the owner. The caller holds the lock.
func (c *core) dropLease(l *lease) {
	delete(c.leases, l.number)
	c.returnSlot(l.host, l.number)
}

// returnSlot tells an owner that a slot or a place in its queue is not used. The caller holds
// the lock.
func (c *core) returnSlot(host, number uint64) {
	c.enqueue(host, &wire.LeaseUpdate{Number: number, Ended: true, Outcome: uint8(placement.NotSent)})
}

// maxWait returns how long a request may wait for a target.
func (c *core) maxWait(x *exchange) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.MaxWait(&x.ask)
}

// slotRequestMessage returns the message that asks the owner of a target for a slot.
func slotRequestMessage(x *exchange, number uint64, referral *placement.Referral) *wire.SlotRequest {
	a := &x.ask
	return &wire.SlotRequest{
		Number: number, Service: a.Service, Team: a.Team, Target: referral.Target, Prompt: promptMessage(a.Chain),
		CachedTokens: uint32(referral.CachedTokens), MaxOutputTokens: uint32(a.MaxOutput),
		FirstEventLimit: toMillis(a.LatencyGoal), ResponseLimit: toMillis(a.AnswerTimeLimit), Elapsed: toMillis(a.Elapsed),
		MayWait: referral.MayWait, AnyEngine: referral.AnyEngine, Excluded: slices.Clone(a.Excluded),
		Regions: a.Regions, Priority: uint8(min(a.Priority, math.MaxUint8)),
	}
}

// boundToVersion returns the message with which a slot is asked for: the request itself, or one with the software version
// that it is bound to.
func boundToVersion(a *placement.Request, request *wire.SlotRequest) wire.Message {
	if !a.VersionFixed {
		return request
	}
	return &wire.VersionSlotRequest{Request: *request, Version: a.Version}
}

// promptMessage returns the wire form of the shared parts of a prompt.
func promptMessage(c placement.PrefixChain) wire.Prompt {
	p := wire.Prompt{Parts: c.Hashes, TotalTokens: uint32(c.Total)}
	for _, tokens := range c.Lengths {
		p.PartTokens = append(p.PartTokens, uint32(tokens))
	}
	return p
}

// chainFromMessage returns the shared parts of a prompt from their wire form. It returns false
// if they are inconsistent.
func chainFromMessage(p wire.Prompt) (placement.PrefixChain, bool) {
	c := placement.PrefixChain{Hashes: p.Parts, Total: int(p.TotalTokens)}
	for _, tokens := range p.PartTokens {
		c.Lengths = append(c.Lengths, int(tokens))
	}
	consistent := len(c.Hashes) == len(c.Lengths) && slices.IsSorted(c.Lengths) && c.SharedTokens() <= c.Total
	return c, consistent
}

// receiveSlotResponse passes the answer of an owner to the request that waits for it. A slot is
// returned at once if the request no longer waits or its target can't be used.
func (c *core) receiveSlotResponse(from uint64, m *wire.SlotResponse) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	delete(c.missedReplies, from)
	l := c.leases[m.Number]
	if l == nil || l.host != from || l.granted {
		if m.Target != "" && l == nil {
			c.returnSlot(from, m.Number)
		}
		return
	}
	a := ownerAnswer{choice: choiceFromMessage(m), grantedAt: l.askedAt + fromMillis(m.Waited), queued: m.Queued, hint: m.OtherTarget}
	switch {
	case m.Target != "" && !c.board.AcceptsRequest(now, l.ask, m.Target):
		if c.board.AcceptsRequests(now, m.Target) { // the owner knows another region or version, and would grant it again
			l.ask.Excluded = append(l.ask.Excluded, m.Target)
		}
		a.choice = placement.Choice{Reason: placement.ReasonNoTarget, RetryAfter: staleRetryAfter}
		c.dropLease(l)
	case m.Target != "":
		l.granted = true
		c.board.RecordCached(m.Target, l.ask.Chain)
		c.notifyPreferredOwner(l.ask, l.host, m.Target)
	case !m.Queued:
		delete(c.leases, m.Number)
	}
	select {
	case l.answers <- a:
	default: // full: an owner sends at most two answers, queued and its decision
	}
}

// notifyPreferredOwner tells the owner of the engine at which the shared prefix of a prompt is
// cached that another engine got the prompt. Owners that know it already are not told. The
// caller holds the lock.
func (c *core) notifyPreferredOwner(a *placement.Request, decider uint64, target string) {
	preferred := c.board.PreferredEngine(a)
	if preferred.Target == "" || preferred.Target == target || preferred.Host == c.self || preferred.Host == decider {
		return
	}
	c.enqueue(preferred.Host, &wire.PromptPlaced{Target: target, Prompt: promptMessage(a.Chain)})
}

// choiceFromMessage returns the choice of an owner from its wire form.
func choiceFromMessage(m *wire.SlotResponse) placement.Choice {
	c := placement.Choice{
		Target: m.Target, QueuedTokens: int(m.QueueTokens), ExpectedTime: fromMillis(m.ExpectedFirstEvent), RetryAfter: fromMillis(m.RetryAfter),
		Reason: placement.Reason(m.Reason), Standing: placement.Standing(m.Standing),
		QueueLimit: fromMillis(m.QueueLimit), QueueTime: fromMillis(m.QueueLength),
	}
	if m.Target != "" {
		c.SlotID = m.Number
		c.Load = placement.Load{Prompt: int(m.PromptTokens), Running: 1, Memory: int(m.MemoryTokens)}
	}
	return c
}

// onLeaseFirstEvent records the first event of a request and reports it to the owner of its
// slot. It returns the load that remains at the target. The caller holds the lock.
func (c *core) onLeaseFirstEvent(now time.Time, x *exchange, choice placement.Choice, took time.Duration) placement.Load {
	left := choice.Load
	left.Prompt = 0
	c.board.RecordRemoteFirstEvent(now, &x.ask, choice, took)
	if l := c.leases[choice.SlotID]; l != nil {
		l.started = true
		if choice.Load.Prompt == 0 {
			return left // the answer of a plain target, whose end is reported next
		}
		c.enqueue(l.host, &wire.LeaseUpdate{Number: l.number, Begun: true, Duration: uint32(c.board.ReportableDuration(now, took).Microseconds()), Lateness: c.latenessMessage()})
	}
	return left
}

// onLeaseEnd records the end of a request and reports it to the owner of its slot, with the
// mean pause between its events. The caller holds the lock.
func (c *core) onLeaseEnd(now time.Time, x *exchange, choice placement.Choice, left placement.Load, o placement.Outcome, took time.Duration) {
	c.board.RecordRemoteEnd(now, choice.Target, left, o)
	l := c.leases[choice.SlotID]
	if l == nil {
		return
	}
	delete(c.leases, l.number)
	m := &wire.LeaseUpdate{Number: l.number, Ended: true, Outcome: uint8(o), Duration: uint32(c.board.ReportableDuration(now, took).Microseconds()), IntervalCount: uint32(x.gapCount), Lateness: c.latenessMessage()}
	if left.Prompt > 0 {
		m.IntervalCount = 0 // no event came from this target: the pauses are those of an earlier one
	}
	if m.IntervalCount > 0 {
		m.MeanInterval = uint32((x.gapTotal / time.Duration(x.gapCount)).Microseconds())
	}
	c.enqueue(l.host, m)
}

// sendLeaseLists sends each owner the list of slots that this host holds or waits for there, and
// returns the time until the next lists. The owner takes back slots that are not listed.
func (g *Gateway) sendLeaseLists() time.Duration {
	c := g.core
	c.mu.Lock()
	defer c.unlockAndSend()
	lists := map[uint64]*wire.LeaseList{}
	for number, l := range c.leases {
		list := lists[l.host]
		if list == nil {
			list = &wire.LeaseList{}
			lists[l.host] = list
		}
		if l.started {
			list.Running = append(list.Running, number)
		} else {
			list.Waiting = append(list.Waiting, number)
		}
	}
	for host, list := range lists {
		c.enqueue(host, list)
	}
	return leaseListInterval
}
