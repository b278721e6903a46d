package gateway

import (
	"context"
	"time"

	"github.com/cassiachute/cassiachute/route"
)

const (
	stopPollInterval      = 20 * time.Millisecond  // between checks whether the host may end
	minStopTime           = 3 * time.Second        // least time for the load balancer to notice a planned stop
	stopQuietTime         = 50 * time.Millisecond  // without requests in flight, after which the listener is closed
	maxStopMargin         = 500 * time.Millisecond // at the end of the grace period: no new work is started and the rest is aborted
	marginDivisor         = 6                      // the margin is at most the grace period divided by this
	balancerNoticeDivisor = 4                      // grace period divided by this: the load balancer may not have noticed the stop yet
	abortTimeoutDivisor   = 5                      // margin divided by this, twice: to answer aborted requests
	finalStateDivisor     = 10                     // margin divided by this: to tell the other hosts
	loopEndDivisor        = 5                      // margin divided by this: for the loops of the host to end
)

// stopping returns whether the host has received the signal to stop.
func (g *Gateway) stopping() bool { return g.stopSignalAt.Load() != 0 }

// timeSinceStop returns the time since the signal to stop, or 0 if there was none.
func (g *Gateway) timeSinceStop() time.Duration {
	from := g.stopSignalAt.Load()
	if from == 0 {
		return 0
	}
	return max(1, sinceBoot()-time.Duration(from))
}

// stopMargin returns the time at the end of a grace period in which no new work is started.
func stopMargin(grace time.Duration) time.Duration { return min(maxStopMargin, grace/marginDivisor) }

// shortenStop moves the end of a planned stop forward if a reload made the grace period shorter after the
// signal. A longer grace period is ignored, since the platform goes by the one that it knew at the signal.
func (g *Gateway) shortenStop() {
	from := g.stopSignalAt.Load()
	if from == 0 {
		return
	}
	grace := g.limits.Load().grace
	end := from + int64(grace-stopMargin(grace))
	for known := g.stopDeadline.Load(); end < known && !g.stopDeadline.CompareAndSwap(known, end); {
		known = g.stopDeadline.Load()
	}
}

// stopTimeLeft returns the time until all work of a stopping host has to be finished.
func (g *Gateway) stopTimeLeft() time.Duration {
	return time.Duration(g.stopDeadline.Load()) - sinceBoot()
}

// stop runs a planned stop. The host reports that it is not ready and serves on until the load balancer has
// noticed and all answers are sent; requests that are not finished in time are aborted. Times are taken from a clock
// that also advances while the host is suspended, as the grace period does.
func (g *Gateway) stop() {
	g.beginStop()
	g.record.process(eventStopping, &g.settings)
	begin := sinceBoot()
	minEnd, idleSince := begin+min(minStopTime, g.limits.Load().grace/2), begin
	g.waitUntilStopped(func() bool {
		now := sinceBoot()
		if g.inFlight.Load() > 0 {
			idleSince = now
		}
		return now >= minEnd && now-idleSince >= stopQuietTime
	})
	err := g.listeners[0].Close()
	g.callers.stop()
	g.waitUntilStopped(g.drained) // requests that arrived on kept-alive connections meanwhile
	if !g.drained() {
		g.record.abortedAtStop(g.inFlight.Load(), g.callers.count(), err)
		g.abortRemaining()
	}
}

// beginStop sets the time by which all work has to be finished. A process that was stalled may notice the
// signal late, so the grace period counts from the start of the stall, but at most half of it counts as
// elapsed.
func (g *Gateway) beginStop() {
	grace := g.limits.Load().grace
	from := g.stalls.earliestTime(sinceBoot(), grace/2)
	g.stopDeadline.Store(int64(from + grace - stopMargin(grace)))
	g.stopSignalAt.Store(int64(from))
	g.shortenStop() // a reload may happen at the same time as the signal
}

// drained returns whether no request is in flight and no caller connection is open. A request on an open
// connection could be read just before the process ends, and would get no answer.
func (g *Gateway) drained() bool { return g.inFlight.Load() == 0 && g.callers.count() == 0 }

