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

// detectCrash returns whether a target that closed its connection can't be reached any more. If
// so, it counts a crash against the request.
func (a *attempt) detectCrash() bool {
	x := a.exchange
	address, ok := x.gateway.address(a.choice.Target)
	if !ok {
		return false
	}
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
	x.gateway.record.targetCrashed(a, x.gateway.core.countCrash(x.digest))
	return true
}

// targetCrashed records a target that crashed while it had a request. count is the crashes of the
// request so far.
func (r *recorder) targetCrashed(a *attempt, count uint8) {
	x := a.exchange
	r.metrics.crashes.WithLabelValues(strconv.FormatBool(a.begun)).Inc()
	r.log.Warn().Str("event", eventCrash).Str("request", x.call.ID).Str("target", a.choice.Target).
		Int64("born", startTimeField(x.gateway.core.startOf(a.choice.Target))).
		Uint64("digest", x.digest).Uint8("crashes", count).Bool("begun", a.begun).Str("parts", formatParts(x.call.Parts)).
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
