package gateway

import (
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	ownerTimeout = 50 * time.Millisecond  // in which an owner answers
	muteTime     = 500 * time.Millisecond // for which an owner that did not answer is not asked
	muteSilences = 2                      // enquiries in a row without an answer: one may be lost
	leasesEvery  = 500 * time.Millisecond // between two lists of the slots that a host holds
)

// lease is a request that another host is asked for a slot for, or has one from.
type lease struct {
	number  uint64
	host    uint64
	ask     *placement.Ask
	begun   bool             // the first event came
	granted bool             // it has a slot
	answers chan ownerAnswer // what the owner says
}

// ownerAnswer is what an owner says about a request.
type ownerAnswer struct {
	choice placement.Choice
	queued bool   // it waits there
	hint   string // engine to ask for instead
}

// step is how far a request came on its way to a target.
type step struct {
	choice placement.Choice
	lease  *lease // the owner that is asked, nil if this host decides
	waits  bool   // it waits here
	over   bool   // nobody is left to ask
	last   bool   // there is none after it
}

// next takes the next step of a request that has no target yet.
func (c *core) next(x *exchange) step {
	now := time.Now()
	c.mu.Lock()
	defer c.unlock()
	defer c.busy.since(activityChoose, now)
	mayWait := x.hurry == 0
	if !c.board.Owned(x.service) {
		return c.decideAlone(now, x, mayWait)
	}
	referral, ok := c.board.Next(now, &x.ask)
	switch {
	case !ok && x.ask.Referrals() == 0:
		return c.decideAlone(now, x, mayWait)
	case !ok:
		return step{over: true}
	}
	referral.Wait = referral.Wait && mayWait
	x.ask.Anywhere, x.ask.Wanted, x.ask.Held = referral.Anywhere, referral.Target, 0
	switch {
	case referral.Host == c.self:
		s := c.decide(now, x, referral.Wait)
		if s.choice.Target == "" && !s.waits && !referral.Anywhere {
			x.ask.Hint = c.board.Elsewhere(now, &x.ask)
		}
		return s
	case now.Before(c.mute[referral.Host]):
		return c.decideAlone(now, x, mayWait)
	}
	c.last++
	l := &lease{number: c.last, host: referral.Host, ask: &x.ask, answers: make(chan ownerAnswer, 2)}
	c.leases[l.number] = l
	enquiry := enquiryOf(x, l.number, &referral)
	enquiry.Excluded = append(enquiry.Excluded, c.board.Pausing(now, x.service)...)
	c.write(l.host, enquiry)
	return step{lease: l}
}

// decide decides here about a request. The caller holds the lock.
func (c *core) decide(now time.Time, x *exchange, wait bool) step {
	s := step{choice: c.board.Choose(now, &x.ask)}
	switch {
	case s.choice.Target != "":
		c.board.Sent(now, &x.ask, &s.choice)
		c.tellHome(&x.ask, c.self, s.choice.Target)
	case wait && s.choice.Reason == placement.ReasonFull:
		s.waits = c.board.Wait(now, x.id, &x.ask)
	}
	return s
}

// decideAlone decides about a request for which an owner does not answer, by what is known
// of all engines here. The caller holds the lock.
func (c *core) decideAlone(now time.Time, x *exchange, wait bool) step {
	x.ask.Wanted = ""
	s := c.decide(now, x, wait)
	s.last = true
	return s
}

// silent takes that an owner did not answer, and decides about the request in its place.
func (c *core) silent(x *exchange, l *lease) step {
	now := time.Now()
	c.mu.Lock()
	defer c.unlock()
	if c.silences[l.host]++; c.silences[l.host] >= muteSilences {
		c.mute[l.host] = now.Add(muteTime)
	}
	c.giveUp(l)
	return c.decideAlone(now, x, x.hurry == 0)
}

// abandon ends a lease whose request ended before it had an answer.
func (c *core) abandon(l *lease) {
	c.mu.Lock()
	defer c.unlock()
	c.giveUp(l)
}

// giveUp returns a lease to its owner. The caller holds the lock.
func (c *core) giveUp(l *lease) {
	delete(c.leases, l.number)
	c.giveBack(l.host, l.number)
}

// giveBack tells an owner that nobody uses a slot or a place in its queue. The caller holds the
// lock.
func (c *core) giveBack(host, number uint64) {
	c.write(host, &wire.Progress{Number: number, Ended: true, Outcome: uint8(placement.Returned)})
}

// patience returns how long a request may wait for a target.
func (c *core) patience(x *exchange) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.Patience(&x.ask)
}

// enquiryOf returns the message that asks an owner about a request.
func enquiryOf(x *exchange, number uint64, referral *placement.Referral) *wire.Enquiry {
	a := &x.ask
	return &wire.Enquiry{
		Number: number, Service: a.Service, Team: a.Team, Target: referral.Target, Prompt: promptOf(a.Chain),
		CachedTokens: uint32(referral.Held), MaxOutputTokens: uint32(a.Output),
		FirstEventLimit: toMillis(a.Aim), ResponseLimit: toMillis(a.Time), Elapsed: toMillis(a.Elapsed),
		MayWait: referral.Wait, AnyEngine: referral.Anywhere, Excluded: slices.Clone(a.Excluded),
	}
}

