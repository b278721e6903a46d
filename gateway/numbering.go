package gateway

import "sync"

const (
	minNumberedStreams = 4        // streams after which the numbering of a service is known
	maxGapShare        = 0.25     // largest share of streams with a gap, for a service whose numbers follow one another
	minStreamWeight    = 1.0 / 16 // of the newest stream in the share of streams with a gap
)

// numbering is what the recent streams of a service tell about the numbers of its events. The protocol promises only
// that they increase. Where they follow one another, a gap means that an event is missing or that a number is wrong;
// where they do not, it means nothing.
type numbering int

// Numberings of a service.
const (
	numberingUnknown     numbering = iota
	numberingConsecutive           // streams start with event 1, and each number follows the one before it
	numberingGapped                // numbers increase with gaps
)

// String returns the numbering as it is written to the log.
func (n numbering) String() string { return [...]string{"unknown", "consecutive", "gapped"}[n] }

// numberingHistory counts the streams of a service and keeps the share of the recent ones that had a gap.
type numberingHistory struct {
	streams  int
	gapShare float64
}

// numbering returns what the history tells.
func (h numberingHistory) numbering() numbering {
	switch {
	case h.streams < minNumberedStreams:
		return numberingUnknown
	case h.gapShare > maxGapShare:
		return numberingGapped
	}
	return numberingConsecutive
}

// observe returns the history with one more stream.
func (h numberingHistory) observe(gap bool) numberingHistory {
	h.streams++
	newest := 0.0
	if gap {
		newest = 1
	}
	h.gapShare += max(minStreamWeight, 1/float64(h.streams)) * (newest - h.gapShare)
	return h
}

// numberingTracker tracks how the events of each service are numbered.
type numberingTracker struct {
	mu       sync.Mutex
	services map[string]numberingHistory
}

// observe records whether a stream of a service had a gap. It returns the numbering and whether it changed.
func (t *numberingTracker) observe(service string, gap bool) (numbering, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.services[service]
	after := before.observe(gap)
	t.services[service] = after
	return after.numbering(), after.numbering() != before.numbering()
}

// of returns the numbering of a service.
func (t *numberingTracker) of(service string) numbering {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.services[service].numbering()
}
