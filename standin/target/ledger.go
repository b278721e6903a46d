package target

import (
	"sync"
	"time"
)

// End says how a run ended.
type End string

// Ends of runs.
const (
	EndOpen    End = ""        // the request still runs
	EndDone    End = "done"    // the whole answer was written
	EndDropped End = "dropped" // the client closed the connection
	EndReset   End = "broke"   // the target reset the connection within the answer
	EndFailed  End = "failed"  // the target answered with an error
)

// Run records a request that got a slot of a target.
type Run struct {
	ID        string // of the caller's attempt
	Target    string
	Service   string
	Arrived   time.Time
	Began     time.Time // when work began, for an engine with the first event; zero if it never did
	Ended     time.Time
	End       End
	Shape     string // shape of the resume error that answered the request
	Corrupted bool   // a fault made the target write wrong bytes on the connection
}

// Arrival records a request that reached a target, whether it ran or not.
type Arrival struct {
	ID          string
	Target      string
	Received    time.Time // when the target had read the request
	At          time.Time // when it took the request, later than Received if it was stalled
	Misdirected bool      // the request expected another target and did not run
}

// Notice records an answer in which a target announced that it is leaving, or for how long it wants no
// requests.
type Notice struct {
	ID     string
	Target string
	At     time.Time
	Wait   time.Duration // time without requests; 0 if the target is leaving
}

// Crash records that a target reset all connections, and served again later under the same ID.
type Crash struct {
	Target   string
	At       time.Time
	ServedAt time.Time // zero if it did not serve again
}

// Ledger records what all targets received and ran. Its zero value is ready for use.
type Ledger struct {
	mu       sync.Mutex
	runs     []*Run
	arrivals []Arrival
	leaving  map[string]time.Time
	notices  []Notice
	crashes  []Crash
}

func (l *Ledger) recordArrival(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// recordRun adds the record of a run and returns it for further changes.
func (l *Ledger) recordRun(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &r)
	return &r
}

// recordBegin records that work on a run begins. Only the first call has an effect.
func (l *Ledger) recordBegin(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Began.IsZero() {
		r.Began = time.Now()
	}
}

// recordEnd records how a run ended. Only the first end counts.
func (l *Ledger) recordEnd(r *Run, e End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.End == EndOpen {
		r.End, r.Ended = e, time.Now()
	}
}

// markFaulty marks a run that a repeated answer or the shape of a resume error affects.
func (l *Ledger) markFaulty(r *Run, shape string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Corrupted, r.Shape = true, shape
}

func (l *Ledger) recordNotice(a Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices = append(l.notices, a)
}

func (l *Ledger) recordCrash(c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, c)
}

// RecordLeaving records that the store has accepted that a target is leaving.
func (l *Ledger) RecordLeaving(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving == nil {
		l.leaving = map[string]time.Time{}
	}
	l.leaving[target] = at
}

// Records is a copy of the records of a Ledger.
type Records struct {
	Runs     []Run
	Arrivals []Arrival
	Leaving  map[string]time.Time // when the store accepted that a target is leaving
	Notices  []Notice
	Crashes  []Crash
}

// Records returns a copy of all records.
func (l *Ledger) Records() Records {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Records{
		Arrivals: append([]Arrival(nil), l.arrivals...),
		Notices:  append([]Notice(nil), l.notices...),
		Crashes:  append([]Crash(nil), l.crashes...),
		Leaving:  map[string]time.Time{},
	}
	for _, run := range l.runs {
		r.Runs = append(r.Runs, *run)
	}
	for target, at := range l.leaving {
		r.Leaving[target] = at
	}
	return r
}
