package dispatch

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// Parameters of the service estimates and of the charges for running requests.
const (
	learningRate        = 0.1    // weight of the newest request in the moving averages
	initialRate         = 20.0   // cost units a second
	initialDuration     = 1.0    // seconds
	maxCostDecay        = 0.9995 // factor per finished request by which Shard.maxCost shrinks
	minDurationSeconds  = 0.001  // lower bound of a duration, as divisor
	urgentHeadStart     = 1.0    // lead of a team with an urgent ticket, in requests of the highest cost seen
	remoteChangePart    = 0.35   // part of a mean duration that is charged for a slot which other owners are assumed to have granted
	maxChargedDurations = 8.0    // mean durations for which a running request is charged at most; its end settles the rest
)

// estimate holds moving averages over the finished requests of a team.
type estimate struct {
	rate     float64 // cost units that a slot yields per second
	cost     float64 // mean cost of a request
	duration float64 // mean time in a slot, in seconds
	samples  int     // finished requests
}

// newEstimate returns the estimate that holds before any request has finished.
func newEstimate() estimate {
	return estimate{rate: initialRate, cost: initialRate * initialDuration, duration: initialDuration}
}

// update adds the cost and duration (in seconds) of a finished request to the moving averages.
func (e *estimate) update(cost, duration float64) {
	duration = max(duration, minDurationSeconds)
	e.samples++
	part := max(learningRate, 1/float64(e.samples))
	e.cost += part * (cost - e.cost)
	e.duration += part * (duration - e.duration)
	e.rate = e.cost / e.duration
}

// team is the state of one team that has or had work in the shard.
type team struct {
	number          uint32     // number of the team in the configuration
	weight          float64    // configured weight
	queue           ticketHeap // waiting tickets
	running         int        // slots held here
	startSum        float64    // sum of the start times of running requests, in seconds since the shard's start
	served          uint64     // measured service from this shard, in cost units
	estimate        estimate   // of the requests of this team
	level           float64    // as last returned by Policy.Level; the lowest is served first
	lastGrant       uint64     // value of Shard.grantCount at the last grant
	heapIndex       int        // index in Shard.waiting, -1 if no ticket waits
	dirty           bool       // changed since the last report
	emptiedAt       time.Time  // when its last ticket left the queue
	reportedRunning int        // slots held at the last report
	reportedWaiting bool       // tickets waited at the last report
	reportedService float64    // service measured and charged at the last report
}

// teamHeap is a heap of the teams with waiting tickets, the lowest level first.
type teamHeap []*team

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(h[i].level, h[j].level),
		cmp.Compare(h[i].lastGrant, h[j].lastGrant),
		cmp.Compare(h[i].number, h[j].number),
	) < 0
}

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// ensureTeam returns the state of a team and creates it if there is none. New state starts from
// the service that the former owner of the shard reported.
func (s *Shard) ensureTeam(number uint32) *team {
	tm := s.teams[number]
	if tm == nil {
		tm = &team{number: number, weight: s.teamWeight(number), heapIndex: -1, estimate: newEstimate()}
		if a := s.book.Account(s.config.Shard.Place); a != nil {
			tm.served = a.Teams[number].Served
		}
		s.teams[number] = tm
	}
	return tm
}

// estimateOf returns the estimate of a team, or that of all teams if the team has finished
// nothing yet.
func (s *Shard) estimateOf(tm *team) estimate {
	if tm.estimate.samples == 0 {
		return s.meanEstimate
	}
	return tm.estimate
}

// slotSecondsHeld returns the sum over the running requests of a team here of the time they have
// held their slots, in seconds, limited to maxChargedDurations for each.
func (s *Shard) slotSecondsHeld(now time.Time, tm *team) float64 {
	elapsed := float64(tm.running)*now.Sub(s.started).Seconds() - tm.startSum
	return min(max(0, elapsed), float64(tm.running)*maxChargedDurations*s.meanEstimate.duration)
}

// runningCharge returns the estimated service that the running requests of a team have received
// here, in cost units. It stands in until their cost is measured.
func (s *Shard) runningCharge(now time.Time, tm *team) float64 {
	return s.estimateOf(tm).rate * s.slotSecondsHeld(now, tm)
}

// remoteUsage is what a team holds in other places, by their last reports.
type remoteUsage struct {
	running     int     // slots held by the team
	slotSeconds float64 // slot time of the team since the reports
	slots       int     // slots of all targets there
}

// remoteUsageOf sums the fresh reports of other places for a team.
func (s *Shard) remoteUsageOf(now time.Time, tm *team) remoteUsage {
	var w remoteUsage
	for _, peer := range s.peers {
		if a := s.freshAccount(now, peer.Place); a != nil {
			running := int(a.Teams[tm.number].Running)
			w.running += running
			w.slotSeconds += float64(running) * now.Sub(a.ReportedAt).Seconds()
			w.slots += a.Slots
		}
	}
	return w
}

