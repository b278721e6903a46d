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

// levelLife is the time for which the shares of a service are used before they
// are worked out again.
const levelLife = 20 * time.Millisecond

// shares are the max-min shares of a service at one moment.
type shares struct {
	at       time.Time
	level    float64
	received map[string]float64
}

// shares returns the present shares of a service over the whole fleet.
func (b *Board) shares(now time.Time, service string, p *pool) *shares {
	if now.Sub(p.shares.at) < levelLife && p.shares.received != nil {
		return &p.shares
	}
	demands := b.demands(now, service, p)
	received := make(map[string]float64, len(demands))
	for _, d := range demands {
		received[d.Team] = d.Received
	}
	p.shares = shares{at: now, level: Level(demands), received: received}
	return &p.shares
}

// demands returns the demands of all teams over the whole fleet.
func (b *Board) demands(now time.Time, service string, p *pool) []Demand {
	list := make([]Demand, 0, len(p.teams))
	rows := make(map[string]int, len(p.teams))
	for name, u := range p.teams {
		rows[name] = len(list)
		list = append(list, Demand{Team: name, Received: u.received.read(now), Asked: u.asked.read(now)})
	}
	for _, peer := range b.peers {
		if !peer.fresh(now) {
			continue
		}
		for _, d := range peer.demands[service] {
			at, ok := rows[d.Team]
			if !ok {
				at = len(list)
				rows[d.Team] = at
				list = append(list, Demand{Team: d.Team})
			}
			list[at].Received += d.Received
			list[at].Asked += d.Asked
		}
	}
	for i := range list {
		list[i].Asked = max(list[i].Asked, list[i].Received)
	}
	return list
}

// ahead returns whether a team received more than its max-min share of late.
func (b *Board) ahead(now time.Time, service, team string) bool {
	s := b.shares(now, service, b.pool(service))
	return s.received[team] > s.level
}
