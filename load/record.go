package load

import "time"

// Record is what became of one request. Times are since the start of the run.
type Record struct {
	Stream    int
	ID        string
	Order     string
	Sent      time.Duration
	Waited    time.Duration // time without a slot, as the entry tells
	First     time.Duration // first token or byte
	End       time.Duration
	Status    int
	Outcome   string // outcome of a refusal
	Code      string // code of a refusal
	Prompt    int    // uncached prompt tokens
	Tokens    int
	Arrived   []int32 // tokens by grid step, from the step of the first one on
	Broken    bool    // the answer broke off, and the caller could see it
	Wrong     bool    // the answer is incomplete or not one's own, and ended cleanly
	Lost      bool    // no answer at all
	Abandoned bool    // the caller hung up at the end of the run
	Replay    bool    // stored result of an earlier run
	Fault     string  // why the answer broke off or was lost
}

// Served returns whether the request got its answer.
func (r *Record) Served() bool {
	return r.Status == statusOK && !r.Broken && !r.Wrong && !r.Lost
}

// Granted returns when the request got its slot.
func (r *Record) Granted() time.Duration { return min(r.Sent+r.Waited, r.End) }

// Cost returns the cost of the request in cost units.
func (r *Record) Cost(plain bool) float64 {
	if plain {
		return float64((r.End - r.Granted()).Milliseconds())
	}
	return float64(r.Prompt + r.Tokens)
}

// arrive notes a token.
func (r *Record) arrive(at time.Duration) {
	if r.First == 0 {
		r.First = at
	}
	r.Tokens++
	for n := int(at/gridStep) - int(r.First/gridStep); len(r.Arrived) <= n; {
		r.Arrived = append(r.Arrived, 0)
	}
	r.Arrived[int(at/gridStep)-int(r.First/gridStep)]++
}

// Received returns the cost units received until a time.
func (r *Record) Received(at time.Duration, plain bool) float64 {
	if r.Status != statusOK || at <= r.Granted() {
		return 0
	}
	if at >= r.End {
		return r.Cost(plain)
	}
	if plain {
		return float64((at - r.Granted()).Milliseconds())
	}
	if at < r.First || r.First == 0 {
		return 0
	}
	tokens := int32(0)
	for n := range min(int(at/gridStep)-int(r.First/gridStep), len(r.Arrived)) {
		tokens += r.Arrived[n]
	}
	return float64(r.Prompt) + float64(tokens)
}

// Sample is the state of all targets of a service at a time.
type Sample struct {
	At      time.Duration
	Running int
	Waiting int
	Batch   int
	Busy    float64 // slot-seconds since the start
}
