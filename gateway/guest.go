package gateway

import (
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// remoteLeaseTTL is the time after which a slot is taken back from a host that no longer lists
// it among its leases.
const remoteLeaseTTL = 4 * leaseListInterval

// remoteKey identifies a request of another host by the host's number and the number of its
// lease.
type remoteKey struct {
	host   uint64
	number uint64
}

// remoteRequest is a request of another host that waits for or holds a slot of a target that
// this host owns.
type remoteRequest struct {
	ask        placement.Request
	queueID    uint64           // number in the queue here, 0 if it does not wait
	choice     placement.Choice // target and load that it was granted
	load       placement.Load   // what it holds at the target now
	lastListed time.Time        // when its host last listed the lease
	askedAt    time.Time        // when its host asked
}

// receiveSlotRequest decides about a request of another host that asks for a slot, and answers
// with the slot, a place in the queue or a refusal. A repeated request is ignored.
func (c *core) receiveSlotRequest(from uint64, m *wire.SlotRequest) {
	ask, consistent := askFromMessage(m)
	c.decideRemote(from, m, ask, consistent)
}

// receiveVersionSlotRequest is like receiveSlotRequest, for a request that is bound to a software version.
func (c *core) receiveVersionSlotRequest(from uint64, m *wire.VersionSlotRequest) {
	ask, consistent := askFromMessage(&m.Request)
	ask.FixVersion(m.Version)
	c.decideRemote(from, &m.Request, ask, consistent)
}

// decideRemote decides about a request of another host, whose message is m, and answers it. The prompt of the request may
// be inconsistent.
func (c *core) decideRemote(from uint64, m *wire.SlotRequest, ask placement.Request, consistent bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	defer c.times.addSince(activityChoose, now)
	key := remoteKey{host: from, number: m.Number}
	if c.remoteRequests[key] != nil {
		return
	}
	ask.Place, ask.NoWait = c.placeOf(from), !m.MayWait
	r := &remoteRequest{ask: ask, lastListed: now, askedAt: now}
	choice := placement.Choice{Reason: placement.ReasonNoTarget, RetryAfter: staleRetryAfter}
	known := consistent && c.board.HasService(m.Service)
	if known {
		choice = c.board.Choose(now, &r.ask)
	}
	switch {
	case choice.Target != "":
		c.board.RecordSent(now, &r.ask, &choice)
		r.choice, r.load = choice, choice.Load
		c.remoteRequests[key] = r
	case m.MayWait && choice.Reason == placement.ReasonFull:
		c.lastNumber++
		if c.board.Wait(now, c.lastNumber, &r.ask) {
			r.queueID = c.lastNumber
			c.remoteRequests[key], c.remoteByQueueID[r.queueID] = r, key
			c.enqueue(from, &wire.SlotResponse{Number: m.Number, Queued: true})
			return
		}
	}
	v := slotResponseMessage(m.Number, &choice)
	if known && choice.Target == "" && !m.AnyEngine {
		v.OtherTarget = c.board.AlternativeEngine(now, &r.ask)
	}
	c.enqueue(from, v)
}

// receivePromptPlaced records that an engine of another owner got a prompt whose shared parts are kept
// by an engine of this host.
func (c *core) receivePromptPlaced(m *wire.PromptPlaced) {
	chain, consistent := chainFromMessage(m.Prompt)
	if !consistent {
		return
	}
	c.mu.Lock()
	defer c.unlockAndSend()
	c.board.RecordCached(m.Target, chain)
}

// askFromMessage returns the request that a SlotRequest describes, and whether its prompt is
// consistent.
func askFromMessage(m *wire.SlotRequest) (placement.Request, bool) {
	chain, consistent := chainFromMessage(m.Prompt)
	return placement.Request{
		Service: m.Service, Team: m.Team, Chain: chain, MaxOutput: int(m.MaxOutputTokens), Remote: true,
		LatencyGoal: fromMillis(m.FirstEventLimit), AnswerTimeLimit: fromMillis(m.ResponseLimit), Elapsed: fromMillis(m.Elapsed),
		Excluded: m.Excluded, Regions: m.Regions, Priority: int(m.Priority), AnyEngine: m.AnyEngine, WantedEngine: m.Target, CachedTokens: min(int(m.CachedTokens), chain.SharedTokens()),
	}, consistent
}

// slotResponseMessage returns the answer to a slot request, with a choice.
func slotResponseMessage(number uint64, c *placement.Choice) *wire.SlotResponse {
	return &wire.SlotResponse{
		Number: number, Target: c.Target, PromptTokens: uint32(c.Load.Prompt), MemoryTokens: uint32(c.Load.Memory),
		QueueTokens: uint32(c.QueuedTokens), ExpectedFirstEvent: toMillis(c.ExpectedTime), RetryAfter: toMillis(c.RetryAfter), Reason: string(c.Reason),
		Standing: uint8(c.Standing), QueueLimit: toMillis(c.QueueLimit), QueueLength: toMillis(c.QueueTime),
	}
}

// answerRemote sends the host of a queued request the decision about it. The caller holds the
// lock.
func (c *core) answerRemote(g placement.Grant) {
	key, ok := c.remoteByQueueID[g.ID]
	if !ok {
		return
	}
	delete(c.remoteByQueueID, g.ID)
	r := c.remoteRequests[key]
	r.queueID, r.choice, r.load = 0, g.Choice, g.Choice.Load
	if g.Choice.Target == "" {
		delete(c.remoteRequests, key)
	}
	v := slotResponseMessage(key.number, &g.Choice)
	v.Waited = toMillis(time.Since(r.askedAt))
	c.enqueue(key.host, v)
}

// receiveLeaseUpdate records the first event or the end of a remote request, as its host reports
// it.
func (c *core) receiveLeaseUpdate(from uint64, m *wire.LeaseUpdate) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	key := remoteKey{host: from, number: m.Number}
	r := c.remoteRequests[key]
	if r == nil {
		return
	}
	took := time.Duration(m.Duration) * time.Microsecond
	r.ask.Lateness = time.Duration(m.Lateness) * time.Microsecond
	switch {
	case m.Ended:
		c.board.RecordRemoteEventGaps(now, r.choice.Target, int(m.IntervalCount), time.Duration(m.MeanInterval)*time.Microsecond)
		c.releaseRemote(now, key, r, placement.Outcome(m.Outcome), took)
	case m.Begun && r.queueID == 0 && r.load.Prompt > 0:
		r.load = c.board.RecordFirstEvent(now, &r.ask, r.choice, took)
	}
	c.serveWaiting(now, r.ask.Service)
}

