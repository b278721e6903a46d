package dispatch

// Holding describes the running requests of a team at a shard.
type Holding struct {
	Running  int     // slots held
	Elapsed  float64 // sum of the times that the slots are held, in seconds
	Rate     float64 // estimated cost units that a slot gives the team in a second
	Cost     float64 // estimated cost of one request of the team
	Duration float64 // mean time that a request of any team holds a slot, in seconds
}

// Standing describes a team with waiting tickets.
type Standing struct {
	Virtual float64 // service received and charged per weight, fleet-wide
	Turn    uint64  // number of the team's last grant
	Head    float64 // arrival of the team's first ticket, in seconds
}

// Policy says how service is charged and in which order teams are served.
type Policy struct {
	Name   string
	Fair   bool // levels are virtual service
	Charge func(h Holding) float64
	Level  func(s Standing) float64
}

// horizonPart is the part of the mean duration for which a running request is
// charged ahead. It damps the control of the numbers of slots.
const horizonPart = 0.15

// FairPolicy serves the team with the least virtual service. A running request
// is charged by the time that it has held its slot so far plus a part of the mean
// time of a request, so its unknown length does not matter.
func FairPolicy() Policy {
	return Policy{Name: "fair", Fair: true, Charge: chargeRate, Level: levelVirtual}
}

// EstimatePolicy is FairPolicy, but charges the estimated cost at the grant.
func EstimatePolicy() Policy {
	return Policy{Name: "estimate", Fair: true, Charge: chargeEstimate, Level: levelVirtual}
}

// ElapsedPolicy is FairPolicy, but charges only what was received so far.
func ElapsedPolicy() Policy {
	return Policy{Name: "elapsed", Fair: true, Charge: chargeElapsed, Level: levelVirtual}
}

// ArrivalPolicy serves tickets in the order of their arrival. It is a baseline.
func ArrivalPolicy() Policy {
	return Policy{Name: "fifo", Charge: chargeElapsed, Level: func(s Standing) float64 { return s.Head }}
}

// TurnPolicy serves the teams in turn. It is a baseline.
func TurnPolicy() Policy {
	return Policy{Name: "robin", Charge: chargeElapsed, Level: func(s Standing) float64 { return float64(s.Turn) }}
}

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{FairPolicy(), EstimatePolicy(), ElapsedPolicy(), ArrivalPolicy(), TurnPolicy()}
}

func levelVirtual(s Standing) float64 { return s.Virtual }

func chargeRate(h Holding) float64 {
	return h.Rate * (h.Elapsed + float64(h.Running)*h.Duration*horizonPart)
}

func chargeEstimate(h Holding) float64 { return h.Cost * float64(h.Running) }

func chargeElapsed(h Holding) float64 { return h.Rate * h.Elapsed }
