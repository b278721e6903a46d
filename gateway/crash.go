package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/platform"
)

const (
	crashProbeTimeout = 150 * time.Millisecond // to connect again to a target that broke off, to tell a crash from a broken connection
	maxLoggedParts    = 16                     // parts of a prompt in a log line
)

// detectCrash returns whether a target that closed its connection can't be reached any more. If so, and
// the target had not begun to answer, the request is suspected of having crashed it.
func (a *attempt) detectCrash() bool {
	x := a.exchange
	address, ok := x.gateway.address(a.choice.Target)
	if !ok {
		return false
	}
	brokenAt := time.Now()
	ctx, cancel := link.WithLimit(x.gateway.ctx, x.gateway.core.timeoutWithLag(crashProbeTimeout))
	defer cancel()
	conn, err := x.gateway.pool.Get(ctx, address, true)
	if err == nil {
		x.gateway.pool.Put(address, conn)
		return false
	}
	if x.gateway.ctx.Err() != nil {
		return false
	}
	x.gateway.pool.CloseIdle(address)
	incidents := 0
	if !a.begun {
		incidents = x.gateway.reportCrash(a, brokenAt)
	}
	x.gateway.record.targetCrashed(a, incidents)
	return true
}

// targetCrashed records a target that crashed while it had a request. incidents is the highest number of
// incidents that count against a trait of the request.
func (r *recorder) targetCrashed(a *attempt, incidents int) {
	x := a.exchange
	r.metrics.crashes.WithLabelValues(strconv.FormatBool(a.begun)).Inc()
	r.log.Warn().Str("event", eventCrash).Str("request", x.call.ID).Str("target", a.choice.Target).
		Int64("born", startTimeField(x.gateway.core.startOf(a.choice.Target))).
		Array("traits", traitNames(x.traits)).Int("crashes", incidents).Bool("begun", a.begun).Str("parts", formatParts(x.call.Parts)).
		Float64("took", milliseconds(time.Since(a.sentAt))).Send()
}

// formatParts returns the IDs of the parts of a prompt, in hexadecimal and separated by commas. Parts
// beyond maxLoggedParts are left out.
func formatParts(parts []platform.Part) string {
	ids := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(ids, ",")
}

// startOf returns the start time of a target's process, as listed now, zero if it is not known.
func (c *core) startOf(target string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.StartedAt(target)
}
