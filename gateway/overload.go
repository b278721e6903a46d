package gateway

import (
	"time"

	"github.com/cassiachute/cassiachute/placement"
)

// overloadRetry is the least time after which a refused caller should retry. It is short, since a host gets
// through a burst within a few tenths of a second.
const overloadRetry = 50 * time.Millisecond

// overloadWait returns after what time a refused caller should retry: when the load balancer sends its
// connections to another host, or when this host can serve it. The caller holds the lock.
func (c *core) overloadWait(now time.Time) time.Duration {
	return max(overloadRetry, c.rotation.RerouteDelay(now))
}

// overloaded returns whether this host has to refuse a request of a team because it is short of processor
// time. Teams above their share are refused first. The caller holds the lock.
func (c *core) overloaded(now time.Time, service, team string) bool {
	standing := placement.Entitled
	if c.lag.Overloaded() {
		standing = c.board.Standing(now, service, team)
	}
	return c.lag.Refuses(now, standing)
}

// overloadState returns whether this host is short of processor time, and the mean lag of its ticks.
func (c *core) overloadState() (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag.Overloaded(), c.lag.Mean()
}
