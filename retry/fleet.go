package retry

import "time"

// Parameters of the sliding window of Allowance.
const (
	windowSlices = 10               // slices of a window
	sliceCount   = windowSlices + 1 // slices that are counted: the newest one is not over yet
	safetyFactor = 0.8              // part of the allowance that is used, since each host counts separately
)

// Allowance limits the repeats of one service over all hosts without calls between them: each
// host uses the ratio on its own requests and an even part of the fixed number. It guards targets
// that fail most requests, where repeats would double the load.
type Allowance struct {
	ratio        float64 // repeats per request
	fixedRepeats float64 // repeats in a window of all hosts whatever the number of requests
	sliceLength  time.Duration
	requests     [sliceCount]int // by slice, as a ring
	repeats      [sliceCount]int // by slice, as a ring
	startedAt    time.Time       // start of the first slice, by the monotonic clock
	newestSlice  int64           // number of the newest slice
}

// NewAllowance returns an Allowance of ratio × requests + fixed repeats in each window.
func NewAllowance(ratio, fixed float64, window time.Duration) *Allowance {
	return &Allowance{ratio: ratio, fixedRepeats: fixed, sliceLength: max(time.Millisecond, window/windowSlices)}
}

// advanceTo clears the slices that have expired and returns the ring index of the slice of a
// time.
func (a *Allowance) advanceTo(now time.Time) int {
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	number := int64(now.Sub(a.startedAt) / a.sliceLength)
	if number-a.newestSlice >= sliceCount {
		a.requests, a.repeats = [sliceCount]int{}, [sliceCount]int{}
		a.newestSlice = number
	}
	for a.newestSlice < number {
		a.newestSlice++
		a.requests[a.newestSlice%sliceCount] = 0
		a.repeats[a.newestSlice%sliceCount] = 0
	}
	return int(a.newestSlice % sliceCount)
}

// Earn counts a new request.
func (a *Allowance) Earn(now time.Time) { a.requests[a.advanceTo(now)]++ }

// Remaining returns the number of repeats that this host may send now, if the service has this many
// hosts.
func (a *Allowance) Remaining(now time.Time, hosts int) float64 {
	a.advanceTo(now)
	requests, repeats := 0, 0
	for i := range sliceCount {
		requests += a.requests[i]
		repeats += a.repeats[i]
	}
	allowed := safetyFactor * (a.ratio*float64(requests) + a.fixedRepeats/float64(max(1, hosts)))
	return max(0, allowed-float64(repeats))
}

// Spend returns whether this host may send a repeat now, and if so counts it.
func (a *Allowance) Spend(now time.Time, hosts int) bool {
	if a.Remaining(now, hosts) < 1 {
		return false
	}
	a.repeats[a.advanceTo(now)]++
	return true
}
