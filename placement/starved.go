package placement

import (
	"math"
	"time"
)

// Thresholds of starvation and of scarce slots.
const (
	starvedFraction     = 0.8  // a team is starved below this fraction of its even share or of its demand
	smallDemandFraction = 0.05 // a team that asks for no more than this fraction of an even share is never starved
	starvedRatio        = 2.0  // ratio of share to service received that a starved team is credited with
	scarceSlotsFraction = 0.85 // fraction of slots in use from which slots are scarce
	idleSlotsFraction   = 0.7  // fraction of slots in use up to which no team's slots are limited
)

// starvedTeams returns the teams that received far less than both their demand and an even share of
// the service delivered. The even share is infinite if all teams got what they asked for.
func starvedTeams(demands []Demand, received map[string]float64, even float64) map[string]bool {
	if math.IsInf(even, 1) {
		return nil
	}
	var teams map[string]bool
	for _, d := range demands {
		if d.Asked > smallDemandFraction*even && received[d.Team] < starvedFraction*min(d.Asked, even) {
			if teams == nil {
				teams = map[string]bool{}
			}
			teams[d.Team] = true
		}
	}
	return teams
}

// slotOccupancy returns the fraction of a service's slots that are in use, and the number of slots.
// Engines that do not answer or are paused have none.
func (p *pool) slotOccupancy(now time.Time) (taken float64, slots int) {
	running := 0
	for _, r := range p.targets {
		if r.closed() || r.isPaused(now, false) || !r.health.usable(now) || r.stalled(now) {
			continue
		}
		slots += p.engine.Slots
		running += min(p.engine.Slots, r.load().Running)
	}
	return float64(running) / float64(max(1, slots)), slots
}

// atSlotLimit reports whether a team has all the engine slots that it may have through this host.
// While slots are scarce, this protects teams whose callers use few hosts: a host learns of the end
// of its own streams at once and of others late, so slots would stay with the teams that hold many.
// While a team is starved, a team above its share may use an even share of the slots: of those this
// host owns or, where owners do not answer, of the fraction of all slots that matches the team's
// demand here. No team is kept from idle slots.
func (b *Board) atSlotLimit(now time.Time, p *pool, a *Request, standing Standing) bool {
	s := &p.shares
	if standing == Entitled || len(s.starved) == 0 {
		return false
	}
	idle := (scarceSlotsFraction - s.slotOccupancy) / (scarceSlotsFraction - idleSlotsFraction)
	if idle >= 1 {
		return false
	}
	usage := p.team(a.Team)
	slots := float64(len(p.owned) * p.engine.Slots)
	if a.WantedEngine == "" {
		slots = float64(s.totalSlots) * min(1, usage.asked.valueAt(now)/max(1, s.asked[a.Team]))
	}
	fraction := min(1, s.evenShare/max(1, s.totalReceived))
	return float64(usage.running) >= max(1, slots*fraction/(1-max(0, idle)))
}
