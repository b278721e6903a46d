package gateway

import (
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/placement"
)

// electionInterval is the time between two updates of the hosts that own engines.
const electionInterval = 200 * time.Millisecond

// electionDue returns whether the hosts that own engines are to be updated again. The update
// takes noticeable time in a large fleet, so it is not done at every tick.
func (c *core) electionDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastElection) >= electionInterval
}

// updateOwners sets the other hosts that own engines. This host owns engines beside them
// unless it left the rotation of the load balancer.
func (c *core) updateOwners(now time.Time, owners []placement.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastElection = now
	away := c.rotation.Away()
	if slices.Equal(owners, c.owners) && away == c.ownsNone {
		return
	}
	c.owners, c.ownsNone = owners, away
	self := placement.Host{ID: c.self, Place: c.settings.Place}
	if away {
		c.board.Resign(self, owners)
		return
	}
	c.board.SetHosts(self, owners)
}
