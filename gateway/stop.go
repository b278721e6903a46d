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
	stopMargin = 500 * time.Millisecond // before the end of the grace, in which nothing is begun and what is left is ended
	cutTime    = 150 * time.Millisecond // of the margin, to answer what is ended
	closeTime  = 150 * time.Millisecond // of the margin, for the loops of the host to end
)

func (g *Gateway) stopping() bool { return g.stopFrom.Load() != 0 }

// stopSince returns the time since the signal to stop, 0 before it.
func (g *Gateway) stopSince() time.Duration {
	from := g.stopFrom.Load()
	if from == 0 {
		return 0
	}
	return max(1, awake()-time.Duration(from))
}

// shortenStop takes a grace that became shorter after the signal to stop. A longer one comes too
// late for what the platform waits.
func (g *Gateway) shortenStop() {
	from := g.stopFrom.Load()
	if from == 0 {
		return
	}
	end := from + int64(g.limits.Load().grace-stopMargin)
	for known := g.stopEnd.Load(); end < known && !g.stopEnd.CompareAndSwap(known, end); {
		known = g.stopEnd.Load()
	}
}

// stopLeft returns the time until the work of a host that stops has to be over.
func (g *Gateway) stopLeft() time.Duration { return time.Duration(g.stopEnd.Load()) - awake() }

// stop is the planned stop: the host is not ready any more and serves on until the
// balancer has noticed and all answers are out. What has no end in time is ended. Times are
// those of a clock that runs on while the host is suspended, as the grace does.
func (g *Gateway) stop() {
	from, grace := awake(), g.limits.Load().grace
	g.stopEnd.Store(int64(from + grace - stopMargin))
	g.stopFrom.Store(int64(from))
	g.shortenStop() // a reload may cross the signal
	g.record.process(eventStopping, &g.settings)
	least, idleFrom := from+min(leastStop, grace/2), from
	g.stopUntil(func() bool {
		now := awake()
		if g.inFlight.Load() > 0 {
			idleFrom = now
		}
		return now >= least && now-idleFrom >= settleTime
	})
	err := g.listeners[0].Close()
	g.callers.stop()
	g.stopUntil(g.unused) // requests that kept connections brought meanwhile
	if !g.unused() {
		g.record.cutting(g.inFlight.Load(), g.callers.count(), err)
		g.cut()
	}
}

// unused returns whether no connection of a caller is open, so that none brings a request that
// is read as the process ends.
func (g *Gateway) unused() bool { return g.callers.count() == 0 }

// stopUntil waits for a condition, or until the work of this host has to be over. Requests that
// wait for a target until they can't be over in time are refused meanwhile.
func (g *Gateway) stopUntil(condition func() bool) {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !condition() && g.stopLeft() > 0 {
		<-ticker.C
		for _, x := range g.core.active() {
			if x.waits() && g.outlasts(x.route, x.events, x.remaining()) {
				x.abort(reasonStopping)
			}
		}
	}
}

// cut ends what is not over: requests are answered, and streams end after a whole event, for a
// caller that goes on elsewhere. A caller that does not take what is written ends with its
// connection, so that the place of its stream is given back.
func (g *Gateway) cut() {
	for _, x := range g.core.active() {
		x.abort(reasonStopping)
	}
	g.endSends()
	within(cutTime, g.unused)
	for _, x := range g.core.active() {
		if x.streams.Load() {
			x.caller.Close()
		}
	}
	within(settleTime, func() bool { return g.inFlight.Load() == 0 })
}

// within waits for a condition, for a limited time.
func within(limit time.Duration, condition func() bool) {
	end := awake() + limit
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !condition() && awake() < end {
		<-ticker.C
	}
}

// farewell tells the other hosts that the work here is over: else what they heard last counts until
// they miss the next news. It waits for the end of the loop that tells.
func (g *Gateway) farewell(told <-chan struct{}) {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-told:
		g.tell()
	case <-timer.C:
	}
}

// joined waits for the ends of loops and returns how many have not ended in time.
func joined(ends []<-chan struct{}) int {
	limit, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	late := 0
	for _, end := range ends {
		select {
		case <-end:
		case <-limit.Done():
			if !isClosed(end) {
				late++
			}
		}
	}
	return late
}

func isClosed(end <-chan struct{}) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}

// outlasts returns whether a request that takes at most a time might not be over when the work of a
// host that stops has to be. For a stream of at most so many events, what is known of others of its
// route counts.
func (g *Gateway) outlasts(r *route.Route, events uint64, limit time.Duration) bool {
	if !g.stopping() {
		return false
	}
	if r.Kind == route.Stream {
		if length, ok := g.lengths.expect(r.Name, events); ok {
			limit = min(limit, length)
		}
	}
	return limit > g.stopLeft()
}
