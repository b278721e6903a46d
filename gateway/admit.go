package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
)

// arrival is what is known of a request before an exchange is made for it.
type arrival struct {
	ask     placement.Ask
	resumed bool // it goes on with a stream that was admitted before
}

// arrivalOf returns the arrival of a request of a team.
func arrivalOf(r *route.Route, call *platform.Call, team string) *arrival {
	return &arrival{
		ask: placement.Ask{
			Service: serviceOf(r, call), Team: team, Output: call.MaxOutput, Seed: xxhash.Sum64String(call.ID),
			Chain: placement.Chain{Total: call.PromptTokens},
		},
		resumed: call.LastEvent != "",
	}
}

// admit returns a problem if the team of a request asks for more than its quota or this host is
// too short of processor time. What is refused counts as asked for.
func (c *core) admit(now time.Time, a *arrival) *problem {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.checkArrival(now, a)
	if p != nil {
		c.board.Declined(now, &a.ask)
	}
	return p
}

// checkArrival returns a problem if a request is to be refused on arrival. The caller holds the
// lock.
func (c *core) checkArrival(now time.Time, a *arrival) *problem {
	if admitted, after := c.board.Admit(now, &a.ask); !admitted && !a.resumed {
		return notRun(reasonQuota, after)
	}
	if c.overloaded(now, a.ask.Service, a.ask.Team) {
		return notRun(reasonOverloaded, c.overloadWait(now))
	}
	return nil
}
