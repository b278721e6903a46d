package placement

import (
	"math"
	"time"
)

// Parameters of team quotas.
const (
	quotaHeadroom    = 1.25  // total of the quotas, relative to the service delivered, while engines are full
	noQuotaFullness  = 0.6   // fullness of the engines up to which no team has a quota
	quotaFullness    = 0.85  // fullness from which engines count as full
	maxCatchUp       = 2.0   // largest multiple of its quota for a team that received less
	minRetryFraction = 0.5   // earliest retry of a refused caller, as a fraction of the time until the share has room
	minQueueSeconds  = 0.001 // seconds, used if no route sets a latency goal
)

// Admit decides on arrival whether a request may look for a target. While engines are full, a team
// that asks for more than its max-min share gets only the fraction of its requests admitted that
// corresponds to the share. The fraction is the same at every host, so it does not matter how many
// hosts the callers use or whether they move between hosts. A refusal costs neither owners nor
// other teams any work, and it comes with the time after which the share has room for the team's
// demand. Requests without a team have no quota.
func (b *Board) Admit(now time.Time, a *Request) (admitted bool, after time.Duration) {
	p := b.pools[a.Service]
	if p == nil || p.engine == nil || a.Team == "" {
		return true, 0
	}
	s := b.shares(now, a.Service, p)
	asked := max(s.asked[a.Team], p.team(a.Team).asked.valueAt(now))
	if asked <= s.quota {
		return true, 0
	}
	catchUp := min(maxCatchUp, max(1, s.quota/max(1, s.ownerCharges.received[a.Team])))
	fraction := s.quota * catchUp / asked
	draw := hashFraction(hashPair(a.Seed, b.self))
	if draw < fraction {
		return true, 0
	}
	return false, retryDelay(fraction, draw)
}

// retryDelay returns the time after which the share of a team has room for its recent demand, given
// the share as a fraction of the demand. The number draw, from 0 to 1, spreads the retries over the
// later half of that time.
func retryDelay(fraction, draw float64) time.Duration {
	wait := seconds(usageDecayTime.Seconds() * (1/max(fraction, math.SmallestNonzeroFloat32) - 1))
	spread := minRetryFraction + (1-minRetryFraction)*draw
	return scale(min(maxRetryAfter, max(minRetryAfter, wait)), spread)
}

// RecordRefused records that a request was refused on arrival. It counts toward the demand of
// its team.
func (b *Board) RecordRefused(now time.Time, a *Request) {
	if p := b.pools[a.Service]; p != nil {
		p.team(a.Team).asked.add(now, a.Cost())
	}
}

// teamQuota returns the max-min level of the service that each team may start: slightly more in
// total than was delivered while engines are full, and more the emptier they are.
func teamQuota(demands []Demand, delivered, fullness float64) float64 {
	idle := (quotaFullness - fullness) / (quotaFullness - noQuotaFullness)
	if idle >= 1 {
		return math.Inf(1)
	}
	return MaxMinShare(demands, delivered*quotaHeadroom/(1-max(0, idle)))
}

// fullness returns the fraction of their capacity that engines use, in slots or in prompts to
// prefill, whichever is greater. Engines that do not answer or are paused are left out, and so are
// those without load: while others are full, these have died or have just started.
func (p *pool) fullness(now time.Time) float64 {
	maxQueue := entitledFraction * queueFraction * p.tightestGoal.Seconds()
	used, count := 0.0, 0
	for _, r := range p.targets {
		if r.closed() || r.isPaused(now, false) || !r.health.usable(now) || r.stalled(now) {
			continue
		}
		load := r.load()
		if load.Running == 0 {
			continue
		}
		slots := float64(load.Running) / float64(max(1, r.speed.knee.Limit(p.engine.Slots)))
		prefill := r.scaleTime(p.prefillModel.PrefillTime(load.Prompt)).Seconds() / max(maxQueue, minQueueSeconds)
		used += min(1, max(slots, prefill))
		count++
	}
	return used / float64(max(1, count))
}
