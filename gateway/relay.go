package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cassiachute/cassiachute/mesh"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	askAge      = 1500 * time.Millisecond // of what the store told, from which peers are asked
	askEvery    = 250 * time.Millisecond
	askedAtOnce = 2 // peers that are asked in one round
)

// knowledge is what the store told last, as it is passed on to peers.
type knowledge struct {
	mu          sync.Mutex
	config      []byte
	targets     []wire.TargetRow
	targetsAsOf time.Duration // awake time
}

func (k *knowledge) setConfig(value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config = value
}

// setTargets takes a list that is as of an awake time. It returns false if a newer
// one is known.
func (k *knowledge) setTargets(rows []wire.TargetRow, asOf time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if asOf < k.targetsAsOf {
		return false
	}
	k.targets, k.targetsAsOf = rows, asOf
	return true
}

func (k *knowledge) targetsAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return awake() - k.targetsAsOf
}

// reply answers the query of another host.
func (g *Gateway) reply(q *wire.Query) *wire.Reply {
	table := g.core.view.Load()
	if table == nil {
		return &wire.Reply{}
	}
	v := &wire.Reply{Revision: table.Version, Age: uint32(g.core.age().Milliseconds())}
	g.known.mu.Lock()
	defer g.known.mu.Unlock()
	if table.Version > q.Revision {
		v.Config = g.known.config
	}
	v.TargetsAge = uint32((awake() - g.known.targetsAsOf).Milliseconds())
	v.Targets = g.known.targets
	return v
}

// consult asks other hosts while this one can't read the store.
func (g *Gateway) consult() time.Duration {
	for range askedAtOnce {
		if g.core.age() < askAge && g.known.targetsAge() < askAge {
			break
		}
		peer, ok := g.peers.turn()
		if !ok {
			break
		}
		g.ask(peer)
	}
	return askEvery
}

// ask takes what another host knows. Its ages count from the moment at which the
// query was sent, so that neither a slow answer nor a suspended host makes old news
// look new.
func (g *Gateway) ask(peer netip.AddrPort) {
	sent := awake()
	q := &wire.Query{}
	if table := g.core.view.Load(); table != nil {
		q.Revision = table.Version
	}
	v, err := mesh.Ask(g.ctx, peer, q)
	g.record.asked(peer, err)
	if err != nil || v.Revision == 0 {
		return
	}
	if v.Revision > q.Revision && len(v.Config) > 0 {
		g.takeConfig(v.Config)
	}
	if table := g.core.view.Load(); table != nil && table.Version == v.Revision {
		g.core.confirm(sent - time.Duration(v.Age)*time.Millisecond)
	}
	asOf := sent - time.Duration(v.TargetsAge)*time.Millisecond
	g.takeTargets(v.Targets, asOf, (*route.Listing).Relay)
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
