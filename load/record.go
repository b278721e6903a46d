package load

import "time"

// Record is the outcome of one request. Times are relative to the start of the
// run.
type Record struct {
	Stream       int
	ID           string
	Order        string
	Sent         time.Duration
	QueueTime    time.Duration // time until a slot was granted, as the entry host reports it
	FirstByte    time.Duration // time of the first token, or of an answer that is not streamed
	End          time.Duration
	Status       int
	Outcome      string // outcome of a refusal
	Code         string // code of a refusal
	PromptTokens int    // uncached prompt tokens
	AnswerTokens int
	TokensByStep []int32 // tokens per grid step, starting with the step of the first token
	Broken       bool    // the answer ended early, and the caller could see it
	Wrong        bool    // the answer ended cleanly, but is incomplete or belongs to another request
	Lost         bool    // no answer arrived
	Abandoned    bool    // the caller disconnected at the end of the run
	Replayed     bool    // the answer is the stored result of an earlier run
	Error        string  // error of a lost or broken request
}

// Served reports whether the request was answered completely and correctly.
func (r *Record) Served() bool {
	return r.Status == statusOK && !r.Broken && !r.Wrong && !r.Lost
}

// GrantedAt returns the time at which the request got its slot.
func (r *Record) GrantedAt() time.Duration { return min(r.Sent+r.QueueTime, r.End) }

// Cost returns the cost of the request in cost units.
func (r *Record) Cost(plain bool) float64 {
	if plain {
		return float64((r.End - r.GrantedAt()).Milliseconds())
	}
	return float64(r.PromptTokens + r.AnswerTokens)
}

// addToken records the arrival of a token.
func (r *Record) addToken(at time.Duration) {
	if r.FirstByte == 0 {
		r.FirstByte = at
	}
	r.AnswerTokens++
	for n := int(at/gridStep) - int(r.FirstByte/gridStep); len(r.TokensByStep) <= n; {
		r.TokensByStep = append(r.TokensByStep, 0)
	}
	r.TokensByStep[int(at/gridStep)-int(r.FirstByte/gridStep)]++
}

// CostUntil returns the cost units that the request received until a time.
func (r *Record) CostUntil(at time.Duration, plain bool) float64 {
	if r.Status != statusOK || at <= r.GrantedAt() {
		return 0
	}
	if at >= r.End {
		return r.Cost(plain)
	}
	if plain {
		return float64((at - r.GrantedAt()).Milliseconds())
	}
	if at < r.FirstByte || r.FirstByte == 0 {
		return 0
	}
	tokens := int32(0)
	for n := range min(int(at/gridStep)-int(r.FirstByte/gridStep), len(r.TokensByStep)) {
		tokens += r.TokensByStep[n]
	}
	return float64(r.PromptTokens) + float64(tokens)
}

// Sample is the total state of all targets of a service at one time.
type Sample struct {
	At      time.Duration
	Running int
	Waiting int
	Batch   int
	Busy    float64 // slot-seconds since the start
}
