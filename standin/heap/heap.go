// Package heap measures the heap of a process in tests, as on a host with little memory.
package heap

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"
)

const (
	interval          = 2 * time.Millisecond // between two looks at the heap
	collectorPercent  = 200                  // growth of the heap between collections, as the gateway sets it
	collectorFraction = 0.75                 // of the memory, beyond which the collector works harder, as the gateway sets it
)

// Watch measures by how much the heap grows until the returned function is called, which returns its largest growth
// in bytes. What earlier tests of the process left behind does not count. Until the end of the test, the garbage
// collector has the limits that the gateway sets on a host with some bytes of memory.
func Watch(t testing.TB, memory uint64) func() uint64 {
	runtime.GC()
	before := allocated()
	limit, percent := debug.SetMemoryLimit(int64(before+uint64(collectorFraction*float64(memory)))), debug.SetGCPercent(collectorPercent)
	t.Cleanup(func() {
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(percent)
	})
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		largest := before
		for {
			largest = max(largest, allocated())
			select {
			case <-stop:
				peak <- largest - before
				return
			case <-time.After(interval):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-peak
	}
}

// allocated returns the bytes of the heap in use.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
