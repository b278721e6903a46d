package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/quarantine"
	"github.com/cassiachute/cassiachute/route"
)

// arrival is what is known of a request when it is admitted or refused, before it has an exchange.
type arrival struct {
	ask           placement.Request
	resumesStream bool               // it continues a stream that was admitted before
	traits        []quarantine.Trait // of the request, nil if no trait is held
}

// newArrival returns the arrival of a request of a team.
func newArrival(r *route.Route, call *platform.Call, team string) *arrival {
	return &arrival{
		ask: placement.Request{
			Service: pickService(r, call), Team: team, MaxOutput: call.MaxOutput, Seed: xxhash.Sum64String(call.ID),
			Chain: placement.PrefixChain{Total: call.PromptTokens},
		},
		resumesStream: call.LastEvent != "",
	}
}

// admit returns a problem if the request is kept from targets, its team is over its quota or this host
// is overloaded. A refused request counts as demand of its team, unless no target may run it.
func (c *core) admit(now time.Time, a *arrival) *problem {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.traitProblem(now, a.traits); p != nil {
		return p
	}
	p := c.checkArrival(now, a)
	if p != nil {
		c.board.RecordRefused(now, &a.ask)
	}
	return p
}

// checkArrival returns a problem if a request has to be refused on arrival. A request that continues
// a stream is never refused for its quota. The caller holds the lock.
func (c *core) checkArrival(now time.Time, a *arrival) *problem {
	if admitted, after := c.board.Admit(now, &a.ask); !admitted && !a.resumesStream {
		return overShare(reasonQuota, after)
	}
	if c.overloaded(now, a.ask.Service, a.ask.Team) {
		return notRun(reasonOverloaded, c.overloadWait(now))
	}
	return nil
}
