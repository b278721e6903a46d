package gateway

import (
	"sync"
	"time"
)

const (
	durationDecay = 0.05 // fraction of the difference by which a tracked maximum approaches a lower value
	minPaceEvents = 4    // a stream must have more events than this to tell the interval between events
)

// routeDurations holds the slowly decaying maxima of the durations of a route's recent streams.
type routeDurations struct {
	firstEvent    time.Duration // from arrival to the first event
	eventInterval time.Duration // mean interval between the events of a stream
	total         time.Duration // from arrival to the end of the stream
}

// durationTracker tracks how long the streams of each route take, to tell which requests can still
// end before the host stops.
type durationTracker struct {
	mu     sync.Mutex
	routes map[string]routeDurations
}

// observe records the durations of a finished stream and its number of events.
func (t *durationTracker) observe(route string, firstEvent, total time.Duration, events uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.routes[route]
	next := routeDurations{firstEvent: decayingMax(known.firstEvent, firstEvent), eventInterval: known.eventInterval, total: decayingMax(known.total, total)}
	if events > minPaceEvents {
		next.eventInterval = decayingMax(known.eventInterval, (total-firstEvent)/time.Duration(events-1))
	}
	t.routes[route] = next
}

// decayingMax returns the newest value if it is larger than the known maximum, and otherwise the
// maximum moved a little toward it.
func decayingMax(known, newest time.Duration) time.Duration {
	if newest > known {
		return newest
	}
	return known - time.Duration(durationDecay*float64(known-newest))
}

// typicalMax returns a duration that few streams of a route exceed. It returns false if none was
// observed.
func (t *durationTracker) typicalMax(route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.routes[route]
	return known.total, ok
}

// estimate returns the duration of a stream with a number of events at the slowest recent pace of
// its route. It returns false if the pace or the number of events is unknown.
func (t *durationTracker) estimate(route string, events uint64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.routes[route]
	return known.firstEvent + time.Duration(events)*known.eventInterval, known.eventInterval > 0 && events > 0
}
