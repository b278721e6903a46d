package load

import (
	"time"
)

// used returns slot-seconds used and offered while work of a service waited,
// and for how long it waited.
func (r *Run) used(service string) (busy, offered, observed float64) {
	waiting := r.waiting(service)
	samples := r.samples[service]
	for i := 1; i < len(samples); i++ {
		from, to := samples[i-1], samples[i]
		if !waitingBetween(waiting, from.At, to.At) {
			continue
		}
		took := (to.At - from.At).Seconds()
		busy += to.Busy - from.Busy
		offered += took * float64(to.Batch)
		observed += took
	}
	return busy, offered, observed
}

// waiting returns the number of waiting requests at each grid point.
func (r *Run) waiting(service string) []int {
	accounts, _ := r.accounts(service, func(Stream) bool { return true })
	total := make([]int, int(r.plan.Length.Duration/gridStep)+1)
	for _, a := range accounts {
		for n, waiting := range a.waiting {
			total[n] += waiting
		}
	}
	return total
}

// waitingBetween returns whether work waited at all grid points around a time.
func waitingBetween(waiting []int, from, to time.Duration) bool {
	for n := int(from / gridStep); n <= int(to/gridStep)+1; n++ {
		if n >= len(waiting) || waiting[n] == 0 {
			return false
		}
	}
	return true
}

func (r *Run) busy(service string) (part, observed float64) {
	busy, offered, observed := r.used(service)
	if offered == 0 {
		return 1, 0
	}
	return busy / offered, observed
}

func (r *Run) allBusy() float64 {
	busy, offered := 0.0, 0.0
	for _, service := range r.services() {
		b, o, _ := r.used(service)
		busy += b
		offered += o
	}
	if offered == 0 {
		return 1
	}
	return busy / offered
}
