package placement

import "time"

// teamUse is what a team received and asked for of late, at this host and, as
// peers tell, at the others.
type teamUse struct {
	received usage
	asked    usage
}

func (p *pool) team(name string) *teamUse {
	u := p.teams[name]
	if u == nil {
		u = &teamUse{}
		p.teams[name] = u
	}
	return u
}

// demands returns the demands of all teams over the whole fleet.
func (b *Board) demands(now time.Time, service string) []Demand {
	p := b.pool(service)
	sums := map[string]*Demand{}
	for name, u := range p.teams {
		sums[name] = &Demand{Team: name, Received: u.received.read(now), Asked: u.asked.read(now)}
	}
	for _, peer := range b.peers {
		if !peer.fresh(now) {
			continue
		}
		for _, d := range peer.demands[service] {
			sum := sums[d.Team]
			if sum == nil {
				sum = &Demand{Team: d.Team}
				sums[d.Team] = sum
			}
			sum.Received += d.Received
			sum.Asked += d.Asked
		}
	}
	list := make([]Demand, 0, len(sums))
	for _, d := range sums {
		d.Asked = max(d.Asked, d.Received)
		list = append(list, *d)
	}
	return list
}

// ahead returns whether a team received more than its max-min share of late.
func (b *Board) ahead(now time.Time, service, team string) bool {
	demands := b.demands(now, service)
	level := Level(demands)
	for _, d := range demands {
		if d.Team == team {
			return d.Received > level
		}
	}
	return false
}
