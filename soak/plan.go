package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/standin/operator"
	"github.com/cassiachute/cassiachute/standin/target"
)

// Fault is a kind of fault.
type Fault string

// Kinds of faults.
const (
	FaultAnswerPause    Fault = "pause"   // an answer stands still at some place and goes on
	FaultTargetStall    Fault = "still"   // a whole target stands still and goes on
	FaultRepeatedAnswer Fault = "repeat"  // an earlier answer is written once more
	FaultResumeError    Fault = "resume"  // a target breaks off, the next one answers with an error
	FaultBrokenAnswer   Fault = "break"   // a target breaks an answer off
	FaultTargetFull     Fault = "full"    // a target turns requests away
	FaultBadEntry       Fault = "entries" // odd entries in the list of targets
	FaultConfigChange   Fault = "config"  // a configuration changes
	FaultTargetDrain    Fault = "leave"   // a target leaves by the list and comes back under a new identity
	FaultGatewayPause   Fault = "stop"    // a gateway is stopped and continued
	FaultGatewayRestart Fault = "term"    // a gateway ends as planned and starts again
	FaultRollingRestart Fault = "roll"    // all gateways end as planned in turn or overlapping, one of them twice
	FaultSettingsReload Fault = "hangup"  // a gateway reads its settings anew
	FaultLeavingNotice  Fault = "leaving" // a target says in its answers that it leaves
	FaultRetryAfter     Fault = "retry"   // a full target says how long it wants no request
)

// faultSchedule says how often a kind of fault is played and how long it lasts.
type faultSchedule struct {
	series       uint64        // of its series; it stays, so that a seed keeps its plan where kinds are added
	meanInterval time.Duration // on average
	minDuration  time.Duration
	maxDuration  time.Duration
}

const ms = time.Millisecond

var faultSchedules = map[Fault]faultSchedule{
	FaultAnswerPause:    {7, 150 * ms, 500 * ms, 2000 * ms},
	FaultTargetStall:    {11, 2 * time.Second, 500 * ms, 2000 * ms},
	FaultRepeatedAnswer: {8, 400 * ms, 0, 0},
	FaultResumeError:    {9, 500 * ms, 0, 0},
	FaultBrokenAnswer:   {0, 500 * ms, 0, 0},
	FaultTargetFull:     {3, time.Second, 300 * ms, 1200 * ms},
	FaultBadEntry:       {2, time.Second, 0, 0},
	FaultConfigChange:   {1, 800 * ms, 0, 0},
	FaultTargetDrain:    {5, 5 * time.Second, 3 * time.Second, 5 * time.Second},
	FaultGatewayPause:   {12, 5 * time.Second, 300 * ms, 2500 * ms},
	FaultGatewayRestart: {13, 9 * time.Second, 0, 0},
	FaultRollingRestart: {14, 7 * time.Second, 0, 0},
	FaultSettingsReload: {4, 1500 * ms, 0, 0},
	FaultLeavingNotice:  {6, 5 * time.Second, 3 * time.Second, 5 * time.Second},
	FaultRetryAfter:     {10, 2 * time.Second, time.Second, 3 * time.Second},
}

// Faults returns all kinds of faults.
func Faults() []Fault { return slices.Sorted(maps.Keys(faultSchedules)) }

// ScheduledFault is one fault of a plan.
type ScheduledFault struct {
	At       time.Duration
	Kind     Fault
	Index    int // of the targets or gateways
	Position target.Place
	Shape    string
	Duration time.Duration
	Seed     uint64 // seed of what is drawn further
}

func (e ScheduledFault) String() string {
	return fmt.Sprintf("%7.3fs %-8s %d %s%s %v", e.At.Seconds(), e.Kind, e.Index, e.Position, e.Shape, e.Duration)
}

// Plan is all that a seed decides.
type Plan struct {
	Seed     uint64
	Gateways int
	Targets  []targetPlan
	Duration time.Duration
	Events   []ScheduledFault
}

// targetPlan is one target of a plan.
type targetPlan struct {
	service  string
	slots    int
	stepTime time.Duration
}

const (
	engineCount = 4
	plainCount  = 3
	spareCount  = 2
	warmUp      = 1500 * ms // before the first fault
)

// Draw returns the plan of a seed.
func Draw(seed uint64, gateways int, duration time.Duration, faults []Fault) Plan {
	p := Plan{Seed: seed, Gateways: gateways, Duration: duration}
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := range engineCount + plainCount + spareCount {
		t := targetPlan{service: operator.ServiceStream, slots: 4 + rng.IntN(5), stepTime: time.Duration(20+rng.IntN(30)) * ms}
		if n >= engineCount {
			t.service, t.slots = operator.ServicePlain, 6+rng.IntN(6)
		}
		if n >= engineCount+plainCount {
			t.service = operator.ServiceMoved
		}
		p.Targets = append(p.Targets, t)
	}
	for _, kind := range Faults() {
		if slices.Contains(faults, kind) {
			p.Events = append(p.Events, p.drawSeries(kind, rand.New(rand.NewPCG(seed, 2+faultSchedules[kind].series)))...)
		}
	}
	slices.SortStableFunc(p.Events, func(a, b ScheduledFault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// drawSeries draws the faults of one kind.
func (p *Plan) drawSeries(kind Fault, rng *rand.Rand) []ScheduledFault {
	schedule := faultSchedules[kind]
	var events []ScheduledFault
	for at := warmUp; ; {
		at += time.Duration(rng.Int64N(int64(2 * schedule.meanInterval)))
		if at >= p.Duration {
			return events
		}
		e := ScheduledFault{At: at, Kind: kind, Seed: rng.Uint64(), Duration: schedule.minDuration}
		if schedule.maxDuration > schedule.minDuration {
			e.Duration += time.Duration(rng.Int64N(int64(schedule.maxDuration - schedule.minDuration)))
		}
		p.drawDetails(&e, rng)
		events = append(events, e)
	}
}

// drawDetails draws whom a fault meets, and its form.
func (p *Plan) drawDetails(e *ScheduledFault, rng *rand.Rand) {
	e.Index = rng.IntN(len(p.Targets))
	switch e.Kind {
	case FaultAnswerPause, FaultBrokenAnswer:
		places := target.PlainPlaces
		if p.Targets[e.Index].service == operator.ServiceStream {
			places = target.StreamPlaces
		}
		if e.Kind == FaultBrokenAnswer {
			places = places[:len(places)-1]
		}
		e.Position = places[rng.IntN(len(places))]
	case FaultRepeatedAnswer:
		e.Shape = target.RepeatShapes[rng.IntN(len(target.RepeatShapes))]
	case FaultResumeError:
		e.Index = rng.IntN(engineCount)
		e.Shape = target.ResumeShapes[rng.IntN(len(target.ResumeShapes))]
	case FaultGatewayPause, FaultGatewayRestart, FaultRollingRestart, FaultSettingsReload:
		e.Index = rng.IntN(p.Gateways)
	}
}

// faultCounts returns how many faults of each kind a plan has.
func (p *Plan) faultCounts() map[Fault]int {
	counts := map[Fault]int{}
	for _, e := range p.Events {
		counts[e.Kind]++
	}
	return counts
}