// waitUntilStopped waits until condition holds or the time for the work of this host is over. Meanwhile it
// refuses requests that wait for a target and can no longer be finished in time.
func (g *Gateway) waitUntilStopped(condition func() bool) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !condition() && g.stopTimeLeft() > 0 {
		<-ticker.C
		for _, x := range g.core.activeExchanges() {
			if x.isUnserved() && g.admittedOutlastsStop(x.route, x.expectedEvents, x.remaining()) {
				x.abort(reasonStopping)
			}
		}
	}
}

// abortRemaining aborts all requests that are not finished. Requests get an error answer, and streams end
// after a complete event, so that the caller can resume elsewhere. If a caller does not read its stream, its
// connection is closed, so that the slot of the stream is released.
func (g *Gateway) abortRemaining() {
	for _, x := range g.core.activeExchanges() {
		x.abort(reasonStopping)
	}
	g.cancelSends()
	limit := stopMargin(g.limits.Load().grace) / abortTimeoutDivisor
	waitFor(limit, g.drained)
	for _, x := range g.core.activeExchanges() {
		if x.streaming.Load() {
			_ = x.caller.Close() // fails only if it is closed already
		}
	}
	waitFor(limit, g.drained)
}

// waitFor waits until condition holds, but at most for limit.
func waitFor(limit time.Duration, condition func() bool) {
	end := sinceBoot() + limit
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !condition() && sinceBoot() < end {
		<-ticker.C
	}
}

// sendFinalState tells the other hosts that this host has no work any more. Otherwise they count its last known
// load until they notice that its state reports are missing. It first waits until loopEnded is closed, when the loop
// that sends the state has ended.
func (g *Gateway) sendFinalState(loopEnded <-chan struct{}) {
	timer := time.NewTimer(stopMargin(g.limits.Load().grace) / finalStateDivisor)
	defer timer.Stop()
	select {
	case <-loopEnded:
		g.sendHostState()
	case <-timer.C:
	}
}

// countUnfinished waits up to limit for loops to end and returns how many have not.
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

// isClosed returns whether a channel that nothing is sent on is closed.
func isClosed(end <-chan struct{}) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}

// outlastsStop returns whether a new request that takes at most limit might not be finished before the work
// of a stopping host has to be. Early in the grace period, before the load balancer can have noticed the
// stop, the expected duration counts; later only the request's own limit does.
func (g *Gateway) outlastsStop(r *route.Route, events uint64, limit time.Duration) bool {
	if !g.stopping() {
		return false
	}
	if length, ok := g.expectedDuration(r, events); ok && g.timeSinceStop() < g.limits.Load().grace/balancerNoticeDivisor {
		limit = min(limit, length)
	}
	return limit > g.stopTimeLeft()
}

// admittedOutlastsStop is outlastsStop for a request that was already admitted and whose caller has received
// nothing yet. If its duration is unknown, a repeatable request is tried if the latency aim of its route
// fits, since its caller can repeat it at another host.
func (g *Gateway) admittedOutlastsStop(r *route.Route, events uint64, limit time.Duration) bool {
	if !g.stopping() {
		return false
	}
	length, ok := g.expectedDuration(r, events)
	switch {
	case ok:
		limit = min(limit, length)
	case r.Repeatable():
		limit = min(limit, r.TargetLatency)
	}
	return limit > g.stopTimeLeft()
}

// expectedDuration estimates how long a request takes, from other requests of its route and, for a stream,
// from the number of events announced. It returns false if that is not known. A request that is not
// repeatable is lost if it is aborted, so the longest duration counts for it.
func (g *Gateway) expectedDuration(r *route.Route, events uint64) (time.Duration, bool) {
	most, announced := g.lengths.estimate(r.Name, events)
	if !r.Repeatable() {
		return most, announced
	}
	usual, known := g.lengths.typicalMax(r.Name)
	if announced && most < usual {
		return most, true
	}
	return usual, known
}
