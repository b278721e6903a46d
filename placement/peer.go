package placement

import "time"

// peerLife is the time after which what a peer told counts no more.
const peerLife = 1500 * time.Millisecond

// peer is what another host told last.
type peer struct {
	at      time.Time
	loads   map[string]Load
	demands map[string][]Demand
}

func (p *peer) fresh(now time.Time) bool { return now.Sub(p.at) < peerLife }

// TargetLoad is the work of one host at one target.
type TargetLoad struct {
	Target string
	Load   Load
}

// ServiceDemand is what a team received and asked for of a service at one host.
type ServiceDemand struct {
	Service string
	Demand  Demand
}

// News is what a host tells the others.
type News struct {
	Loads   []TargetLoad
	Demands []ServiceDemand
}

// News returns what this host tells the others.
func (b *Board) News(now time.Time) News {
	var n News
	for id, r := range b.rows {
		if r.own != (Load{}) {
			n.Loads = append(n.Loads, TargetLoad{Target: id, Load: r.own})
		}
	}
	for service, p := range b.pools {
		for name, u := range p.teams {
			d := Demand{Team: name, Received: u.received.read(now), Asked: u.asked.read(now)}
			if d.Asked < leastDemand {
				delete(p.teams, name)
				continue
			}
			n.Demands = append(n.Demands, ServiceDemand{Service: service, Demand: d})
		}
	}
	return n
}

// leastDemand is the demand below which a team is forgotten, in cost units.
const leastDemand = 1.0

// Learn takes the news of another host.
func (b *Board) Learn(now time.Time, from uint64, n News) {
	p := &peer{at: now, loads: map[string]Load{}, demands: map[string][]Demand{}}
	for _, l := range n.Loads {
		p.loads[l.Target] = l.Load
	}
	for _, d := range n.Demands {
		p.demands[d.Service] = append(p.demands[d.Service], d.Demand)
	}
	b.peers[from] = p
	b.sum(now)
}

// Tick forgets peers that went silent.
func (b *Board) Tick(now time.Time) {
	for id, p := range b.peers {
		if !p.fresh(now) {
			delete(b.peers, id)
		}
	}
	b.sum(now)
}

// sum adds up the loads that peers told.
func (b *Board) sum(now time.Time) {
	for id, r := range b.rows {
		r.peers = Load{}
		for _, p := range b.peers {
			if p.fresh(now) {
				r.peers.add(p.loads[id])
			}
		}
	}
}

// Peers returns the number of other hosts that were heard of late.
func (b *Board) Peers(now time.Time) int {
	count := 0
	for _, p := range b.peers {
		if p.fresh(now) {
			count++
		}
	}
	return count
}