// releaseRemote removes a remote request from the queue or frees the slot that it holds. The
// caller holds the lock.
func (c *core) releaseRemote(now time.Time, key remoteKey, r *remoteRequest, o placement.Outcome, took time.Duration) {
	delete(c.remoteRequests, key)
	if r.queueID != 0 {
		delete(c.remoteByQueueID, r.queueID)
		c.board.Withdraw(r.ask.Service, r.queueID)
		return
	}
	c.board.RecordEnd(now, &r.ask, r.choice.Target, r.load, o, took)
}

// receiveLeaseList renews the leases that a host lists, and records first events whose report was
// lost.
func (c *core) receiveLeaseList(from uint64, m *wire.LeaseList) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	for _, number := range m.Waiting {
		if r := c.remoteRequests[remoteKey{host: from, number: number}]; r != nil {
			r.lastListed = now
		}
	}
	for _, number := range m.Running {
		r := c.remoteRequests[remoteKey{host: from, number: number}]
		if r == nil {
			continue
		}
		r.lastListed = now
		if r.queueID == 0 && r.load.Prompt > 0 {
			r.load = c.board.RecordStarted(r.choice)
		}
	}
}

// expireRemoteRequests takes back slots from hosts that have not listed them for
// remoteLeaseTTL. Requests in the queue are kept. receivedUntil is the time up to which the silence
// of hosts is measured. The caller holds the lock.
func (c *core) expireRemoteRequests(now, receivedUntil time.Time) {
	for key, r := range c.remoteRequests {
		if r.queueID == 0 && receivedUntil.Sub(r.lastListed) > remoteLeaseTTL {
			c.releaseRemote(now, key, r, placement.NotSent, 0)
		}
	}
}

// toMillis returns a duration in milliseconds as messages carry it, 0 if it is negative.
func toMillis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// fromMillis returns the duration that a message carries in milliseconds.
func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// placeOf returns the data centre of another host, empty if the host is not among those that may own targets. The caller
// holds the lock.
func (c *core) placeOf(host uint64) string {
	for _, owner := range c.owners {
		if owner.ID == host {
			return owner.Place
		}
	}
	return ""
}
