package gateway

import (
	"time"

	"github.com/cassiachute/cassiachute/placement"
)

// overloadRetry is short, since a host sheds what came at once within some tenths of a second.
const overloadRetry = 50 * time.Millisecond

// overloadWait returns when a caller that this host refuses may be served: by another host
// once the balancer sends its connections there, or here. The caller holds the lock.
func (c *core) overloadWait(now time.Time) time.Duration {
	return max(overloadRetry, c.rotation.Moved(now))
}

// overloaded returns whether this host is too short of processor time to take a
// request. The caller holds the lock.
func (c *core) overloaded(now time.Time, service, team string) bool {
	standing := placement.Entitled
	if c.lag.Overloaded() {
		standing = c.board.Standing(now, service, team)
	}
	return c.lag.Refuses(now, standing)
}

// overloadState returns whether this host is short of processor time, and how overloadState its ticks
// come.
func (c *core) overloadState() (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag.Overloaded(), c.lag.Mean()
}
