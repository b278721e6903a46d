package gateway

import (
	"math"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute/placement"
)

// usageEvery is the time between two lines on what a host that serves spends and on
// what it knows of its teams.
const usageEvery = 2 * time.Second

// shareLines writes what the teams with the most work at this host asked for, received
// and were owed.
type shareLines []placement.TeamShare

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l shareLines) MarshalZerologArray(a *zerolog.Array) {
	for _, s := range l {
		a.Dict(zerolog.Dict().Str("team", s.Team).Str("service", s.Service).
			Float64("here", s.Here).Float64("asked", s.Asked).Float64("received", s.Received).
			Float64("entitled", s.Entitled).Float64("even", s.Even).Stringer("standing", s.Standing).
			Int("running", s.Running).Bool("starved", s.Starved).Float64("taken", s.Taken).
			Float64("fullness", s.Fullness).Float64("quota", finite(s.Quota)))
	}
}

// finite returns a quota for the log, 0 if there is none.
func finite(quota float64) float64 {
	if math.IsInf(quota, 1) {
		return 0
	}
	return quota
}

// usage notes what the host spends, if it served since the last time.
func (g *Gateway) usage() time.Duration {
	if served := g.servedSinceUsage.Swap(0); served > 0 {
		late, lag := g.core.late()
		g.record.usage(served, g.inFlight.Load(), late, lag, processorTime(), g.core.topShares(time.Now()))
	}
	return usageEvery
}

// topShares returns what the teams with the most work at this host are owed.
func (c *core) topShares(now time.Time) shareLines {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.TopShares(now)
}

// processorTime returns the processor time that the process used so far, 0 if it is not
// known.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
