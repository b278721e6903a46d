// Package processor consumes processor time in tests.
package processor

import (
	"runtime"
	"time"
)

const burnInterval = 2 * time.Millisecond // busy time between two yields to the scheduler

// Burn keeps the processor busy until a channel is closed and yields after short intervals. On a single
// processor, other goroutines wait for one interval of each goroutine that burns.
func Burn(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		for start := time.Now(); time.Since(start) < burnInterval; {
		}
		runtime.Gosched()
	}
}
