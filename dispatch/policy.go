package dispatch

// RunningLoad describes the running requests of one team, as a Policy needs them.
type RunningLoad struct {
	SinglePlace     bool    // no other place serves the service
	Running         int     // slots held in all places
	Elapsed         float64 // sum over the slots held here of the time they have been held, in seconds
	Rate            float64 // estimated cost units that a slot yields to the team per second
	Cost            float64 // estimated cost of one request of the team
	MaxMeanDuration float64 // largest mean time in a slot among the teams with work, in seconds
}

// WaitingTeam describes a team with waiting tickets, as a Policy orders them.
type WaitingTeam struct {
	VirtualService float64 // service received and charged in all places, divided by the weight
	LastGrant      uint64  // sequence number of the last grant to the team
	FirstArrival   float64 // arrival of the team's first ticket, in seconds since the shard started
}

// Policy decides in which order teams are served, and how much of a running request is charged to
// its team before it has been served. Service received so far always counts.
type Policy struct {
	Name        string                      // name of the policy in settings
	Fair        bool                        // levels are virtual service, so tickets move and streams are preempted for fairness
	ChargeAhead func(h RunningLoad) float64 // cost units charged ahead of service for the running requests of a team
	Level       func(s WaitingTeam) float64 // the team with the lowest level is served first
}

// Parts of RunningLoad.MaxMeanDuration for which each running request is charged ahead. The charge damps
// oscillation of the number of slots per team. With several places less is needed, since
// Shard.virtualService also assumes that the other owners act alike, which damps as well.
const (
	aheadPartAlone  = 0.5  // for a service in one place
	aheadPartShared = 0.15 // for a service in several places
)

// FairPolicy serves the team with the lowest virtual service. A running request is charged ahead
// for a part of the mean duration of the slowest team with work. The time is the same for all
// teams, so the unknown length of a request does not matter.
func FairPolicy() Policy {
	return Policy{Name: "fair", Fair: true, ChargeAhead: chargeMeanDuration, Level: virtualLevel}
}

// EstimatePolicy serves the team with the lowest virtual service, and charges the rest of the
// estimated cost of a running request ahead.
func EstimatePolicy() Policy {
	return Policy{Name: "estimate", Fair: true, ChargeAhead: chargeRemainingCost, Level: virtualLevel}
}

// ElapsedPolicy serves the team with the lowest virtual service, and charges running requests
// only for the time elapsed.
func ElapsedPolicy() Policy {
	return Policy{Name: "elapsed", Fair: true, ChargeAhead: chargeNothing, Level: virtualLevel}
}

// FIFOPolicy serves teams by the arrival of their first ticket. It is a baseline for
// comparison.
func FIFOPolicy() Policy {
	return Policy{Name: "fifo", ChargeAhead: chargeNothing, Level: func(s WaitingTeam) float64 { return s.FirstArrival }}
}

// RoundRobinPolicy serves the teams round-robin. It is a baseline for comparison.
func RoundRobinPolicy() Policy {
	return Policy{Name: "robin", ChargeAhead: chargeNothing, Level: func(s WaitingTeam) float64 { return float64(s.LastGrant) }}
}

// Policies returns all policies, the default first.
func Policies() []Policy {
	return []Policy{FairPolicy(), EstimatePolicy(), ElapsedPolicy(), FIFOPolicy(), RoundRobinPolicy()}
}

// virtualLevel orders teams by their virtual service.
func virtualLevel(s WaitingTeam) float64 { return s.VirtualService }

// chargeMeanDuration charges each running request for a fixed part of the mean duration of the
// slowest team.
func chargeMeanDuration(h RunningLoad) float64 {
	part := aheadPartShared
	if h.SinglePlace {
		part = aheadPartAlone
	}
	return h.Rate * float64(h.Running) * h.MaxMeanDuration * part
}

// chargeRemainingCost charges the estimated cost of the running requests that is not yet served.
func chargeRemainingCost(h RunningLoad) float64 {
	return max(0, h.Cost*float64(h.Running)-h.Rate*h.Elapsed)
}

// chargeNothing charges nothing ahead of service.
func chargeNothing(RunningLoad) float64 { return 0 }
