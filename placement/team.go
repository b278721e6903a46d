package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// teamUsage holds how much service a team recently received and asked for at this host.
type teamUsage struct {
	received decayingSum
	asked    decayingSum
	running  int // requests at engines that this host decided about
}

// team returns the usage of a team and creates it if needed.
func (p *pool) team(name string) *teamUsage {
	u := p.teams[name]
	if u == nil {
		u = &teamUsage{}
		p.teams[name] = u
	}
	return u
}

// Validity of computed shares.
const (
	minShareLifetime     = 20 * time.Millisecond
	shareLifetimePerHost = time.Millisecond
)

// shareLifetime returns how long computed shares of a service stay valid. Computing them takes
// longer in a large fleet.
func (b *Board) shareLifetime() time.Duration {
	return minShareLifetime + time.Duration(len(b.peers))*shareLifetimePerHost
}

// fairShares holds the max-min shares of a service at one moment, in cost units.
type fairShares struct {
	computedAt    time.Time
	entitledShare float64 // max-min share of the promised capacity
	evenShare     float64 // max-min share of the service delivered
	totalReceived float64 // service delivered to all teams
	received      map[string]float64
	asked         map[string]float64
	starved       map[string]bool // teams that received far less than they asked for and than others got
	slotOccupancy float64         // fraction of the slots in use
	totalSlots    int             // of all usable engines
	ownerCharges  charges         // on which owners of engines base their decisions
	fullness      float64         // fraction of their capacity that busy engines use
	quota         float64         // most that a team may receive, infinite while engines have room
}

// charges holds the service charged to each team, and the teams starved by that measure.
type charges struct {
	received map[string]float64
	starved  map[string]bool
}

// shares returns the current shares of a service over the whole fleet and recomputes them if they
// are too old.
func (b *Board) shares(now time.Time, service string, p *pool) *fairShares {
	if now.Sub(p.shares.computedAt) < b.shareLifetime() && p.shares.received != nil {
		return &p.shares
	}
	demands := b.demands(now, service, p)
	s := fairShares{computedAt: now, received: make(map[string]float64, len(demands)), asked: make(map[string]float64, len(demands))}
	for _, d := range demands {
		s.received[d.Team], s.asked[d.Team] = d.Received, d.Asked
		s.totalReceived += d.Received
	}
	s.evenShare = MaxMinShare(demands, s.totalReceived)
	s.entitledShare = s.evenShare
	if b.promisedRate > 0 {
		s.entitledShare = MaxMinShare(demands, b.promisedRate*p.unpausedFraction(now)*usageDecayTime.Seconds())
	}
	if p.engine != nil {
		s.starved = starvedTeams(demands, s.received, s.evenShare)
		s.ownerCharges.received = p.chargedService(now, demands, s.evenShare)
		s.ownerCharges.starved = starvedTeams(demands, s.ownerCharges.received, s.evenShare)
		s.slotOccupancy, s.totalSlots = p.slotOccupancy(now)
		s.fullness = p.fullness(now)
		s.quota = teamQuota(demands, s.totalReceived, s.fullness)
		s.entitledShare = min(s.entitledShare, s.quota/quotaHeadroom) // the promised capacity may count engines that no longer serve
	}
	p.shares = s
	return &p.shares
}

// demands returns the demands of all teams over the whole fleet. It adds them up in the order of
// teams and hosts, so that the same input gives the same floating-point sums.
func (b *Board) demands(now time.Time, service string, p *pool) []Demand {
	list := make([]Demand, 0, len(p.teams))
	indexes := make(map[string]int, len(p.teams))
	for _, name := range slices.Sorted(maps.Keys(p.teams)) {
		u := p.teams[name]
		indexes[name] = len(list)
		list = append(list, Demand{Team: name, Received: u.received.valueAt(now), Asked: u.asked.valueAt(now)})
	}
	for _, id := range slices.Sorted(maps.Keys(b.peers)) {
		for _, d := range b.peers[id].demands[service] {
			index, ok := indexes[d.Team]
			if !ok {
				index = len(list)
				indexes[d.Team] = index
				list = append(list, Demand{Team: d.Team})
			}
			list[index].Received += d.Received
			list[index].Asked += d.Asked
		}
	}
	for i := range list {
		list[i].Asked = max(list[i].Asked, list[i].Received)
	}
	return list
}

