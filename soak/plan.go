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

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	FaultAnswerPause    FaultKind = "pause"   // a target pauses at some point of an answer and goes on
	FaultTargetStall    FaultKind = "still"   // a target does nothing on any connection for a time
	FaultRepeatedAnswer FaultKind = "repeat"  // a target writes an earlier answer again
	FaultResumeError    FaultKind = "resume"  // a target breaks a stream off, and the target that is to resume it answers with an error
	FaultBrokenAnswer   FaultKind = "break"   // a target breaks an answer off
	FaultTargetFull     FaultKind = "full"    // a target rejects requests as overloaded
	FaultBadEntry       FaultKind = "entries" // the list of targets gets an invalid entry
	FaultConfigChange   FaultKind = "config"  // a changed configuration is published
	FaultTargetDrain    FaultKind = "leave"   // the list marks a target as leaving, and it comes back under a new identity
	FaultGatewayPause   FaultKind = "stop"    // a gateway process is suspended and continued
	FaultGatewayRestart FaultKind = "term"    // a gateway is told to stop and starts again
	FaultRollingRestart FaultKind = "roll"    // all gateways restart in sequence or overlapping, one of them twice
	FaultSettingsReload FaultKind = "hangup"  // a gateway reloads its settings
	FaultLeavingNotice  FaultKind = "leaving" // a target announces in its answers that it leaves, and comes back under a new identity
	FaultRetryAfter     FaultKind = "retry"   // a full target says in its answers for how long it wants no request

	FaultUnframedAnswer FaultKind = "unframed" // the answer of a target ends with its connection, without a length or chunks
	FaultSpoiledEvent   FaultKind = "spoil"    // a target overwrites the number of an event

	FaultColdRestart FaultKind = "cold"     // a target, or all of a place, starts again under its identity and is cold, as its entry says late
	FaultEvacuation  FaultKind = "evacuate" // the operator evacuates a place for a time

	FaultStoreRestore FaultKind = "restore" // the store goes away and comes back from an older copy; what was lost is written again
)

// faultSchedule says how often a kind of fault is injected and how long it lasts.
type faultSchedule struct {
	series       uint64 // selects the random series of the kind; never changed, so that a seed keeps its plan when kinds are added
	meanInterval time.Duration
	minDuration  time.Duration
	maxDuration  time.Duration
}

const ms = time.Millisecond

var faultSchedules = map[FaultKind]faultSchedule{
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
	FaultUnframedAnswer: {15, 100 * ms, 0, 0},
	FaultSpoiledEvent:   {16, 300 * ms, 0, 0},
	FaultColdRestart:    {17, 2500 * ms, 200 * ms, 900 * ms},
	FaultEvacuation:     {18, 8 * time.Second, 6 * time.Second, 9 * time.Second},
	FaultStoreRestore:   {19, 5 * time.Second, 100 * ms, 2 * time.Second},
}

// FaultKinds returns all kinds of faults, sorted by name.
func FaultKinds() []FaultKind { return slices.Sorted(maps.Keys(faultSchedules)) }

// ScheduledFault is one fault of a plan.
type ScheduledFault struct {
	At       time.Duration // time since the start of the run
	Kind     FaultKind
	Index    int             // of the target or gateway
	Position target.Position // in the answer
	Shape    string          // variant of the answer
	Duration time.Duration
	Seed     uint64 // of all further random choices
}

func (e ScheduledFault) String() string {
	return fmt.Sprintf("%7.3fs %-8s %d %s%s %v", e.At.Seconds(), e.Kind, e.Index, e.Position, e.Shape, e.Duration)
}

// Plan is everything that a seed determines: the targets and the faults of a run.
type Plan struct {
	Seed     uint64
	Gateways int
	Targets  []targetPlan
	Duration time.Duration
	Faults   []ScheduledFault
}

// targetPlan describes one target of a plan.
type targetPlan struct {
	service  string
	slots    int
	stepTime time.Duration // between two events of a stream, or the run time of a plain request
}

const (
	engineCount = 4         // targets that stream
	plainCount  = 3         // targets with plain answers
	placeCount  = 2         // places of the targets and gateways
	spareCount  = 2         // targets of the service to which a configuration change may move a route
	warmUp      = 1500 * ms // before the first fault
)

// NewPlan returns the plan that a seed determines. It has only faults of the given kinds.
func NewPlan(seed uint64, gateways int, duration time.Duration, faults []FaultKind) Plan {
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
	for _, kind := range FaultKinds() {
		if slices.Contains(faults, kind) {
			p.Faults = append(p.Faults, p.drawSeries(kind, rand.New(rand.NewPCG(seed, 2+faultSchedules[kind].series)))...)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b ScheduledFault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// drawSeries returns the faults of one kind.
func (p *Plan) drawSeries(kind FaultKind, rng *rand.Rand) []ScheduledFault {
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

// drawDetails draws which target or gateway a fault affects, and its position or shape.
func (p *Plan) drawDetails(e *ScheduledFault, rng *rand.Rand) {
	e.Index = rng.IntN(len(p.Targets))
	switch e.Kind {
	case FaultAnswerPause, FaultBrokenAnswer:
		places := target.PlainPositions
		if p.Targets[e.Index].service == operator.ServiceStream {
			places = target.StreamPositions
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
	case FaultColdRestart:
		e.Shape = restartShapes[rng.IntN(len(restartShapes))]
	case FaultEvacuation:
		e.Index = rng.IntN(placeCount)
	case FaultGatewayPause, FaultGatewayRestart, FaultRollingRestart, FaultSettingsReload:
		e.Index = rng.IntN(p.Gateways)
	}
}

// restartAll is the shape of a cold restart of all targets in the place of its target.
const restartAll = "place"

// restartShapes are the shapes of a cold restart, with the frequency at which they are drawn.
var restartShapes = []string{"", "", restartAll}

// placeName returns the name of the place of a target or gateway.
func placeName(index int) string { return fmt.Sprintf("place%d", index%placeCount+1) }

// faultCounts returns the number of faults of each kind.
func (p *Plan) faultCounts() map[FaultKind]int {
	counts := map[FaultKind]int{}
	for _, e := range p.Faults {
		counts[e.Kind]++
	}
	return counts
}
