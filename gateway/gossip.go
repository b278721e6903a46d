package gateway

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// forgetPeerAfter is the time without a state report after which a host is forgotten. One that the store
// still lists is added again.
const forgetPeerAfter = time.Minute

// peerState is what is known of another host of the fleet.
type peerState struct {
	lastSeen      time.Time     // when it was listed first or sent its last state report
	boot          uint64        // start time of its process, from its last report
	stateNumber   uint64        // number of its last report
	alive         bool          // its last report is recent enough
	storeAge      time.Duration // age of what it knows from the store, at its last report
	readsStore    bool          // it reads the store itself
	place         string        // data centre, empty before its first report
	canOwn        bool          // it may own targets: it is neither shutting down nor out of the rotation
	revision      uint64        // version of the configuration in force there
	outOfRotation bool          // it asks the load balancer for no new connections
}

// peerTable holds the other hosts of the fleet by their address for messages.
type peerTable struct {
	self      netip.AddrPort
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*peerState

	queries int // queries for the store's content so far
}

// newPeerTable returns a table without hosts, for the host with an address.
func newPeerTable(self netip.AddrPort) *peerTable {
	return &peerTable{self: self, byAddress: map[netip.AddrPort]*peerState{}}
}

// add adds a host that the store or the settings list, unless it is this host or known
// already. Hosts without an IPv4 address are left out, since messages are sent over IPv4 alone.
func (c *peerTable) add(address netip.AddrPort, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.self || !address.Addr().Is4() {
		return
	}
	if peer := c.byAddress[address]; peer != nil {
		return
	}
	c.byAddress[address] = &peerState{lastSeen: now}
}

// update records the state report of a host. fresh is false if the report is a duplicate, older
// than the last one, or from an earlier process; first is true if the host was not alive until
// now. Processes are ordered by their start time, and the clock of a host may have been set back,
// so reports of any process are accepted while a host is not alive.
func (c *peerTable) update(address netip.AddrPort, m *wire.HostState, now time.Time) (fresh, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := c.byAddress[address]
	if peer == nil {
		peer = &peerState{}
		c.byAddress[address] = peer
	}
	earlier := peer.alive && m.Boot < peer.boot
	if earlier || m.Boot == peer.boot && m.Number <= peer.stateNumber {
		return false, false
	}
	first = !peer.alive
	peer.lastSeen, peer.boot, peer.stateNumber, peer.alive = now, m.Boot, m.Number, true
	peer.storeAge, peer.readsStore = time.Duration(m.Age)*time.Millisecond, m.ReadsStore
	peer.revision = m.Revision
	peer.place, peer.canOwn, peer.outOfRotation = m.Place, !m.Leaving && !m.NotReady, m.NotReady
	return true, first
}

// expireSilent marks the hosts without a recent state report as not alive, and returns those that
// were alive until now. Hosts without a report for forgetPeerAfter are removed.
func (c *peerTable) expireSilent(now time.Time) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := placement.PeerStateLifetime(len(c.byAddress) + 1)
	var list []netip.AddrPort
	for address, peer := range c.byAddress {
		if now.Sub(peer.lastSeen) > forgetPeerAfter {
			delete(c.byAddress, address)
		}
		if peer.alive && now.Sub(peer.lastSeen) > limit {
			peer.alive = false
			list = append(list, address)
		}
	}
	return list
}

// livePeers returns the hosts that are alive.
func (c *peerTable) livePeers() []peerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []peerStatus
	for address, peer := range c.byAddress {
		if peer.alive {
			list = append(list, peerStatus{address: address, fresh: peer.storeAge < staleAge, reader: peer.readsStore})
		}
	}
	return list
}

// owners returns the hosts that may own targets, ordered by host number.
func (c *peerTable) owners() []placement.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []placement.Host
	for address, peer := range c.byAddress {
		if peer.alive && peer.canOwn {
			list = append(list, placement.Host{ID: hostNumber(address), Place: peer.place})
		}
	}
	slices.SortFunc(list, func(a, b placement.Host) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// ages returns the time since the last state report of each host, by address.
func (c *peerTable) ages(now time.Time) map[netip.AddrPort]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := make(map[netip.AddrPort]time.Duration, len(c.byAddress))
	for address, peer := range c.byAddress {
		ages[address] = now.Sub(peer.lastSeen)
	}
	return ages
}

// nextToQuery returns the host to ask next for the store's content, in turn: one of those that
// read the store, or any host that is alive if what all of them know is old.
func (c *peerTable) nextToQuery() (netip.AddrPort, bool) {
	live := c.livePeers()
	if len(live) == 0 {
		return netip.AddrPort{}, false
	}
	if slices.ContainsFunc(live, peerStatus.isReader) {
		live = slices.DeleteFunc(live, func(s peerStatus) bool { return !s.isReader() })
	}
	slices.SortFunc(live, func(a, b peerStatus) int { return a.address.Compare(b.address) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries++
	return live[c.queries%len(live)].address, true
}

// newestRevision returns the newest configuration that hosts which are alive have in force, 0 without any.
func (c *peerTable) newestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := uint64(0)
	for _, peer := range c.byAddress {
		if peer.alive {
			newest = max(newest, peer.revision)
		}
	}
	return newest
}

// withNewer returns a host that is alive and has a newer configuration than the given one in force, in turn.
func (c *peerTable) withNewer(revision uint64) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []netip.AddrPort
	for address, peer := range c.byAddress {
		if peer.alive && peer.revision > revision {
			list = append(list, address)
		}
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	c.queries++
	return list[c.queries%len(list)], true
}

// addresses returns all hosts.
func (c *peerTable) addresses() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(c.byAddress))
	for address := range c.byAddress {
		list = append(list, address)
	}
	return list
}

