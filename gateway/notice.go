package gateway

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// Kinds of notices that targets send about themselves, as label values of the metrics.
const (
	noticeLeaving = "leaving"
	noticePaused  = "paused"
)

// applyNotices applies what the target says about itself in an answer that is certainly its own: that it is
// leaving, or wants no requests for a time.
func (a *attempt) applyNotices() {
	x := a.exchange
	g, target := x.gateway, a.choice.Target
	if a.answer.Leaving {
		if d, isNew := g.core.markLeaving(target); isNew {
			g.record.targetLeaving(&d, x.call.ID, netip.AddrPort{})
			g.broadcastDeparture(&d)
		}
	}
	if a.answer.Pause > 0 || a.answer.InvalidPause != "" {
		g.record.targetPaused(x, target, &a.answer, g.core.pauseTarget(target, a.answer.Pause))
	}
}

// markLeaving marks a target as leaving. It returns the departure, and false if it was known.
func (c *core) markLeaving(target string) (placement.Departure, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.RecordLeaving(time.Now(), target)
}

// pauseTarget pauses a target that asked for no requests for a time, and returns how long it is paused.
func (c *core) pauseTarget(target string, length time.Duration) time.Duration {
	if length <= 0 {
		return 0
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.RecordPause(now, target, length).Sub(now)
}

// broadcastDeparture tells all other hosts at once that a target is leaving. The regular state reports repeat
// it.
func (g *Gateway) broadcastDeparture(d *placement.Departure) {
	m := departureMessage(time.Now(), *d)
	g.broadcast(&m)
}

// handleDeparture takes a departure message, which says that a target told another host that it is leaving.
func (g *Gateway) handleDeparture(from netip.AddrPort, m *wire.Departure) {
	d := placement.Departure{Target: m.Target, AnnouncedAt: time.Now().Add(-fromMillis(m.Age))}
	if m.Boot != 0 {
		d.StartedAt = time.UnixMilli(m.Boot)
	}
	g.core.mu.Lock()
	isNew := g.core.board.RecordDeparture(d)
	g.core.mu.Unlock()
	if isNew {
		g.record.targetLeaving(&d, "", from)
	}
}

// departureMessage returns the message that tells other hosts of a departure.
func departureMessage(now time.Time, d placement.Departure) wire.Departure {
	return wire.Departure{Target: d.Target, Boot: startTimeField(d.StartedAt), Age: toMillis(now.Sub(d.AnnouncedAt))}
}

// startTimeField returns the start of a process as messages carry it: in Unix milliseconds, or 0 if it is not
// known.
func startTimeField(born time.Time) int64 {
	if born.IsZero() {
		return 0
	}
	return born.UnixMilli()
}
