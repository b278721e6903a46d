package gateway

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/mesh"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	queryInterval   = 250 * time.Millisecond // between two rounds of queries to other hosts
	queriesPerRound = 2                      // hosts that are queried in one round, at most
)

// reply answers the query of another host with the configuration and the list of targets
// that this host knows, each only if the other host has an older or different one.
func (g *Gateway) reply(q *wire.Query) *wire.Reply {
	table := g.core.view.Load()
	if table == nil {
		return &wire.Reply{}
	}
	v := &wire.Reply{Revision: table.Version, Age: ageField(g.core.age())}
	g.known.mu.Lock()
	defer g.known.mu.Unlock()
	if table.Version > q.Revision {
		v.Config = g.known.config
	}
	v.TargetsAge = ageField(awake() - g.known.targetsAsOf)
	v.Digest = g.known.digest
	if v.Digest != q.Digest {
		v.Targets = g.known.entries()
	}
	return v
}

// queryPeers asks other hosts for the configuration and the targets in the store, unless this
// host itself reads the store with success. It returns the time until the next round.
func (g *Gateway) queryPeers() time.Duration {
	d := g.duty()
	for range queriesPerRound {
		if d == reader && g.core.age() < staleAge && g.known.targetsAge() < staleAge {
			break
		}
		peer, ok := g.peers.turn()
		if !ok || g.queryPeer(peer) && d == asker {
			break
		}
	}
	return queryInterval
}

// queryPeer asks another host and adopts what it knows. The ages in the answer count from the moment
// at which the query was sent, so that neither a slow answer nor a suspended host makes old
// information look new. It returns false if there was no usable answer.
func (g *Gateway) queryPeer(peer netip.AddrPort) bool {
	sent := awake()
	q := &wire.Query{Digest: g.known.targetsDigest()}
	if table := g.core.view.Load(); table != nil {
		q.Revision = table.Version
	}
	v, err := mesh.Ask(g.ctx, peer, q, g.core.allow(mesh.QueryTimeout))
	if g.ctx.Err() != nil {
		return false // the query was cancelled because this host shuts down
	}
	g.record.asked(peer, err)
	if err != nil || v.Revision == 0 {
		return false
	}
	if v.Revision > q.Revision && len(v.Config) > 0 {
		g.takeConfig(v.Config)
	}
	if table := g.core.view.Load(); table != nil && table.Version == v.Revision {
		g.core.confirm(sent - time.Duration(v.Age)*time.Millisecond)
	}
	asOf := sent - time.Duration(v.TargetsAge)*time.Millisecond
	if v.Digest == q.Digest {
		g.known.renew(v.Digest, asOf)
		g.confirmTargets(asOf)
		return true
	}
	g.takeTargets(v.Targets, asOf, (*route.Listing).Relay)
	return true
}

// takeConfig applies an encoded configuration unless it can't be decoded or is older than the
// current one.
func (g *Gateway) takeConfig(value []byte) {
	table, err := platform.DecodeConfig(value)
	if err != nil {
		g.record.badConfig(err)
		return
	}
	g.apply(table, value)
}
