package gateway

import (
	"math"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute/placement"
)

// usageInterval is the time between two usage lines in the log.
const usageInterval = 2 * time.Second

// teamShares lists for the log what the teams with the most work at this host asked for,
// received and were entitled to.
type teamShares []placement.TeamShare

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l teamShares) MarshalZerologArray(a *zerolog.Array) {
	for _, s := range l {
		a.Dict(zerolog.Dict().Str("team", s.Team).Str("service", s.Service).
			Float64("here", s.AskedHere).Float64("asked", s.Asked).Float64("received", s.Received).
			Float64("entitled", s.Entitled).Float64("even", s.Even).Stringer("standing", s.Standing).
			Int("running", s.Running).Bool("starved", s.Starved).Float64("taken", s.SlotOccupancy).
			Float64("fullness", s.Fullness).Float64("quota", finiteOrZero(s.Quota)))
	}
}

// finiteOrZero returns a quota for the log: JSON has no infinity, so 0 stands for no limit.
func finiteOrZero(quota float64) float64 {
	if math.IsInf(quota, 1) {
		return 0
	}
	return quota
}

// logUsage logs the resources that the host has used, if it served requests since the last
// time, and returns the time until the next line.
func (g *Gateway) logUsage() time.Duration {
	if served := g.servedSinceUsage.Swap(0); served > 0 {
		late, lag := g.core.overloadState()
		g.record.usage(served, g.inFlight.Load(), late, lag, processorTime(), g.core.topShares(time.Now()))
	}
	return usageInterval
}

// topShares returns the shares of the teams with the most work at this host.
func (c *core) topShares(now time.Time) teamShares {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.TopShares(now)
}

// processorTime returns the processor time that the process has used, user and system. It is 0
// if it can't be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
