package placement

import (
	"maps"
	"math"
	"time"
)

// calmPart is the part of an even share below which a team that asked for more counts as calm again.
const calmPart = 0.7

// past is what a team received that is not counted, less than 0 for what is counted besides.
type past struct {
	amount float64
	at     time.Time
}

// left returns what is not counted at a time. It fades as what was received does.
func (p past) left(now time.Time) float64 {
	return p.amount * math.Exp(-max(0, now.Sub(p.at).Seconds())/usageLife.Seconds())
}

// count returns what teams received as the owners of engines count it. It answers floods that begin
// while another team has most engines for itself: each team that asks for more than an even part begins
// with just that part, whatever it received before, and others that had more do so anew. What nobody
// else asked for is held against no team, and a team that was idle has no claim to make up for.
func (p *pool) count(now time.Time, demands []Demand, even float64) map[string]float64 {
	if p.pasts == nil {
		p.pasts = map[string]past{}
	}
	entering := p.enter(now, demands, even)
	counted := make(map[string]float64, len(demands))
	for _, d := range demands {
		own, pressing := p.pasts[d.Team]
		counted[d.Team] = max(0, d.Received-own.left(now))
		if entering && pressing && counted[d.Team] > even {
			p.pasts[d.Team] = past{amount: d.Received - even, at: now}
			counted[d.Team] = even
		}
	}
	maps.DeleteFunc(p.pasts, func(team string, _ past) bool {
		_, heard := counted[team]
		return !heard
	})
	return counted
}

// enter takes which teams ask for more than an even part. It returns whether some do that did
// not before.
func (p *pool) enter(now time.Time, demands []Demand, even float64) bool {
	entering := false
	for _, d := range demands {
		_, pressing := p.pasts[d.Team]
		switch {
		case !pressing && d.Asked > even:
			p.pasts[d.Team] = past{amount: d.Received - even, at: now}
			entering = true
		case pressing && d.Asked < calmPart*even:
			delete(p.pasts, d.Team)
		}
	}
	return entering
}