// Standing compares what a team recently received with its share of a service. On a plain service,
// every team counts as entitled.
func (b *Board) Standing(now time.Time, service, team string) Standing {
	if b.pool(service).engine == nil {
		return Entitled
	}
	s, _ := b.standing(now, service, team)
	return s
}

// standing compares the service that a team recently received with its share. It also returns the
// ratio of that share to the service received; fairShares.standing has the rules.
func (b *Board) standing(now time.Time, service, team string) (Standing, float64) {
	s := b.shares(now, service, b.pool(service))
	return s.standing(team, s.allCharges())
}

// allCharges charges each team all the service it received. It is for hosts that decide in place of
// an owner.
func (s *fairShares) allCharges() charges { return charges{received: s.received, starved: s.starved} }

// standingForDecision returns the standing of the team of a request, and the ratio of its share to
// the service received. An owner goes by its own charges, which leave out part of the past.
func (b *Board) standingForDecision(now time.Time, a *Request) (Standing, float64) {
	s := b.shares(now, a.Service, b.pool(a.Service))
	if a.WantedEngine == "" {
		return s.standing(a.Team, s.allCharges())
	}
	return s.standing(a.Team, s.ownerCharges)
}

// standing compares the service charged to a team with its share. The ratio is that of the promised
// share for an entitled team and of the even share for others. A starved team counts as entitled,
// and so does one that asks for no more than an even share while teams have quotas.
func (s *fairShares) standing(team string, r charges) (Standing, float64) {
	received := r.received[team]
	switch {
	case received <= s.entitledShare:
		return Entitled, s.entitledShare / max(1, received)
	case !math.IsInf(s.quota, 1) && s.asked[team] <= s.evenShare:
		return Entitled, s.evenShare / max(1, received)
	case r.starved[team]:
		return Entitled, starvedRatio
	}
	ratio := s.evenShare / received
	if ratio >= 1 {
		return AboveEntitledShare, ratio
	}
	return AboveEvenShare, ratio
}

// maxTopShares bounds the number of teams that TopShares returns.
const maxTopShares = 2

// TeamShare reports how much service a team recently received and what its share was, in cost
// units.
type TeamShare struct {
	Service       string
	Team          string
	AskedHere     float64 // asked for at this host
	Asked         float64 // asked for over the whole fleet
	Received      float64
	Entitled      float64 // share of the promised capacity
	Even          float64 // share of the service delivered
	Standing      Standing
	Running       int     // requests at engines that this host decided about
	Starved       bool    // it received far less than it asked for and than others got
	SlotOccupancy float64 // fraction of the service's slots in use
	Fullness      float64 // fraction of their capacity that busy engines use
	Quota         float64 // most that the team may receive, infinite while engines have room
}

// TopShares returns the shares of the teams that asked this host for the most service.
func (b *Board) TopShares(now time.Time) []TeamShare {
	var list []TeamShare
	for service, p := range b.pools {
		if p.engine == nil {
			continue
		}
		s := b.shares(now, service, p)
		for name, u := range p.teams {
			standing, _ := b.standing(now, service, name)
			list = append(list, TeamShare{
				Service: service, Team: name, AskedHere: u.asked.valueAt(now), Asked: s.asked[name], Received: s.received[name],
				Entitled: s.entitledShare, Even: s.evenShare, Standing: standing,
				Running: u.running, Starved: s.starved[name], SlotOccupancy: s.slotOccupancy,
				Fullness: s.fullness, Quota: s.quota,
			})
		}
	}
	slices.SortFunc(list, func(x, y TeamShare) int { return cmp.Compare(y.AskedHere, x.AskedHere) })
	return list[:min(maxTopShares, len(list))]
}
