// Package processor uses up processor time in tests.
package processor

import (
	"runtime"
	"time"
)

const turn = 2 * time.Millisecond

// Burn uses the processor in short turns until a channel is closed. On a single processor,
// what waits to run waits for one turn of each that burns.
func Burn(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		for began := time.Now(); time.Since(began) < turn; {
		}
		runtime.Gosched()
	}
}
