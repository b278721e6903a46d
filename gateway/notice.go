package gateway

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// Notices of targets, as they stand in the metrics.
const (
	noticeLeaving = "leaving"
	noticePaused  = "paused"
)

// heed takes what the target says of itself in an answer that is certainly its own.
func (a *attempt) heed() {
	x := a.exchange
	g, target := x.gateway, a.choice.Target
	if a.answer.Leaving {
		if d, news := g.core.leaves(target); news {
			g.record.leaving(&d, x.call.ID, netip.AddrPort{})
			g.spread(&d)
		}
	}
	if a.answer.Pause > 0 || a.answer.InvalidPause != "" {
		g.record.paused(x, target, &a.answer, g.core.pause(target, a.answer.Pause))
	}
}

// leaves takes that a target said that it is leaving. It returns the departure, and false if it was known.
func (c *core) leaves(target string) (placement.Departure, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.Leave(time.Now(), target)
}

// pause takes that a target wants nothing of this host for a time, and returns for how long it gets nothing.
func (c *core) pause(target string, length time.Duration) time.Duration {
	if length <= 0 {
		return 0
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.Pause(now, target, length).Sub(now)
}

// spread tells all other hosts at once of a target that is leaving. The news tell it again.
func (g *Gateway) spread(d *placement.Departure) {
	m := departureMessage(time.Now(), *d)
	for _, host := range g.peers.list() {
		g.post(peerNumber(host), &m)
	}
}

// departed takes a target that said to another host that it is leaving.
func (g *Gateway) departed(from netip.AddrPort, m *wire.Departure) {
	d := placement.Departure{Target: m.Target, Since: time.Now().Add(-fromMillis(m.Age))}
	if m.Born != 0 {
		d.Born = time.UnixMilli(m.Born)
	}
	g.core.mu.Lock()
	news := g.core.board.Depart(d)
	g.core.mu.Unlock()
	if news {
		g.record.leaving(&d, "", from)
	}
}

// departureMessage returns the message that tells of a departure.
func departureMessage(now time.Time, d placement.Departure) wire.Departure {
	return wire.Departure{Target: d.Target, Born: bornField(d.Born), Age: toMillis(now.Sub(d.Since))}
}

// bornField returns the start of a process in Unix milliseconds, 0 if it is not known.
func bornField(born time.Time) int64 {
	if born.IsZero() {
		return 0
	}
	return born.UnixMilli()
}
