package dispatch

// Holding describes the running requests of a team.
type Holding struct {
	Alone    bool    // no other place shares the service
	Running  int     // slots held in all places
	Elapsed  float64 // sum of the times that the slots here are held, in seconds
	Rate     float64 // estimated cost units that a slot gives the team in a second
	Cost     float64 // estimated cost of one request of the team
	Duration float64 // mean time that a request of the slowest team with work holds a slot, in seconds
}

// Standing describes a team with waiting tickets.
type Standing struct {
	Virtual float64 // service received and charged per weight, fleet-wide
	Turn    uint64  // number of the team's last grant
	Head    float64 // arrival of the team's first ticket, in seconds
}

// Policy says how running requests are charged ahead and in which order teams
// are served. What they have received so far always counts.
type Policy struct {
	Name  string
	Fair  bool                     // levels are virtual service
	Ahead func(h Holding) float64  // cost units charged ahead
	Level func(s Standing) float64 // the team with the least level is served first
}

// A running request is charged ahead for a part of a duration. This damps the
// control of the numbers of slots. With other places, what their owners are taken
// to do alike damps as well.
const (
	horizonAlone  = 0.5
	horizonShared = 0.15
)

// FairPolicy serves the team with the least virtual service. A running request
// is charged ahead for a part of the mean time of a request of the slowest team, the
// same for all teams, so its unknown length does not matter.
func FairPolicy() Policy {
	return Policy{Name: "fair", Fair: true, Ahead: aheadDuration, Level: levelVirtual}
}

// EstimatePolicy is FairPolicy, but charges the rest of the estimated cost ahead.
func EstimatePolicy() Policy {
	return Policy{Name: "estimate", Fair: true, Ahead: aheadEstimate, Level: levelVirtual}
}

// ElapsedPolicy is FairPolicy, but charges nothing ahead.
func ElapsedPolicy() Policy {
	return Policy{Name: "elapsed", Fair: true, Ahead: aheadNothing, Level: levelVirtual}
}

// ArrivalPolicy serves tickets in the order of their arrival. It is a baseline.
func ArrivalPolicy() Policy {
	return Policy{Name: "fifo", Ahead: aheadNothing, Level: func(s Standing) float64 { return s.Head }}
}

// TurnPolicy serves the teams in turn. It is a baseline.
func TurnPolicy() Policy {
	return Policy{Name: "robin", Ahead: aheadNothing, Level: func(s Standing) float64 { return float64(s.Turn) }}
}

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{FairPolicy(), EstimatePolicy(), ElapsedPolicy(), ArrivalPolicy(), TurnPolicy()}
}

func levelVirtual(s Standing) float64 { return s.Virtual }

func aheadDuration(h Holding) float64 {
	part := horizonShared
	if h.Alone {
		part = horizonAlone
	}
	return h.Rate * float64(h.Running) * h.Duration * part
}

func aheadEstimate(h Holding) float64 {
	return max(0, h.Cost*float64(h.Running)-h.Rate*h.Elapsed)
}

func aheadNothing(Holding) float64 { return 0 }
