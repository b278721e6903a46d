package placement

import (
	"maps"
	"slices"
	"time"
)

// Intervals of state reports, and how long these stay valid.
const (
	minStatePeriod        = 50 * time.Millisecond
	statePeriodPerHost    = 4 * time.Millisecond
	maxRemoteStatePeriod  = 1500 * time.Millisecond // between two state reports to a host of another data centre, unless StatePeriod is longer
	remoteStateEvery      = 3                       // hosts of other data centres get at most one in this many state reports
	minPeerLifetime       = 1500 * time.Millisecond
	peerLifetimePeriods   = 5 // periods of state reports from the same data centre
	remoteLifetimePeriods = 4 // periods of state reports from other data centres
)

// StatePeriod returns the interval at which each host of a fleet reports its state. It grows with
// the fleet, so that a host of a large fleet receives no more reports a second.
func StatePeriod(hosts int) time.Duration {
	return max(minStatePeriod, time.Duration(hosts)*statePeriodPerHost)
}

// RemoteStateEvery returns n such that one in n state reports of each host goes to other data
// centres. Traffic between data centres is expensive, and no decision of an owner needs these
// reports.
func RemoteStateEvery(hosts int) int {
	return max(1, min(remoteStateEvery, int(maxRemoteStatePeriod/StatePeriod(hosts))))
}

// PeerStateLifetime returns how long the last state report of a host stays valid.
func PeerStateLifetime(hosts int) time.Duration {
	period := StatePeriod(hosts)
	remote := time.Duration(RemoteStateEvery(hosts)) * period
	return max(minPeerLifetime, peerLifetimePeriods*period, remoteLifetimePeriods*remote)
}

// peer holds the last state report of another host.
type peer struct {
	receivedAt time.Time
	loads      []TargetLoad
	demands    map[string][]Demand
	speeds     []SharedSpeed
}

// TargetLoad is the load that one host put on one target.
type TargetLoad struct {
	Target string
	Load   Load
}

// ServiceDemand is the demand of a team for a service at one host.
type ServiceDemand struct {
	Service string
	Demand  Demand
}

// PeerState is the state that a host periodically sends to the other hosts.
type PeerState struct {
	Loads      []TargetLoad
	Demands    []ServiceDemand
	Departures []Departure
	Pauses     []Pause
	Suspicions []Suspicion
	Speeds     []SharedSpeed // nil if the report leaves them out
}

// State returns the state that this host sends to the others. It forgets teams without demand and
// without running requests.
func (b *Board) State(now time.Time) PeerState {
	var n PeerState
	for id, r := range b.targets {
		if r.ownLoad != (Load{}) {
			n.Loads = append(n.Loads, TargetLoad{Target: id, Load: r.ownLoad})
		}
	}
	for service, p := range b.pools {
		for _, name := range slices.Sorted(maps.Keys(p.teams)) {
			u := p.teams[name]
			d := Demand{Team: name, Received: u.received.valueAt(now), Asked: u.asked.valueAt(now)}
			if max(d.Asked, d.Received) < minDemand {
				if u.running == 0 {
					delete(p.teams, name)
				}
				continue
			}
			n.Demands = append(n.Demands, ServiceDemand{Service: service, Demand: d})
		}
	}
	b.addNotices(now, &n)
	b.addSuspicions(now, &n)
	b.addSpeeds(now, &n)
	return n
}

// minDemand is the demand below which a team is forgotten, in cost units.
const minDemand = 1.0

// ApplyPeerState records the state report of another host. The load sums are updated by the
// difference, so that the cost does not grow with the number of hosts.
func (b *Board) ApplyPeerState(now time.Time, from uint64, n PeerState) {
	speeds := b.applySpeeds(now, from, n.Speeds)
	b.forgetPeer(from)
	p := &peer{receivedAt: now, loads: n.Loads, speeds: speeds, demands: map[string][]Demand{}}
	for _, d := range n.Demands {
		p.demands[d.Service] = append(p.demands[d.Service], d.Demand)
	}
	b.peers[from] = p
	for _, l := range n.Loads {
		if r := b.targets[l.Target]; r != nil {
			r.peerLoad.add(l.Load)
		}
	}
	for _, d := range n.Departures {
		if now.Sub(d.AnnouncedAt) <= departureLifetime {
			b.RecordDeparture(d)
		}
	}
	for _, p := range n.Pauses {
		b.RecordPeerPause(now, p)
	}
	for _, s := range n.Suspicions {
		b.applySuspicion(s)
	}
}

// forgetPeer drops the state report of a peer.
func (b *Board) forgetPeer(from uint64) {
	p := b.peers[from]
	if p == nil {
		return
	}
	delete(b.peers, from)
	for _, l := range p.loads {
		if r := b.targets[l.Target]; r != nil {
			r.peerLoad.sub(l.Load)
		}
	}
}

// Tick forgets peers whose state reports are too old, and expired departures.
func (b *Board) Tick(now time.Time) {
	b.expireDepartures(now)
	b.RecordRunning(now)
	b.refreshSpeeds(now)
	b.refreshKnees(now)
	lifetime := PeerStateLifetime(len(b.peers) + 1)
	for id, p := range b.peers {
		if now.Sub(p.receivedAt) >= lifetime {
			b.forgetPeer(id)
		}
	}
}

// sumPeerLoads recomputes the load that peers put on each target.
func (b *Board) sumPeerLoads() {
	for _, r := range b.targets {
		r.peerLoad = Load{}
	}
	for _, p := range b.peers {
		for _, l := range p.loads {
			if r := b.targets[l.Target]; r != nil {
				r.peerLoad.add(l.Load)
			}
		}
	}
}

// Peers returns the number of other hosts with valid state reports.
func (b *Board) Peers() int { return len(b.peers) }
