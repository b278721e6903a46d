package target

import (
	"slices"
	"time"
)

// Kind is a kind of fault that affects a single answer.
type Kind string

// Kinds of faults.
const (
	KindPause  Kind = "pause"  // the target pauses at a position in the answer
	KindBreak  Kind = "break"  // the target resets the connection at a position in the answer
	KindRepeat Kind = "repeat" // the target writes the answer twice
	KindResume Kind = "resume" // the target answers a request to resume a stream with an error

	KindUnframed Kind = "unframed" // the answer has neither a length nor chunks and ends with its connection
	KindSpoil    Kind = "spoil"    // the number of an event is overwritten with letters
)

// Position is a point in an answer at which a fault can occur.
type Position string

// Positions in answers.
const (
	PositionBeforeHead        Position = "before-head"
	PositionInHead            Position = "in-head"
	PositionBeforeBody        Position = "before-body"
	PositionInBody            Position = "in-body"
	PositionBeforeEvent       Position = "before-event"
	PositionInChunkLength     Position = "in-length"
	PositionInEvent           Position = "in-event"
	PositionBeforeEnd         Position = "before-end"
	PositionBeforeNextRequest Position = "before-next-request"
)

// StreamPositions and PlainPositions are the positions in the answers of engines and of plain services.
var (
	StreamPositions = []Position{PositionBeforeHead, PositionInHead, PositionBeforeEvent, PositionInChunkLength, PositionInEvent, PositionBeforeEnd, PositionBeforeNextRequest}
	PlainPositions  = []Position{PositionBeforeHead, PositionInHead, PositionBeforeBody, PositionInBody, PositionBeforeNextRequest}
)

// Shapes of a repeated answer: with or without the header that names its attempt, written at once or,
// if late, when the next request runs.
const (
	RepeatWithID        = "named"
	RepeatWithoutID     = "nameless"
	RepeatLateWithID    = "named-late"
	RepeatLateWithoutID = "nameless-late"
)

// RepeatShapes lists the shapes of a repeated answer.
var RepeatShapes = []string{RepeatWithID, RepeatWithoutID, RepeatLateWithID, RepeatLateWithoutID}

// Fault is a fault that affects the next answer that reaches its position.
type Fault struct {
	Kind     Kind
	Position Position
	Shape    string        // one of RepeatShapes or ResumeShapes, for faults of these kinds
	Length   time.Duration // of a pause
	Until    time.Time     // the fault expires then, unless this is zero
}

// Arm adds a fault for the next answer that reaches its position.
func (t *Target) Arm(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingFaults = append(t.pendingFaults, f)
}

// PendingFaults returns the number of faults that have affected no answer yet.
func (t *Target) PendingFaults() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pendingFaults)
}

// Stall makes the whole target stall for a time: it keeps its connections but neither takes requests nor
// continues answers.
func (t *Target) Stall(length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalledUntil = time.Now().Add(length)
}

// RejectRequests makes the target reject requests for a time, as if its queue were full. If retry is positive,
// the rejections ask for no request during that time in a Retry-After header.
func (t *Target) RejectRequests(length, retry time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejectUntil, t.retryAfter = time.Now().Add(length), retry
}

// AnnounceLeaving makes all answers carry the header that says that the target is leaving, until it
// restarts.
func (t *Target) AnnounceLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// takeFault removes and returns the first pending fault of a kind at a position, and drops expired
// faults.
func (t *Target) takeFault(kind Kind, position Position) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.pendingFaults = slices.DeleteFunc(t.pendingFaults, func(f Fault) bool { return !f.Until.IsZero() && now.After(f.Until) })
	for n, f := range t.pendingFaults {
		if f.Kind == kind && f.Position == position {
			t.pendingFaults = slices.Delete(t.pendingFaults, n, n+1)
			return f, true
		}
	}
	return Fault{}, false
}
