package gateway

import (
	"runtime"
	"time"
)

// turnsPerWait is the number of times that a wait for another process takes its turn at
// the processor: to connect, to write and to read.
const turnsPerWait = 3

// nowAfterYield returns the time once what was ready to run before has run. A timer wakes its
// goroutine ahead of those, so its own lateness tells nothing of how long requests wait
// for the processor.
func nowAfterYield() time.Time {
	runtime.Gosched()
	return time.Now()
}

// timeoutWithLag returns how long to wait for another process that answers within a limit. The
// lateness of this host is not taken for a failure of the other side.
func (c *core) timeoutWithLag(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return limit + c.waitLag()
}

// silenceCheckTime returns the time by which a host that is not silent was heard of at a time. What
// it sent may wait to be read here. The caller holds the lock.
func (c *core) silenceCheckTime(now time.Time) time.Time { return now.Add(-c.waitLag()) }

// waitLag returns by how much a wait for another process is late here. The caller holds
// the lock.
func (c *core) waitLag() time.Duration { return turnsPerWait * c.lag.Mean() }
