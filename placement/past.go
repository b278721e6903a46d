package placement

import (
	"maps"
	"math"
	"time"
)

// lowDemandFraction is the fraction of an even share below which the demand of a team must fall
// until the team no longer counts as asking for more than that share.
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

// chargedService returns the service that owners of engines charge to each team. It keeps shares
// fair when a flood begins while another team uses most engines: each team that starts to ask for
// more than an even share is charged exactly that share, whatever it received before, and other
// such teams that are charged more start again at the even share. So no team is charged for
// capacity that nobody else asked for, and an idle team gets no credit for the past.
func (p *pool) chargedService(now time.Time, demands []Demand, even float64) map[string]float64 {
	if p.uncounted == nil {
		p.uncounted = map[string]uncounted{}
	}
	added := p.trackTeamsAboveEvenShare(now, demands, even)
	charged := make(map[string]float64, len(demands))
	for _, d := range demands {
		entry, tracked := p.uncounted[d.Team]
		charged[d.Team] = max(0, d.Received-entry.remaining(now))
		if added && tracked && charged[d.Team] > even {
			p.uncounted[d.Team] = uncounted{amount: d.Received - even, since: now}
			charged[d.Team] = even
		}
	}
	maps.DeleteFunc(p.uncounted, func(team string, _ uncounted) bool {
		_, reported := charged[team]
		return !reported
	})
	return charged
}

// trackTeamsAboveEvenShare updates which teams ask for more than an even share. It reports whether a
// team was added.
func (p *pool) trackTeamsAboveEvenShare(now time.Time, demands []Demand, even float64) bool {
	added := false
	for _, d := range demands {
		_, tracked := p.uncounted[d.Team]
		switch {
		case !tracked && d.Asked > even:
			p.uncounted[d.Team] = uncounted{amount: d.Received - even, since: now}
			added = true
		case tracked && d.Asked < lowDemandFraction*even:
			delete(p.uncounted, d.Team)
		}
	}
	return added
}
