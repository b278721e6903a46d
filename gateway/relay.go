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
	table := g.core.view.Load()
	if table == nil {
		return &wire.Reply{}
	}
	v := &wire.Reply{Revision: table.Version, Age: ageField(g.core.age())}
	g.known.mu.Lock()
	defer g.known.mu.Unlock()
	if table.Version > q.Revision {
		v.Configuration = g.known.config
	}
	v.TargetsAge = ageField(awake() - g.known.targetsAsOf)
	v.Digest = g.known.digest
	if v.Digest != q.Digest {
		v.Targets = g.known.entries()
	}
	return v
}

// consult asks other hosts for what the store told them, unless this one reads the
// store itself with success.
func (g *Gateway) consult() time.Duration {
	d := g.duty()
	for range askedAtOnce {
		if d == reader && g.core.age() < staleAge && g.known.targetsAge() < staleAge {
			break
		}
		peer, ok := g.peers.turn()
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
	sent := awake()
	q := &wire.Query{Digest: g.known.targetsDigest()}
	if table := g.core.view.Load(); table != nil {
		q.Revision = table.Version
	}
	v, err := mesh.Ask(g.ctx, peer, q, g.core.allow(mesh.QueryTimeout))
	if g.ctx.Err() != nil {
		return false // the query ended with this host
	}
	g.record.asked(peer, err)
	if err != nil || v.Revision == 0 {
		return false
	}
	if v.Revision > q.Revision && len(v.Configuration) > 0 {
		g.takeConfig(v.Configuration)
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

// takeConfig puts a configuration in force unless it can't be read or is older.
func (g *Gateway) takeConfig(value []byte) {
	table, err := platform.DecodeConfig(value)
	if err != nil {
		g.record.badConfig(err)
		return
	}
	g.apply(table, value)
}
