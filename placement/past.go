package placement

import (
	"maps"
	"math"
	"time"
)

// lowDemandFraction is the fraction of an even share below which a team that asked for more stops
// counting as pressing.
const lowDemandFraction = 0.7

// uncounted is service that a team received but is not charged for. It is negative for service
// charged in addition.
type uncounted struct {
	amount float64
	since  time.Time
}

// remaining returns the uncounted service at a time. It decays like the service received.
func (p uncounted) remaining(now time.Time) float64 {
	return p.amount * math.Exp(-max(0, now.Sub(p.since).Seconds())/usageDecayTime.Seconds())
}

// countedReceipts returns the service that owners of engines charge to each team. It keeps shares
// fair when a flood begins while another team uses most engines: each team that starts to ask for
// more than an even share is charged exactly that share, whatever it received before, and other
// such teams that are charged more start again at the even share. Capacity that nobody else asked
// for is thus held against no team, and an idle team gets no credit for the past.
func (p *pool) countedReceipts(now time.Time, demands []Demand, even float64) map[string]float64 {
	if p.uncounted == nil {
		p.uncounted = map[string]uncounted{}
	}
	entering := p.trackPressingTeams(now, demands, even)
	counted := make(map[string]float64, len(demands))
	for _, d := range demands {
		entry, pressing := p.uncounted[d.Team]
		counted[d.Team] = max(0, d.Received-entry.remaining(now))
		if entering && pressing && counted[d.Team] > even {
			p.uncounted[d.Team] = uncounted{amount: d.Received - even, since: now}
			counted[d.Team] = even
		}
	}
	maps.DeleteFunc(p.uncounted, func(team string, _ uncounted) bool {
		_, heard := counted[team]
		return !heard
	})
	return counted
}

// trackPressingTeams updates which teams are pressing, that is, ask for more than an even share. It
// reports whether a team became pressing.
func (p *pool) trackPressingTeams(now time.Time, demands []Demand, even float64) bool {
	entering := false
	for _, d := range demands {
		_, pressing := p.uncounted[d.Team]
		switch {
		case !pressing && d.Asked > even:
			p.uncounted[d.Team] = uncounted{amount: d.Received - even, since: now}
			entering = true
		case pressing && d.Asked < lowDemandFraction*even:
			delete(p.uncounted, d.Team)
		}
	}
	return entering
}