// promptOf returns the message that names the shared parts of a prompt.
func promptOf(c placement.Chain) wire.Prompt {
	p := wire.Prompt{Parts: c.Names, TotalTokens: uint32(c.Total)}
	for _, tokens := range c.Tokens {
		p.PartTokens = append(p.PartTokens, uint32(tokens))
	}
	return p
}

// chainOf returns the shared parts that a message names. It returns false if the message is
// not consistent.
func chainOf(p wire.Prompt) (placement.Chain, bool) {
	c := placement.Chain{Names: p.Parts, Total: int(p.TotalTokens)}
	for _, tokens := range p.PartTokens {
		c.Tokens = append(c.Tokens, int(tokens))
	}
	sound := len(c.Names) == len(c.Tokens) && slices.IsSorted(c.Tokens) && c.Shared() <= c.Total
	return c, sound
}

// verdict takes the answer of an owner. A slot that nobody waits for any more is returned.
func (c *core) verdict(from uint64, m *wire.Verdict) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlock()
	delete(c.silences, from)
	l := c.leases[m.Number]
	if l == nil || l.host != from || l.granted {
		if m.Target != "" && l == nil {
			c.giveBack(from, m.Number)
		}
		return
	}
	a := ownerAnswer{choice: choiceOf(m), queued: m.Queued, hint: m.OtherTarget}
	switch {
	case m.Target != "" && !c.board.Serves(now, m.Target):
		a.choice = placement.Choice{Reason: placement.ReasonMissing, After: staleRetry}
		c.giveUp(l)
	case m.Target != "":
		l.granted = true
		c.board.Kept(m.Target, l.ask.Chain)
		c.tellHome(l.ask, l.host, m.Target)
	case !m.Queued:
		delete(c.leases, m.Number)
	}
	select {
	case l.answers <- a:
	default: // an owner says no more than two things
	}
}

// tellHome tells the owner of the home of a prompt's shared parts that another engine got it.
// The caller holds the lock.
func (c *core) tellHome(a *placement.Ask, decider uint64, target string) {
	home := c.board.Home(a)
	if home.Target == "" || home.Target == target || home.Host == c.self || home.Host == decider {
		return
	}
	c.write(home.Host, &wire.PromptPlaced{Target: target, Prompt: promptOf(a.Chain)})
}

// choiceOf returns the choice of a verdict.
func choiceOf(m *wire.Verdict) placement.Choice {
	c := placement.Choice{
		Target: m.Target, Queue: int(m.QueueTokens), Expect: fromMillis(m.ExpectedFirstEvent), After: fromMillis(m.RetryAfter),
		Reason: placement.Reason(m.Reason), Team: placement.Standing(m.Standing),
		Limit: fromMillis(m.QueueLimit), Waiting: fromMillis(m.QueueLength),
	}
	if m.Target != "" {
		c.Lease = m.Number
		c.Load = placement.Load{Prompt: int(m.PromptTokens), Running: 1, Memory: int(m.MemoryTokens)}
	}
	return c
}

// begun takes the first event of a request that another host gave a slot. The caller holds
// the lock.
func (c *core) begun(now time.Time, x *exchange, choice placement.Choice, took time.Duration) placement.Load {
	left := choice.Load
	left.Prompt = 0
	c.board.FirstElsewhere(now, &x.ask, choice, took)
	if l := c.leases[choice.Lease]; l != nil {
		l.begun = true
		c.write(l.host, &wire.Progress{Number: l.number, Begun: true, Duration: uint32(took.Microseconds())})
	}
	return left
}

// returned takes the end of a request that another host gave a slot. The caller holds the
// lock.
func (c *core) returned(now time.Time, x *exchange, choice placement.Choice, left placement.Load, o placement.Outcome, took time.Duration) {
	c.board.EndedElsewhere(now, choice.Target, left, o)
	l := c.leases[choice.Lease]
	if l == nil {
		return
	}
	delete(c.leases, l.number)
	m := &wire.Progress{Number: l.number, Ended: true, Outcome: uint8(o), Duration: uint32(took.Microseconds()), IntervalCount: uint32(x.pauses)}
	if left.Prompt > 0 {
		m.IntervalCount = 0 // they are of the target before
	}
	if m.IntervalCount > 0 {
		m.MeanInterval = uint32((x.paused / time.Duration(x.pauses)).Microseconds())
	}
	c.write(l.host, m)
}

// renew tells each owner which of its slots this host holds.
func (g *Gateway) renew() time.Duration {
	c := g.core
	c.mu.Lock()
	defer c.unlock()
	lists := map[uint64]*wire.Leases{}
	for number, l := range c.leases {
		list := lists[l.host]
		if list == nil {
			list = &wire.Leases{}
			lists[l.host] = list
		}
		if l.begun {
			list.Running = append(list.Running, number)
		} else {
			list.Waiting = append(list.Waiting, number)
		}
	}
	for host, list := range lists {
		c.write(host, list)
	}
	return leasesEvery
}
