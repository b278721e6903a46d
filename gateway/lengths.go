package gateway

import (
	"sync"
	"time"
)

// lengthDecay is the part of the way down to a shorter stream that an upper mark takes.
const lengthDecay = 0.05

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
	pace := (whole - head) / time.Duration(max(1, events))
	known, ok := l.routes[route]
	if !ok {
		l.routes[route] = length{head: head, pace: pace, whole: whole}
		return
	}
	l.routes[route] = length{
		head: mark(known.head, head), pace: mark(known.pace, pace), whole: mark(known.whole, whole),
	}
}

// mark moves an upper mark.
func mark(known, newest time.Duration) time.Duration {
	if newest > known {
		return newest
	}
	return known - time.Duration(lengthDecay*float64(known-newest))
}

// expect returns a time that a stream of at most so many events does not exceed, as far as is
// known, 0 events for any. It returns false if no stream of the route is known.
func (l *lengths) expect(route string, events uint64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.routes[route]
	if events == 0 {
		return known.whole, ok
	}
	return known.head + time.Duration(events)*known.pace, ok
}