// normalizedService returns the service that a team has received in all places, measured or
// estimated, divided by its weight, plus its lift, the level that limitCredit added to it.
func (s *Shard) normalizedService(now time.Time, tm *team) float64 {
	w := s.remoteUsageOf(now, tm)
	known := float64(s.book.ServiceElsewhere(tm.number, s.config.Shard.Place) + tm.served)
	since := s.runningCharge(now, tm) + s.estimateOf(tm).rate*w.slotSeconds
	return (known+since)/tm.weight + float64(s.book.Lift(tm.number))
}

// virtualService returns the normalized service of a team plus what its running requests are
// charged ahead. All owners see the same teams lag behind and react at the same time, so the
// other places are assumed to have changed the slots of the team since the last report in the
// same proportion as this one.
func (s *Shard) virtualService(now time.Time, tm *team) float64 {
	w := s.remoteUsageOf(now, tm)
	e := s.estimateOf(tm)
	ahead := s.config.Policy.ChargeAhead(RunningLoad{
		SinglePlace:     len(s.peers) == 0,
		Running:         tm.running + w.running,
		Elapsed:         s.slotSecondsHeld(now, tm),
		Rate:            e.rate,
		Cost:            e.cost,
		MaxMeanDuration: s.maxMeanDuration,
	})
	remoteChange := float64(w.slots) / float64(max(1, s.slots)) * float64(tm.running-tm.reportedRunning)
	ahead += e.rate * remoteChange * s.meanEstimate.duration * remoteChangePart
	return s.normalizedService(now, tm) + ahead/tm.weight
}

// updateLevel recomputes the level of a team, by which the waiting teams are served, lowest first, and
// moves the team to its new position among them.
func (s *Shard) updateLevel(now time.Time, tm *team) {
	tm.dirty = true
	firstArrival := now
	if len(tm.queue) > 0 {
		firstArrival = tm.queue[0].arrivedAt
	}
	tm.level = s.config.Policy.Level(WaitingTeam{
		VirtualService: s.virtualService(now, tm) - s.headStart(tm), LastGrant: tm.lastGrant, FirstArrival: firstArrival.Sub(s.started).Seconds(),
	})
	if tm.heapIndex >= 0 {
		heap.Fix(&s.waiting, tm.heapIndex)
	}
}

// headStart returns how much lower the level of a team counts while mayUseUrgency holds for it.
// The value is bounded, so urgency buys no lasting service.
func (s *Shard) headStart(tm *team) float64 {
	if !s.mayUseUrgency(tm) {
		return 0
	}
	return urgentHeadStart * s.maxCost
}

// limitCredit raises a team whose first ticket arrives to just below the level at which other
// teams are served, so that a team that was idle has no more than maxIdleCredit in store. A team
// that waited here or elsewhere a moment ago was not idle: what it lags behind is owed to it, up
// to maxBackloggedCredit.
func (s *Shard) limitCredit(now time.Time, tm *team, m *wire.Ticket) {
	s.book.RaiseLift(tm.number, m.Lift)
	elsewhere := m.Hops > 0 || s.book.WaitsElsewhere(tm.number, s.config.Shard.Place, now.Add(-staleAfter))
	credit := maxIdleCredit
	if elsewhere || now.Sub(tm.emptiedAt) < idleAfter {
		credit = maxBackloggedCredit
	}
	s.raiseToLevel(now, tm, float64(s.book.Level())-credit*s.maxCost)
}

// raiseToLevel adds to the lift of a team so that its normalized service is at least a level.
func (s *Shard) raiseToLevel(now time.Time, tm *team, level float64) {
	missing := level - s.normalizedService(now, tm)
	if missing >= 1 {
		s.book.RaiseLift(tm.number, s.book.Lift(tm.number)+uint64(missing))
	}
}

// updateLevels recomputes the levels of the teams with work. For healWindow after a network
// partition has healed, it also limits how far a team lags behind the highest level, so that what
// was served on the other side is not repaid in one burst.
func (s *Shard) updateLevels(now time.Time) {
	highest := 0.0
	for _, tm := range s.teams {
		if len(tm.queue) > 0 || tm.running > 0 {
			s.updateLevel(now, tm)
		}
		if len(tm.queue) > 0 {
			highest = max(highest, tm.level)
		}
	}
	if !s.config.Policy.Fair || now.Sub(s.healedAt) > healWindow {
		return
	}
	debt := maxLagAfterPartition * max(s.maxCost, s.meanEstimate.cost)
	for _, tm := range append(teamHeap(nil), s.waiting...) {
		if tm.level < highest-debt {
			s.raiseToLevel(now, tm, highest-debt)
			s.updateLevel(now, tm)
		}
	}
}

// recordEnd adds the measured cost of an ended request to its team, its target and, if it ran to
// its end, to the estimates.
func (s *Shard) recordEnd(now time.Time, g *grant, m *wire.RequestEnd) {
	g.team.served += m.Cost
	s.recordOutcome(now, g.target, m)
	if m.Outcome != wire.OutcomeCompleted {
		return
	}
	duration := now.Sub(g.grantedAt).Seconds()
	g.team.estimate.update(float64(m.Cost), duration)
	s.meanEstimate.update(float64(m.Cost), duration)
	s.maxCost = max(s.maxCost*maxCostDecay, float64(m.Cost))
}
