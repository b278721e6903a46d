package retry

import "time"

const (
	windowSlices = 10               // of the window
	slices       = windowSlices + 1 // that are counted: the newest one is not over yet
	safety       = 0.8              // part of the allowance that is used, since hosts count apart
)

// Allowance bounds the repeats of one service over the whole fleet without
// calls between hosts: each host uses the ratio on its own requests and an even
// part of the fixed sum. It answers targets that fail most requests, where
// repeats would double their load.
type Allowance struct {
	ratio    float64
	fixed    float64
	slice    time.Duration
	requests [slices]int
	repeats  [slices]int
	began    time.Time // from which slices are counted, by the steady clock
	at       int64     // number of the newest slice
}

// NewAllowance returns an Allowance of ratio × requests + fixed repeats in each
// window.
func NewAllowance(ratio, fixed float64, window time.Duration) *Allowance {
	return &Allowance{ratio: ratio, fixed: fixed, slice: max(time.Millisecond, window/windowSlices)}
}

func (a *Allowance) advance(now time.Time) int {
	if a.began.IsZero() {
		a.began = now
	}
	number := int64(now.Sub(a.began) / a.slice)
	if number-a.at >= slices {
		a.requests, a.repeats = [slices]int{}, [slices]int{}
		a.at = number
	}
	for a.at < number {
		a.at++
		a.requests[a.at%slices] = 0
		a.repeats[a.at%slices] = 0
	}
	return int(a.at % slices)
}

// Earn takes a new request.
func (a *Allowance) Earn(now time.Time) { a.requests[a.advance(now)]++ }

// Left returns the number of repeats that are allowed now in a fleet of so many
// hosts.
func (a *Allowance) Left(now time.Time, hosts int) float64 {
	a.advance(now)
	requests, repeats := 0, 0
	for i := range slices {
		requests += a.requests[i]
		repeats += a.repeats[i]
	}
	allowed := safety * (a.ratio*float64(requests) + a.fixed/float64(max(1, hosts)))
	return max(0, allowed-float64(repeats))
}

// Spend returns whether a repeat is allowed in a fleet of so many hosts, and
// takes it.
func (a *Allowance) Spend(now time.Time, hosts int) bool {
	if a.Left(now, hosts) < 1 {
		return false
	}
	a.repeats[a.advance(now)]++
	return true
}
