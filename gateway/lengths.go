package gateway

import (
	"sync"
	"time"
)

const (
	durationDecay = 0.05 // part of the way down to a shorter stream that an upper mark takes
	minPaceEvents = 4    // of a stream that tells the pace of its route
)

// length is how long the streams of a route took of late, at most.
type length struct {
	head  time.Duration // to the first event
	pace  time.Duration // from one event to the next, in the mean of a stream
	whole time.Duration
}

// lengths learns how long the streams of each route take.
type lengths struct {
	mu     sync.Mutex
	routes map[string]length
}

// learn takes a stream of so many events that is over.
func (l *lengths) learn(route string, head, whole time.Duration, events uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[route]
	next := length{head: mark(known.head, head), pace: known.pace, whole: mark(known.whole, whole)}
	if events > minPaceEvents {
		next.pace = mark(known.pace, (whole-head)/time.Duration(events-1))
	}
	l.routes[route] = next
}

// mark moves an upper mark.
func mark(known, newest time.Duration) time.Duration {
	if newest > known {
		return newest
	}
	return known - time.Duration(durationDecay*float64(known-newest))
}

// usual returns a time that few streams of a route exceed. It returns false if none is known.
func (l *lengths) usual(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.routes[route]
	return known.whole, ok
}

// most returns the time that a stream of so many events takes at the slowest pace of late. It
// returns false if that is not known.
func (l *lengths) most(route string, events uint64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[route]
	return known.head + time.Duration(events)*known.pace, known.pace > 0 && events > 0
}
