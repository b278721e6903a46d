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
	askEvery    = 250 * time.Millisecond
	askedAtOnce = 2 // peers that are asked in one round
)

// reply answers the query of another host.
func (g *Gateway) reply(q *wire.Query) *wire.Reply {
	table := g.core.table.Load()
	if table == nil {
		return &wire.Reply{}
	}
	v := &wire.Reply{Revision: table.Version, Age: ageMillis(g.core.configAge())}
	g.storeCache.mu.Lock()
	defer g.storeCache.mu.Unlock()
	if table.Version > q.Revision {
		v.Config = g.storeCache.config
	}
	v.TargetsAge = ageMillis(sinceBoot() - g.storeCache.targetsAsOf)
	v.Digest = g.storeCache.digest
	if v.Digest != q.Digest {
		v.Targets = g.storeCache.targetRows()
	}
	return v
}

// consult asks other hosts for what the store told them, unless this one reads the
// store itself with success.
func (g *Gateway) consult() time.Duration {
	d := g.duty()
	for range askedAtOnce {
		if d == reader && g.core.configAge() < staleAge && g.storeCache.targetsAge() < staleAge {
			break
		}
		peer, ok := g.peers.nextToQuery()
		if !ok || g.ask(peer) && d == asker {
			break
		}
	}
	return askEvery
}

// ask takes what another host knows. Its ages count from the moment at which the
// query was sent, so that neither a slow answer nor a suspended host makes old news
// look new. It returns false without an answer.
func (g *Gateway) ask(peer netip.AddrPort) bool {
	sent := sinceBoot()
	q := &wire.Query{Digest: g.storeCache.targetsDigest()}
	if table := g.core.table.Load(); table != nil {
		q.Revision = table.Version
	}
	v, err := mesh.Ask(g.ctx, peer, q, g.core.allow(mesh.QueryTimeout))
	if g.ctx.Err() != nil {
		return false // the query ended with this host
	}
	g.record.peerAsked(peer, err)
	if err != nil || v.Revision == 0 {
		return false
	}
	if v.Revision > q.Revision && len(v.Config) > 0 {
		g.takeConfig(v.Config)
	}
	if table := g.core.table.Load(); table != nil && table.Version == v.Revision {
		g.core.confirmConfig(sent - time.Duration(v.Age)*time.Millisecond)
	}
	asOf := sent - time.Duration(v.TargetsAge)*time.Millisecond
	if v.Digest == q.Digest {
		g.storeCache.confirmTargets(v.Digest, asOf)
		g.confirmTargets(asOf)
		return true
	}
	g.takeTargets(v.Targets, asOf, (*route.Listing).Relay)
	return true
}

// takeConfig puts a configuration in force unless it can't be read or is older.
func (g *Gateway) takeConfig(value []byte) {
	table, err := platform.DecodeConfig(value)
	if err != nil {
		g.record.configUnreadable(err)
		return
	}
	g.applyConfig(table, value)
}
