package gateway

import (
	"context"
	"time"

	"github.com/cassiachute/cassiachute/route"
)

const (
	stopPoll   = 20 * time.Millisecond
	leastStop  = 3 * time.Second // for the balancer to notice a planned stop
	settleTime = 50 * time.Millisecond
	mostMargin = 500 * time.Millisecond // before the end of the grace, in which nothing is begun and what is left is ended
	marginPart = 6                      // of the grace, that the margin takes at most
	noticePart = 4                      // of the grace: in this part of it, the balancer may not have noticed yet
	cutPart    = 5                      // of the margin, twice, to answer what is ended
	tellPart   = 10                     // of the margin, to tell the other hosts
	joinPart   = 5                      // of the margin, for the loops of the host to end
)

func (g *Gateway) stopping() bool { return g.stopSignalAt.Load() != 0 }

// stopSince returns the time since the signal to stop, 0 before it.
func (g *Gateway) stopSince() time.Duration {
	from := g.stopSignalAt.Load()
	if from == 0 {
		return 0
	}
	return max(1, sinceBoot()-time.Duration(from))
}

// marginOf returns the time at the end of a grace in which nothing is begun.
func marginOf(grace time.Duration) time.Duration { return min(mostMargin, grace/marginPart) }

// shortenStop takes a grace that became shorter after the signal to stop. A longer one comes too
// late for what the platform waits.
func (g *Gateway) shortenStop() {
	from := g.stopSignalAt.Load()
	if from == 0 {
		return
	}
	grace := g.limits.Load().grace
	end := from + int64(grace-marginOf(grace))
	for known := g.stopDeadline.Load(); end < known && !g.stopDeadline.CompareAndSwap(known, end); {
		known = g.stopDeadline.Load()
	}
}

// stopLeft returns the time until the work of a host that stops has to be over.
func (g *Gateway) stopLeft() time.Duration { return time.Duration(g.stopDeadline.Load()) - sinceBoot() }

// stop is the planned stop: the host is not ready any more and serves on until the
// balancer has noticed and all answers are out. What has no end in time is ended. Times are
// those of a clock that runs on while the host is suspended, as the grace does.
func (g *Gateway) stop() {
	g.beginStop()
	g.record.process(eventStopping, &g.settings)
	noticed := sinceBoot()
	least, idleFrom := noticed+min(leastStop, g.limits.Load().grace/2), noticed
	g.stopUntil(func() bool {
		now := sinceBoot()
		if g.inFlight.Load() > 0 {
			idleFrom = now
		}
		return now >= least && now-idleFrom >= settleTime
	})
	err := g.listeners[0].Close()
	g.callers.stop()
	g.stopUntil(g.unused) // requests that kept connections brought meanwhile
	if !g.unused() {
		g.record.cutAtStop(g.inFlight.Load(), g.callers.count(), err)
		g.cut()
	}
}

// beginStop sets the time by which the work is to be over. A host that stood still may notice the signal
// late; at most half of the grace is taken for gone then.
func (g *Gateway) beginStop() {
	grace := g.limits.Load().grace
	from := g.pulse.began(sinceBoot(), grace/2)
	g.stopDeadline.Store(int64(from + grace - marginOf(grace)))
	g.stopSignalAt.Store(int64(from))
	g.shortenStop() // a reload may cross the signal
}

// unused returns whether nothing is in flight, and no connection of a caller is open that may bring
// a request which is read as the process ends.
func (g *Gateway) unused() bool { return g.inFlight.Load() == 0 && g.callers.count() == 0 }

// stopUntil waits for a condition, or until the work of this host has to be over. Requests that
// wait for a target until they can't be over in time are refused meanwhile.
func (g *Gateway) stopUntil(condition func() bool) {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !condition() && g.stopLeft() > 0 {
		<-ticker.C
		for _, x := range g.core.activeExchanges() {
			if x.waits() && g.outlastsInHand(x.route, x.events, x.remaining()) {
				x.abort(reasonStopping)
			}
		}
	}
}

// cut ends what is not over: requests are answered, and streams end after a whole event, for a
// caller that goes on elsewhere. A caller that does not take what is written ends with its
// connection, so that the place of its stream is given back.
func (g *Gateway) cut() {
	for _, x := range g.core.activeExchanges() {
		x.abort(reasonStopping)
	}
	g.cancelSends()
	limit := marginOf(g.limits.Load().grace) / cutPart
	within(limit, g.unused)
	for _, x := range g.core.activeExchanges() {
		if x.streams.Load() {
			_ = x.caller.Close() // fails if it is closed already
		}
	}
	within(limit, g.unused)
}

// within waits for a condition, for a limited time.
func within(limit time.Duration, condition func() bool) {
	end := sinceBoot() + limit
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !condition() && sinceBoot() < end {
		<-ticker.C
	}
}

// farewell tells the other hosts that the work here is over: else what they heard last counts until
// they miss the next news. It waits for the end of the loop that tells.
func (g *Gateway) farewell(told <-chan struct{}) {
	timer := time.NewTimer(marginOf(g.limits.Load().grace) / tellPart)
	defer timer.Stop()
	select {
	case <-told:
		g.sendNews()
	case <-timer.C:
	}
}

// joined waits for the ends of loops and returns how many have not ended in a time.
func joined(ends []<-chan struct{}, limit time.Duration) int {
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

// outlasts returns whether a request that arrives, and takes at most a time, might not be over when
// the work of a host that stops has to be. What others of its route took counts for what comes
// before the balancer can notice the stop; later, only its own time.
func (g *Gateway) outlasts(r *route.Route, events uint64, limit time.Duration) bool {
	if !g.stopping() {
		return false
	}
	if length, ok := g.lengthOf(r, events); ok && g.stopSince() < g.limits.Load().grace/noticePart {
		limit = min(limit, length)
	}
	return limit > g.stopLeft()
}

// outlastsInHand is outlasts for a request that was let in, of which the caller got nothing yet. One that
// may be repeated is tried if nothing is known of its length but its aim fits, as its caller may go on elsewhere.
func (g *Gateway) outlastsInHand(r *route.Route, events uint64, limit time.Duration) bool {
	if !g.stopping() {
		return false
	}
	length, ok := g.lengthOf(r, events)
	switch {
	case ok:
		limit = min(limit, length)
	case r.Repeatable():
		limit = min(limit, r.Aim)
	}
	return limit > g.stopLeft()
}

// lengthOf returns how long a request is expected to take, as far as others of its route tell, and for
// a stream the events announced. One that may not be repeated is lost if it is cut, so for it the most
// counts.
func (g *Gateway) lengthOf(r *route.Route, events uint64) (time.Duration, bool) {
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
