package gateway

import (
	"runtime"
	"time"
)

// turnsPerWait is how many times a wait for another process needs the processor on this host: to connect, to
// write and to read.
const turnsPerWait = 3

// nowAfterYield returns the time after all goroutines that were runnable have had a turn. A timer wakes its
// goroutine ahead of those, so the delay of the timer alone does not show how long requests wait for the
// processor.
func nowAfterYield() time.Time {
	runtime.Gosched()
	return time.Now()
}

// timeoutWithLag returns the timeout for another process that should answer within limit. It adds the lag of
// this host, so that this is not taken for a failure of the other side.
func (c *core) timeoutWithLag(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return limit + c.waitLag()
}

// silenceCheckTime returns now less the lag of this host. The silence of other hosts is measured up to that
// time, because messages that arrived since may not have been read yet. The caller holds the lock.
func (c *core) silenceCheckTime(now time.Time) time.Time { return now.Add(-c.waitLag()) }

// waitLag returns by how much the lag of this host delays a wait for another process. The caller holds the
// lock.
func (c *core) waitLag() time.Duration { return turnsPerWait * c.lag.Mean() }
