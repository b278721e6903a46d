package gateway

import (
	"time"

	"github.com/cassiachute/cassiachute/rotation"
)

// rotate decides whether this host stays in the rotation of the balancer.
func (g *Gateway) rotate(now time.Time) {
	others := func() rotation.Others { return g.peers.others(g.settings.Place) }
	if changed, away, lag := g.core.rotate(now, others); changed {
		g.record.rotationChanged(away, lag, others())
	}
}

// rotate returns whether this host left the rotation or came back, and what decided it.
func (c *core) rotate(now time.Time, others func() rotation.Others) (changed, away bool, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lag = c.lag.Mean()
	changed = c.rotation.Tick(now, lag, others)
	return changed, c.rotation.Away(), lag
}

// away returns whether this host asks the balancer for no new connections because it is late.
func (c *core) away() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rotation.Away()
}

// others returns what is heard of the rotation of the other hosts.
func (c *peerTable) others(place string) rotation.Others {
	c.mu.Lock()
	defer c.mu.Unlock()
	var o rotation.Others
	for address, row := range c.byAddress {
		if !row.alive {
			continue
		}
		o.Fleet++
		near := row.place == place
		if near {
			o.Place++
		}
		if !row.outOfRotation {
			continue
		}
		o.FleetAway++
		if near {
			o.PlaceAway++
		}
		if near && address.Compare(c.self) < 0 {
			o.Ahead++
		}
	}
	return o
}
