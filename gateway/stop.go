package gateway

import (
	"context"
	"time"

	"github.com/cassiachute/cassiachute/route"
)

const (
	stopPollInterval   = 20 * time.Millisecond
	minStopTime  = 3 * time.Second // for the balancer to notice a planned stop
	stopQuietTime = 50 * time.Millisecond
	maxStopMargin = 500 * time.Millisecond // before the end of the grace, in which nothing is begun and what is left is ended
	stopMarginDivisor = 6                      // of the grace, that the margin takes at most
	balancerNoticeDivisor = 4                      // of the grace: in this part of it, the balancer may not have noticed yet
	abortTimeoutDivisor    = 5                      // of the margin, twice, to answer what is ended
	farewellDivisor   = 10                     // of the margin, to tell the other hosts
	loopEndDivisor   = 5                      // of the margin, for the loops of the host to end
)

func (g *Gateway) stopping() bool { return g.stopFrom.Load() != 0 }

// timeSinceStop returns the time since the signal to stop, 0 before it.
func (g *Gateway) timeSinceStop() time.Duration {
	from := g.stopFrom.Load()
	if from == 0 {
		return 0
	}
	return max(1, awake()-time.Duration(from))
}

// stopMargin returns the time at the end of a grace in which nothing is begun.
func stopMargin(grace time.Duration) time.Duration { return min(maxStopMargin, grace/stopMarginDivisor) }

// shortenStop takes a grace that became shorter after the signal to stop. A longer one comes too
// late for what the platform waits.
func (g *Gateway) shortenStop() {
	from := g.stopFrom.Load()
	if from == 0 {
		return
	}
	grace := g.limits.Load().grace
	end := from + int64(grace-stopMargin(grace))
	for known := g.stopEnd.Load(); end < known && !g.stopEnd.CompareAndSwap(known, end); {
		known = g.stopEnd.Load()
	}
}

// stopTimeLeft returns the time until the work of a host that stops has to be over.
func (g *Gateway) stopTimeLeft() time.Duration { return time.Duration(g.stopEnd.Load()) - awake() }

// stop is the planned stop: the host is not ready any more and serves on until the
// balancer has noticed and all answers are out. What has no end in time is ended. Times are
// those of a clock that runs on while the host is suspended, as the grace does.
func (g *Gateway) stop() {
	g.beginStop()
	g.record.process(eventStopping, &g.settings)
	noticed := awake()
	least, idleFrom := noticed+min(minStopTime, g.limits.Load().grace/2), noticed
	g.waitUntilStopped(func() bool {
		now := awake()
		if g.inFlight.Load() > 0 {
			idleFrom = now
		}
		return now >= least && now-idleFrom >= stopQuietTime
	})
	err := g.listeners[0].Close()
	g.callers.stop()
	g.waitUntilStopped(g.drained) // requests that kept connections brought meanwhile
	if !g.drained() {
		g.record.cutting(g.inFlight.Load(), g.callers.count(), err)
		g.abortRemaining()
	}
}

// beginStop sets the time by which the work is to be over. A host that stood still may notice the signal
// late; at most half of the grace is taken for gone then.
func (g *Gateway) beginStop() {
	grace := g.limits.Load().grace
	from := g.pulse.earliestTime(awake(), grace/2)
	g.stopEnd.Store(int64(from + grace - stopMargin(grace)))
	g.stopFrom.Store(int64(from))
	g.shortenStop() // a reload may cross the signal
}

// drained returns whether nothing is in flight, and no connection of a caller is open that may bring
// a request which is read as the process ends.
func (g *Gateway) drained() bool { return g.inFlight.Load() == 0 && g.callers.count() == 0 }

// waitUntilStopped waits for a condition, or until the work of this host has to be over. Requests that
// wait for a target until they can't be over in time are refused meanwhile.
func (g *Gateway) waitUntilStopped(condition func() bool) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !condition() && g.stopTimeLeft() > 0 {
		<-ticker.C
		for _, x := range g.core.active() {
			if x.waits() && g.admittedOutlastsStop(x.route, x.events, x.remaining()) {
				x.abort(reasonStopping)
			}
		}
	}
}

// abortRemaining ends what is not over: requests are answered, and streams end after a whole event, for a
// caller that goes on elsewhere. A caller that does not take what is written ends with its
// connection, so that the place of its stream is given back.
func (g *Gateway) abortRemaining() {
	for _, x := range g.core.active() {
		x.abort(reasonStopping)
	}
	g.endSends()
	limit := stopMargin(g.limits.Load().grace) / abortTimeoutDivisor
	waitFor(limit, g.drained)
	for _, x := range g.core.active() {
		if x.streams.Load() {
			_ = x.caller.Close() // fails if it is closed already
		}
	}
	waitFor(limit, g.drained)
}

// waitFor waits for a condition, for a limited time.
func waitFor(limit time.Duration, condition func() bool) {
	end := awake() + limit
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !condition() && awake() < end {
		<-ticker.C
	}
}

// sendFarewell tells the other hosts that the work here is over: else what they heard last counts until
// they miss the next news. It waits for the end of the loop that tells.
func (g *Gateway) sendFarewell(told <-chan struct{}) {
	timer := time.NewTimer(stopMargin(g.limits.Load().grace) / farewellDivisor)
	defer timer.Stop()
	select {
	case <-told:
		g.tell()
	case <-timer.C:
	}
}

// countUnfinished waits for the ends of loops and returns how many have not ended in a time.
func countUnfinished(ends []<-chan struct{}, limit time.Duration) int {
	ending, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	late := 0
	for _, end := range ends {
		select {
		case <-end:
		case <-ending.Done():
			if !isClosed(end) {
				late++
			}
		}
	}
	return late
}

// isClosed returns whether a loop has ended.
func isClosed(end <-chan struct{}) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}

// outlastsStop returns whether a request that arrives, and takes at most a time, might not be over when
// the work of a host that stops has to be. What others of its route took counts for what comes
// before the balancer can notice the stop; later, only its own time.
func (g *Gateway) outlastsStop(r *route.Route, events uint64, limit time.Duration) bool {
	if !g.stopping() {
		return false
	}
	if length, ok := g.expectedDuration(r, events); ok && g.timeSinceStop() < g.limits.Load().grace/balancerNoticeDivisor {
		limit = min(limit, length)
	}
	return limit > g.stopTimeLeft()
}

// admittedOutlastsStop is outlasts for a request that was let in, of which the caller got nothing yet. One that
// may be repeated is tried if nothing is known of its length but its aim fits, as its caller may go on elsewhere.
func (g *Gateway) admittedOutlastsStop(r *route.Route, events uint64, limit time.Duration) bool {
	if !g.stopping() {
		return false
	}
	length, ok := g.expectedDuration(r, events)
	switch {
	case ok:
		limit = min(limit, length)
	case r.Repeatable():
		limit = min(limit, r.Aim)
	}
	return limit > g.stopTimeLeft()
}

// expectedDuration returns how long a request is expected to take, as far as others of its route tell, and for
// a stream the events announced. One that may not be repeated is lost if it is cut, so for it the most
// counts.
func (g *Gateway) expectedDuration(r *route.Route, events uint64) (time.Duration, bool) {
	most, announced := g.lengths.most(r.Name, events)
	if !r.Repeatable() {
		return most, announced
	}
	usual, known := g.lengths.usual(r.Name)
	if announced && most < usual {
		return most, true
	}
	return usual, known
}
