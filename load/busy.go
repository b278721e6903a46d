package load

import (
	"time"
)

// slotUsage returns the slot-seconds used and offered while requests for a service
// were waiting, and for how many seconds requests were waiting.
func (r *Run) slotUsage(service string) (busy, offered, observed float64) {
	waiting := r.waitingByStep(service)
	samples := r.samples[service]
	for i := 1; i < len(samples); i++ {
		from, to := samples[i-1], samples[i]
		if !alwaysWaiting(waiting, from.At, to.At) {
			continue
		}
		elapsed := (to.At - from.At).Seconds()
		busy += to.Busy - from.Busy
		offered += elapsed * float64(to.Batch)
		observed += elapsed
	}
	return busy, offered, observed
}

// waitingByStep returns the number of waiting requests at each grid point.
func (r *Run) waitingByStep(service string) []int {
	usages, _ := r.teamUsages(service, func(Stream) bool { return true })
	total := make([]int, int(r.plan.Length.Duration/gridStep)+1)
	for _, a := range usages {
		for n, waiting := range a.waiting {
			total[n] += waiting
		}
	}
	return total
}

// alwaysWaiting reports whether requests were waiting at every grid point of an
// interval.
func alwaysWaiting(waiting []int, from, to time.Duration) bool {
	for n := int(from / gridStep); n <= int(to/gridStep)+1; n++ {
		if n >= len(waiting) || waiting[n] == 0 {
			return false
		}
	}
	return true
}

// utilization returns the share of the slot time of a service that was used while
// requests were waiting, and for how many seconds requests were waiting.
func (r *Run) utilization(service string) (share, observed float64) {
	busy, offered, observed := r.slotUsage(service)
	if offered == 0 {
		return 1, 0
	}
	return busy / offered, observed
}

// totalUtilization returns the share of the slot time of all services that was
// used while requests were waiting.
func (r *Run) totalUtilization() float64 {
	busy, offered := 0.0, 0.0
	for _, service := range r.services() {
		b, o, _ := r.slotUsage(service)
		busy += b
		offered += o
	}
	if offered == 0 {
		return 1
	}
	return busy / offered
}
