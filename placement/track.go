package placement

import "time"

// Asked takes the arrival of a request.
func (b *Board) Asked(now time.Time, a *Ask) {
	p := b.pool(a.Service)
	p.team(a.Team).asked.add(now, a.Cost())
	p.learnNeed(a)
}

// Sent takes a request that goes to its target.
func (b *Board) Sent(now time.Time, a *Ask, c *Choice) {
	r := b.rows[c.Target]
	if r == nil {
		return
	}
	r.own.add(c.Load)
	c.Queue = r.load().Prompt
	r.memory.keep(a.Chain)
	use := b.pool(a.Service).team(a.Team)
	use.received.add(now, a.Cost())
	use.running += c.Load.Running
}

// First takes the first event of a request. What the request still holds is
// returned.
func (b *Board) First(now time.Time, a *Ask, c Choice, took time.Duration) Load {
	r := b.rows[c.Target]
	left := c.Load
	left.Prompt = 0
	if r == nil {
		return left
	}
	r.own.sub(Load{Prompt: c.Load.Prompt})
	r.flows++
	r.heard = now
	p := b.pool(a.Service)
	expected := seconds(p.pace.Start()) + p.pace.Wait(c.Queue)
	r.health.took(took, expected)
	if r.health.drag() < usualDrag {
		p.pace.Learn(c.Queue, took)
	}
	return left
}

// usualDrag is the slowness from which a target tells nothing of the others.
const usualDrag = 2.0

// Outcome is how a request ended at its target.
type Outcome uint8

// The outcomes.
const (
	Done     Outcome = iota // a complete answer
	Failed                  // an answer that is a failure, or a broken one
	Rejected                // the target did not run it
	Silent                  // no answer in time
	Unreached
	Withdrawn // the caller left
	Returned  // nothing was sent
)

// Ended takes the end of a request at its target.
func (b *Board) Ended(now time.Time, a *Ask, target string, left Load, o Outcome, took time.Duration) {
	r := b.rows[target]
	if r == nil {
		return
	}
	r.own.sub(left)
	use := b.pool(a.Service).team(a.Team)
	use.running = max(0, use.running-left.Running)
	if left.Prompt > 0 && o != Withdrawn {
		use.received.take(now, a.Cost())
	}
	if left.Prompt == 0 && left.Running > 0 {
		r.flows = max(0, r.flows-1)
	}
	switch o {
	case Done:
		r.health.succeed()
		p := b.pool(a.Service)
		if p.engine == nil {
			p.typical += scale(took-p.typical, typicalWeight)
		}
	case Failed:
		r.health.fail()
	case Silent, Unreached:
		r.health.suspend(now)
	case Rejected, Withdrawn, Returned:
	}
}
