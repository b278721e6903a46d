package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cassiachute/cassiachute/history"
	"github.com/cassiachute/cassiachute/mesh"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	queryInterval   = 250 * time.Millisecond // between two rounds of queries to other hosts
	queriesPerRound = 2                      // hosts that are queried in one round, at most
	firstQueries    = 2                      // hosts that are asked before the first configuration, at most
)

// reply answers the query of another host with the configuration and the list of targets
// that this host knows, each only if the other host has an older or different one.
func (g *Gateway) reply(q *wire.Query) *wire.Reply {
	table := g.core.table.Load()
	if table == nil {
		return &wire.Reply{}
	}
	v := &wire.Reply{Revision: table.Version, Age: ageMillis(g.core.configAge())}
	g.storeCache.mu.Lock()
	defer g.storeCache.mu.Unlock()
	if table.Version > q.Revision {
		v.Configuration = g.storeCache.config
	}
	v.Evacuated, v.EvacuatedAsOf = g.storeCache.evacuated, g.storeCache.evacuatedAsOf.Pack()
	v.TargetsAge = ageMillis(sinceBoot() - g.storeCache.targetsAsOf)
	v.Digest = g.storeCache.digest
	if v.Digest != q.Digest {
		v.Targets = g.storeCache.targetRows()
	}
	return v
}

// queryPeers asks other hosts for the configuration and the targets in the store, unless this
// host itself reads the store with success and no other host has a newer configuration. It returns the time until the next round.
func (g *Gateway) queryPeers() time.Duration {
	d := g.storeRole()
	if peer, ok := g.peers.withNewer(g.revision()); ok && d != roleAsker && g.queryPeer(peer) {
		return queryInterval
	}
	for range queriesPerRound {
		if d == roleReader && g.core.configAge() < staleAge && g.storeCache.targetsAge() < staleAge {
			break
		}
		peer, ok := g.peers.nextToQuery()
		if !ok || g.queryPeer(peer) && d == roleAsker {
			break
		}
	}
	return queryInterval
}

// revision returns the version of the configuration in force, 0 for none.
func (g *Gateway) revision() uint64 {
	if table := g.core.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// queryPeer asks another host and adopts what it knows. The ages in the answer count from the moment
// at which the query was sent, so that neither a slow answer nor a suspended host makes old
// information look new. It returns false if there was no usable answer.
func (g *Gateway) queryPeer(peer netip.AddrPort) bool {
	sent := sinceBoot()
	q := &wire.Query{Revision: g.revision(), Digest: g.storeCache.targetsDigest()}
	v, err := mesh.Ask(g.ctx, peer, q, g.core.timeoutWithLag(mesh.QueryTimeout))
	if g.ctx.Err() != nil {
		return false // the query was cancelled because this host shuts down
	}
	g.record.peerAsked(peer, err)
	if err != nil || v.Revision == 0 {
		return false
	}
	position := history.Unpack(v.EvacuatedAsOf)
	configAsOf := sent - time.Duration(v.Age)*time.Millisecond
	g.updateEvacuated(v.Evacuated, position)
	if v.Revision > q.Revision && len(v.Configuration) > 0 {
		g.takeConfig(v.Configuration, configAsOf)
	}
	g.confirmRevision(v.Revision, configAsOf, confirmation{peer: peer, era: position.Era})
	asOf := sent - time.Duration(v.TargetsAge)*time.Millisecond
	if v.Digest == q.Digest {
		g.storeCache.confirmTargets(v.Digest, asOf)
		g.confirmTargets(asOf)
	} else {
		g.updateTargets(v.Targets, asOf, (*route.Listing).Relay)
	}
	if position.Version != 0 { // else the host has read nothing itself, and no host told it
		g.recordTargetsRelayed(position.Era)
	}
	g.core.keepCold(asOf)
	return true
}

// takeConfig applies an encoded configuration unless it can't be decoded or is older than the
// current one. It was current at a time since boot. The result is its revision, 0 if it can't be decoded.
func (g *Gateway) takeConfig(value []byte, asOf time.Duration) (revision uint64) {
	table, err := platform.DecodeConfig(value)
	if err != nil {
		g.record.configUnreadable(err)
		return 0
	}
	if g.core.table.Load() == nil && table.Version >= g.peers.newestRevision() {
		g.core.confirmConfig(asOf) // with the first configuration the host is ready, and needs its age
	}
	g.applyConfig(table, value)
	return table.Version
}

// confirmRevision records that a revision, 0 for none, was shown as the current one at a time since boot, and by whom.
// That confirms the configuration in force only if it is the same, and no other host has a newer one: a store that
// came back from a copy may show an older one, and has lost those that came after it. The result is whether it does.
func (g *Gateway) confirmRevision(revision uint64, asOf time.Duration, by confirmation) bool {
	table := g.core.table.Load()
	if table == nil {
		return false
	}
	by.revision = table.Version
	newest := max(table.Version, g.peers.newestRevision())
	if revision != newest {
		if !by.peer.IsValid() {
			g.record.configUnconfirmed(revision, table.Version, newest)
		}
		return false
	}
	g.core.confirmConfig(asOf)
	g.record.configConfirmed(by, sinceBoot()-asOf)
	return true
}

// askBeforeFirst asks other hosts for what they know of the store. A host that starts calls it before it takes its
// first configuration from the store, which may show an older one than they have in force.
func (g *Gateway) askBeforeFirst() {
	var asked sync.WaitGroup
	for n, peer := range g.peers.addresses() {
		if n < firstQueries {
			asked.Go(func() { g.queryPeer(peer) })
		}
	}
	asked.Wait()
}
