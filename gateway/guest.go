package gateway

import (
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// guestLife is the time after which a slot is taken back from a host that does not list it
// among its leases.
const guestLife = 4 * leasesEvery

// guestKey names a request of another host.
type guestKey struct {
	host   uint64
	number uint64
}

// guest is a request of another host for an engine that this host owns.
type guest struct {
	ask       placement.Ask
	ticket    uint64           // in the queue here, 0 if it does not wait
	choice    placement.Choice // slot that it has
	left      placement.Load   // what it holds
	confirmed time.Time        // when its host last had it on a list
}

// enquire decides about a request of another host.
func (c *core) enquire(from uint64, m *wire.Enquiry) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlock()
	defer c.busy.since(activityChoose, now)
	key := guestKey{host: from, number: m.Number}
	if c.guests[key] != nil {
		return
	}
	ask, sound := askOf(m)
	g := &guest{ask: ask, confirmed: now}
	choice := placement.Choice{Reason: placement.ReasonMissing, After: staleRetry}
	known := sound && c.board.Knows(m.Service)
	if known {
		choice = c.board.Choose(now, &g.ask)
	}
	switch {
	case choice.Target != "":
		c.board.Sent(now, &g.ask, &choice)
		g.choice, g.left = choice, choice.Load
		c.guests[key] = g
	case m.MayWait && choice.Reason == placement.ReasonFull:
		c.last++
		if c.board.Wait(now, c.last, &g.ask) {
			g.ticket = c.last
			c.guests[key], c.tickets[g.ticket] = g, key
			c.write(from, &wire.Verdict{Number: m.Number, Queued: true})
			return
		}
	}
	v := verdictOf(m.Number, &choice)
	if known && choice.Target == "" && !m.AnyEngine {
		v.OtherTarget = c.board.Elsewhere(now, &g.ask)
	}
	c.write(from, v)
}

// kept takes that an engine of another owner got a prompt whose home is here.
func (c *core) kept(m *wire.PromptPlaced) {
	chain, sound := chainOf(m.Prompt)
	if !sound {
		return
	}
	c.mu.Lock()
	defer c.unlock()
	c.board.Kept(m.Target, chain)
}

// askOf returns the request of an enquiry, and whether the enquiry is consistent.
func askOf(m *wire.Enquiry) (placement.Ask, bool) {
	chain, sound := chainOf(m.Prompt)
	return placement.Ask{
		Service: m.Service, Team: m.Team, Chain: chain, Output: int(m.MaxOutputTokens), Guest: true,
		Aim: fromMillis(m.FirstEventLimit), Time: fromMillis(m.ResponseLimit), Elapsed: fromMillis(m.Elapsed),
		Excluded: m.Excluded, Anywhere: m.AnyEngine, Wanted: m.Target, Held: min(int(m.CachedTokens), chain.Shared()),
	}, sound
}

// verdictOf returns the answer with a choice.
func verdictOf(number uint64, c *placement.Choice) *wire.Verdict {
	return &wire.Verdict{
		Number: number, Target: c.Target, PromptTokens: uint32(c.Load.Prompt), MemoryTokens: uint32(c.Load.Memory),
		QueueTokens: uint32(c.Queue), ExpectedFirstEvent: toMillis(c.Expect), RetryAfter: toMillis(c.After), Reason: string(c.Reason),
		Standing: uint8(c.Team), QueueLimit: toMillis(c.Limit), QueueLength: toMillis(c.Waiting),
	}
}

// settle tells the host of a guest what became of its wait. The caller holds the lock.
func (c *core) settle(g placement.Grant) {
	key, ok := c.tickets[g.ID]
	if !ok {
		return
	}
	delete(c.tickets, g.ID)
	row := c.guests[key]
	row.ticket, row.choice, row.left = 0, g.Choice, g.Choice.Load
	if g.Choice.Target == "" {
		delete(c.guests, key)
	}
	c.write(key.host, verdictOf(key.number, &g.Choice))
}

// progress takes what became of a guest.
func (c *core) progress(from uint64, m *wire.Progress) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlock()
	key := guestKey{host: from, number: m.Number}
	g := c.guests[key]
	if g == nil {
		return
	}
	took := time.Duration(m.Duration) * time.Microsecond
	switch {
	case m.Ended:
		c.board.Gaps(g.choice.Target, int(m.IntervalCount), time.Duration(m.MeanInterval)*time.Microsecond)
		c.release(now, key, g, placement.Outcome(m.Outcome), took)
	case m.Begun && g.ticket == 0 && g.left.Prompt > 0:
		g.left = c.board.First(now, &g.ask, g.choice, took)
	}
	c.serve(now, g.ask.Service)
}

// release ends what a guest waits for or holds. The caller holds the lock.
func (c *core) release(now time.Time, key guestKey, g *guest, o placement.Outcome, took time.Duration) {
	delete(c.guests, key)
	if g.ticket != 0 {
		delete(c.tickets, g.ticket)
		c.board.Withdraw(g.ask.Service, g.ticket)
		return
	}
	c.board.Ended(now, &g.ask, g.choice.Target, g.left, o, took)
}

// confirmLeases takes the list of slots that a host holds here.
func (c *core) confirmLeases(from uint64, m *wire.Leases) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlock()
	for _, number := range m.Waiting {
		if g := c.guests[guestKey{host: from, number: number}]; g != nil {
			g.confirmed = now
		}
	}
	for _, number := range m.Running {
		g := c.guests[guestKey{host: from, number: number}]
		if g == nil {
			continue
		}
		g.confirmed = now
		if g.ticket == 0 && g.left.Prompt > 0 {
			g.left = c.board.Begun(g.choice)
		}
	}
}

// expireGuests takes slots back from hosts that did not list them since a time. The caller
// holds the lock.
func (c *core) expireGuests(now, heardBy time.Time) {
	for key, g := range c.guests {
		if g.ticket == 0 && heardBy.Sub(g.confirmed) > guestLife {
			c.release(now, key, g, placement.Returned, 0)
		}
	}
}

func toMillis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
