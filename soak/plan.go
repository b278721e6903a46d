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
	FaultPause   Fault = "pause"   // an answer stands still at some place and goes on
	FaultStill   Fault = "still"   // a whole target stands still and goes on
	FaultRepeat  Fault = "repeat"  // an earlier answer is written once more
	FaultResume  Fault = "resume"  // a target breaks off, the next one answers with an error
	FaultBreak   Fault = "break"   // a target breaks an answer off
	FaultFull    Fault = "full"    // a target turns requests away
	FaultEntries Fault = "entries" // odd entries in the list of targets
	FaultConfig  Fault = "config"  // a configuration changes
	FaultLeave   Fault = "leave"   // a target leaves by the list and comes back under a new identity
	FaultStop    Fault = "stop"    // a gateway is stopped and continued
	FaultTerm    Fault = "term"    // a gateway ends as planned and starts again
	FaultRoll    Fault = "roll"    // all gateways end as planned in turn or overlapping, one of them twice
	FaultHangup  Fault = "hangup"  // a gateway reads its settings anew
	FaultLeaving Fault = "leaving" // a target says in its answers that it leaves
	FaultRetry   Fault = "retry"   // a full target says how long it wants no request
)

// kindOf says how often a kind of fault is played and how long it lasts.
type kindOf struct {
	number uint64        // of its series; it stays, so that a seed keeps its plan where kinds are added
	every  time.Duration // on average
	least  time.Duration
	most   time.Duration
}

const ms = time.Millisecond

var kinds = map[Fault]kindOf{
	FaultPause:   {7, 150 * ms, 500 * ms, 2000 * ms},
	FaultStill:   {11, 2 * time.Second, 500 * ms, 2000 * ms},
	FaultRepeat:  {8, 400 * ms, 0, 0},
	FaultResume:  {9, 500 * ms, 0, 0},
	FaultBreak:   {0, 500 * ms, 0, 0},
	FaultFull:    {3, time.Second, 300 * ms, 1200 * ms},
	FaultEntries: {2, time.Second, 0, 0},
	FaultConfig:  {1, 800 * ms, 0, 0},
	FaultLeave:   {5, 5 * time.Second, 3 * time.Second, 5 * time.Second},
	FaultStop:    {12, 5 * time.Second, 300 * ms, 2500 * ms},
	FaultTerm:    {13, 9 * time.Second, 0, 0},
	FaultRoll:    {14, 7 * time.Second, 0, 0},
	FaultHangup:  {4, 1500 * ms, 0, 0},
	FaultLeaving: {6, 5 * time.Second, 3 * time.Second, 5 * time.Second},
	FaultRetry:   {10, 2 * time.Second, time.Second, 3 * time.Second},
}

// Faults returns all kinds of faults.
func Faults() []Fault { return slices.Sorted(maps.Keys(kinds)) }

// Event is one fault of a plan.
type Event struct {
	At     time.Duration
	Fault  Fault
	Who    int // of the targets or gateways
	Place  target.Place
	Shape  string
	Length time.Duration
	Draw   uint64 // seed of what is drawn further
}

func (e Event) String() string {
	return fmt.Sprintf("%7.3fs %-8s %d %s%s %v", e.At.Seconds(), e.Fault, e.Who, e.Place, e.Shape, e.Length)
}

// Plan is all that a seed decides.
type Plan struct {
	Seed     uint64
	Gateways int
	Targets  []targetPlan
	Length   time.Duration
	Events   []Event
}

// targetPlan is one target of a plan.
type targetPlan struct {
	service string
	slots   int
	step    time.Duration
}

const (
	engines = 4
	plains  = 3
	spares  = 2
	warmUp  = 1500 * ms // before the first fault
)

// Draw returns the plan of a seed.
func Draw(seed uint64, gateways int, length time.Duration, faults []Fault) Plan {
	p := Plan{Seed: seed, Gateways: gateways, Length: length}
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := range engines + plains + spares {
		t := targetPlan{service: operator.ServiceStream, slots: 4 + rng.IntN(5), step: time.Duration(20+rng.IntN(30)) * ms}
		if n >= engines {
			t.service, t.slots = operator.ServicePlain, 6+rng.IntN(6)
		}
		if n >= engines+plains {
			t.service = operator.ServiceMoved
		}
		p.Targets = append(p.Targets, t)
	}
	for _, name := range Faults() {
		if slices.Contains(faults, name) {
			p.Events = append(p.Events, p.series(name, rand.New(rand.NewPCG(seed, 2+kinds[name].number)))...)
		}
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return p
}

// series draws the faults of one kind.
func (p *Plan) series(name Fault, rng *rand.Rand) []Event {
	k := kinds[name]
	var events []Event
	for at := warmUp; ; {
		at += time.Duration(rng.Int64N(int64(2 * k.every)))
		if at >= p.Length {
			return events
		}
		e := Event{At: at, Fault: name, Draw: rng.Uint64(), Length: k.least}
		if k.most > k.least {
			e.Length += time.Duration(rng.Int64N(int64(k.most - k.least)))
		}
		p.aim(&e, rng)
		events = append(events, e)
	}
}

// aim draws whom a fault meets, and its form.
func (p *Plan) aim(e *Event, rng *rand.Rand) {
	e.Who = rng.IntN(len(p.Targets))
	switch e.Fault {
	case FaultPause, FaultBreak:
		places := target.PlainPlaces
		if p.Targets[e.Who].service == operator.ServiceStream {
			places = target.StreamPlaces
		}
		if e.Fault == FaultBreak {
			places = places[:len(places)-1]
		}
		e.Place = places[rng.IntN(len(places))]
	case FaultRepeat:
		e.Shape = target.RepeatShapes[rng.IntN(len(target.RepeatShapes))]
	case FaultResume:
		e.Who = rng.IntN(engines)
		e.Shape = target.ResumeShapes[rng.IntN(len(target.ResumeShapes))]
	case FaultStop, FaultTerm, FaultRoll, FaultHangup:
		e.Who = rng.IntN(p.Gateways)
	}
}

// counts returns how many faults of each kind a plan has.
func (p *Plan) counts() map[Fault]int {
	counts := map[Fault]int{}
	for _, e := range p.Events {
		counts[e.Fault]++
	}
	return counts
}