// addressesNear returns the hosts of a data centre and those whose data centre is not known.
func (c *peerTable) addressesNear(place string) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []netip.AddrPort
	for address, peer := range c.byAddress {
		if peer.place == "" || peer.place == place {
			list = append(list, address)
		}
	}
	return list
}

// count returns the number of hosts, alive or not.
func (c *peerTable) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byAddress)
}

// sendHostState sends the state of this host to the other hosts and returns the time until the
// next report. Most reports go only to hosts of the same data centre, to save traffic between
// data centres.
func (g *Gateway) sendHostState() time.Duration {
	hosts := g.peers.addresses()
	if len(hosts) == 0 {
		return placement.StatePeriod(1)
	}
	period, farEvery := placement.StatePeriod(len(hosts)+1), uint64(placement.RemoteStateEvery(len(hosts)+1))
	if g.stateNumber%farEvery != 0 {
		hosts = g.peers.addressesNear(g.settings.Place)
	}
	defer g.record.times.addSince(activityHostState, time.Now())
	g.stateNumber++
	state := g.core.buildHostState(time.Now())
	state.Boot, state.Number, state.Place = g.boot, g.stateNumber, g.settings.Place
	state.Leaving, state.ReadsStore = g.stopping(), g.storeRole() == roleReader
	state.NotReady = g.stopping() || g.core.outOfRotation()
	state.Age = ageMillis(max(g.core.configAge(), g.storeCache.targetsAge()))
	state.Revision = g.revision()
	if err := g.mesh.Send(state, hosts); err != nil {
		g.record.peerFailed(err)
	} else {
		g.record.peersReached()
	}
	return period
}

// buildHostState returns the part of this host's state that the core knows: loads, demand,
// departures, pauses and held traits.
func (c *core) buildHostState(now time.Time) *wire.HostState {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.board.State(now)
	out := &wire.HostState{}
	for _, l := range n.Loads {
		out.Loads = append(out.Loads, wire.TargetLoad{
			Target: l.Target, PromptTokens: uint32(l.Load.Prompt), Running: uint32(l.Load.Running), MemoryTokens: uint32(l.Load.Memory),
		})
	}
	for _, d := range n.Demands {
		out.Demands = append(out.Demands, wire.TeamDemand{
			Service: d.Service, Team: d.Demand.Team, Received: uint32(d.Demand.Received), Asked: uint32(d.Demand.Asked),
		})
	}
	for _, d := range n.Departures {
		out.Departures = append(out.Departures, departureMessage(now, d))
	}
	for _, p := range n.Pauses {
		out.Pauses = append(out.Pauses, wire.Pause{Target: p.Target, Left: toMillis(p.Until.Sub(now))})
	}
	for _, s := range n.Suspicions {
		out.Suspicions = append(out.Suspicions, wire.Suspicion{Target: s.Target, Age: toMillis(now.Sub(s.Since)), Left: toMillis(s.Until.Sub(now))})
	}
	out.Speeds = speedMessages(n.Speeds)
	for _, status := range c.quarantine.State() {
		out.HeldTraits = append(out.HeldTraits, status.Message(now))
	}
	return out
}

// receiveHostState applies the state report of another host unless it is out of date.
func (g *Gateway) receiveHostState(from netip.AddrPort, m *wire.HostState) {
	now := time.Now()
	fresh, first := g.peers.update(from, m, now)
	if !fresh {
		return
	}
	if first {
		g.record.peerChanged(from, m.Place, true)
	}
	n := placement.PeerState{}
	for _, l := range m.Loads {
		n.Loads = append(n.Loads, placement.TargetLoad{Target: l.Target, Load: placement.Load{
			Prompt: int(l.PromptTokens), Running: int(l.Running), Memory: int(l.MemoryTokens),
		}})
	}
	for _, d := range m.Demands {
		n.Demands = append(n.Demands, placement.ServiceDemand{Service: d.Service, Demand: placement.Demand{
			Team: d.Team, Received: float64(d.Received), Asked: float64(d.Asked),
		}})
	}
	for n := range m.Departures {
		g.handleDeparture(from, &m.Departures[n])
	}
	for _, p := range m.Pauses {
		n.Pauses = append(n.Pauses, placement.Pause{Target: p.Target, Until: now.Add(fromMillis(p.Left))})
	}
	for _, s := range m.Suspicions {
		n.Suspicions = append(n.Suspicions, placement.Suspicion{Target: s.Target, Since: now.Add(-fromMillis(s.Age)), Until: now.Add(fromMillis(s.Left))})
	}
	n.Speeds = speedsFromMessage(m.Speeds)
	g.mergeHeldTraits(from, now, m.HeldTraits)
	g.core.applyPeerState(now, hostNumber(from), n)
}
