package retry

// Result is what became of one send of a request to a target.
type Result uint8

// The results.
const (
	Unsent   Result = iota // no byte was handed over
	Rejected               // the target says that it did not run the request
	Failed                 // the target answered with a failure of its own
	Broken                 // the connection ended, or the answer can't be used
	Silent                 // no answer in time
)

// Verdict is what is to be done after a send that brought no answer.
type Verdict uint8

// The verdicts.
const (
	Again  Verdict = iota // send it to another target
	Refuse                // tell the caller that it has not run and never will
	Fail                  // tell the caller nothing of whether it ran
)

// maxUnreached is the number of targets that are tried in vain.
const maxUnreached = 3

// Rule is what the route of a request allows.
type Rule struct {
	Repeatable bool // may run more than once
	Attempts   int  // most targets that it may be sent to
}

// History is what became of all sends of a request so far. It answers targets that
// break off, reject or hang: a request that must not run twice is sent again only if
// it has not run for certain, and a refusal is never untrue.
type History struct {
	Sends     int // sends that handed over a byte
	MayHave   bool
	unreached int
}

// Take takes the result of a send.
func (h *History) Take(r Result) {
	switch r {
	case Unsent:
		h.unreached++
	case Rejected:
		h.Sends++
	default:
		h.Sends++
		h.MayHave = true
	}
}

// Decide returns what is to be done after the last result. Spend asks for a repeat
// out of the allowance; it is called only if everything else allows it.
func (h *History) Decide(rule Rule, r Result, spend func() bool) Verdict {
	if h.MayHave && !rule.Repeatable {
		return Fail
	}
	if r == Unsent && h.unreached < maxUnreached {
		return Again
	}
	if r != Unsent && h.Sends < rule.Attempts && spend() {
		return Again
	}
	if h.MayHave {
		return Fail
	}
	return Refuse
}
