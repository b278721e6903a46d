package gateway

import (
	"time"

	"github.com/cassiachute/cassiachute/rotation"
)

// updateRotation decides whether this host stays in the rotation of the load balancer, and logs a change.
func (g *Gateway) updateRotation(now time.Time) {
	others := func() rotation.OtherHosts { return g.peers.others(g.settings.Place) }
	if changed, away, lag := g.core.updateRotation(now, others); changed {
		g.record.rotationChanged(away, lag, others())
	}
}

// updateRotation returns whether this host has just left the rotation of the load balancer or rejoined it,
// whether it is out of rotation, and the mean lag on which that was decided.
func (c *core) updateRotation(now time.Time, others func() rotation.OtherHosts) (changed, away bool, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lag = c.lag.Mean()
	changed = c.rotation.Tick(now, lag, others)
	return changed, c.rotation.Away(), lag
}

// outOfRotation returns whether this host asks the load balancer for no new connections because it is short
// of processor time.
func (c *core) outOfRotation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rotation.Away()
}

// others counts the other hosts that are alive, in the fleet and in a place, and how many of them are
// out of rotation.
func (c *peerTable) others(place string) rotation.OtherHosts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var o rotation.OtherHosts
	for address, peer := range c.byAddress {
		if !peer.alive {
			continue
		}
		o.Fleet++
		near := peer.place == place
		if near {
			o.Place++
		}
		if !peer.outOfRotation {
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
