package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

const (
	tickStep    = 5 * time.Millisecond
	readPerStep = 500 // prompt tokens that an engine reads in a step
	streamSteps = 200 // steps that a stream runs after its first event
	tightAim    = 600 * time.Millisecond
	manySlots   = 500
)

// workload is one kind of arrivals.
type workload struct {
	team         string
	hosts        []int // that the team uses
	perSecond    float64
	prompt       int
	prefixes     int // different shared parts, 0 without
	sharedTokens int
	aim          time.Duration
}

// engine is a model engine that reads prompts one after another.
type engine struct {
	queue  []*simRequest
	cached map[uint64]bool
	runs   []*simRequest
}

// simRequest is a request from its arrival to its end.
type simRequest struct {
	load        *workload
	ask         placement.Ask
	host        int
	arrived     time.Time
	sent        time.Time
	choice      placement.Choice
	decider     int            // host that decided
	decided     *placement.Ask // as that host sees the request
	left        placement.Load
	unprefilled int
	steps       int
	extraSteps  int  // steps that its stream runs beyond the usual ones, or less
	isRetry     bool // it repeats one that was refused
}

// teamResult sums up what became of the requests of a team.
type teamResult struct{ asked, served, inTime, refused, tokens, prefilledAgain int }

// simulation runs the decisions of several hosts over engines in virtual time.
type simulation struct {
	now     time.Time
	boards  []*placement.Board
	engines map[string]*engine
	waiting []map[uint64]*simRequest
	nextID    uint64
	results map[string]*teamResult
	rng     *rand.Rand
	newsOffset   int           // steps between the news of one host and those of the next
	slots   int           // requests that an engine runs at once
	news    time.Duration // between the news of a host
	forward *forwarder    // decides in place of the boards, if set
	owners  bool          // engines have owners
	asked   int           // owners that were asked
	quota   int           // requests refused on arrival
	over    int           // requests sent to engines that have no slot
	idle    int           // steps in which an engine had nothing to read while a request waited
	targets []route.Target
	callers callers // what callers do when they are refused or wait for long
}

func newSimulation(hosts, engines int, rate float64) *simulation {
	return newSimulationWithSlots(hosts, engines, rate, manySlots)
}

// newSimulationWithSlots returns a world whose engines run so many requests at once.
func newSimulationWithSlots(hosts, engines int, rate float64, slots int) *simulation {
	w := &simulation{
		slots: slots,
		now:   time.Unix(1000, 0), engines: map[string]*engine{}, results: map[string]*teamResult{},
		rng: rand.New(rand.NewPCG(1, 2)), news: placement.NewsPeriod(hosts),
	}
	table := route.NewTable(route.Table{
		Version: 1, Rate: rate,
		Routes:   []route.Route{{Aim: tightAim, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: slots, Memory: 10_000_000}}},
	})
	for n := range engines {
		id := fmt.Sprintf("engine%d", n)
		w.engines[id] = &engine{cached: map[uint64]bool{}}
		w.targets = append(w.targets, route.Target{
			ID: id, Service: "model", Slots: slots, Place: "place1",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		})
	}
	for range hosts {
		b := placement.NewBoard("place1")
		b.Configure(table)
		b.SetTargets(w.targets)
		w.boards = append(w.boards, b)
		w.waiting = append(w.waiting, map[uint64]*simRequest{})
	}
	return w
}

func (w *simulation) result(team string) *teamResult {
	if w.results[team] == nil {
		w.results[team] = &teamResult{}
	}
	return w.results[team]
}

// run lets loads arrive for a time.
func (w *simulation) run(loads []workload, length time.Duration) {
	steps := int(length / tickStep)
	for step := range steps {
		for i := range loads {
			w.arrive(&loads[i])
		}
		for _, id := range w.names() {
			w.step(id)
		}
		for host := range w.boards {
			if (step+w.newsOffset*host)%int(w.news/tickStep) == 0 {
				w.tell(host)
			}
		}
		for host := range w.boards {
			w.tick(host)
		}
		w.now = w.now.Add(tickStep)
	}
}

func (w *simulation) names() []string {
	names := make([]string, 0, len(w.engines))
	for id := range w.engines {
		names = append(names, id)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}

// arrive draws the arrivals of one step.
func (w *simulation) arrive(l *workload) {
	count := poisson(w.rng, l.perSecond*tickStep.Seconds())
	for range count {
		w.nextID++
		parts := []placement.Part{{ID: 1 << 40, Tokens: l.prompt}}
		if l.prefixes > 0 {
			shared := uint64(w.rng.IntN(l.prefixes)) + 1
			parts = append([]placement.Part{{ID: shared, Tokens: l.sharedTokens}}, parts...)
		}
		x := &simRequest{load: l, host: l.hosts[w.rng.IntN(len(l.hosts))], arrived: w.now}
		x.ask = placement.Ask{
			Service: "model", Team: l.team, Aim: l.aim, Output: 100, Seed: w.nextID,
			Chain: placement.NewChain(parts, l.prompt+l.sharedTokens),
		}
		w.result(l.team).asked++
		w.enter(x)
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

func (w *simulation) enter(x *simRequest) {
	if w.forward != nil {
		w.forward.enter(w, x)
		return
	}
	b := w.boards[x.host]
	if ok, after := b.Admit(w.now, &x.ask); !ok {
		b.Declined(w.now, &x.ask)
		w.result(x.load.team).refused++
		w.quota++
		w.callers.refused(w.now, x, after)
		return
	}
	b.Asked(w.now, &x.ask)
	x.decider, x.decided = x.host, &x.ask
	if w.owners {
		w.walk(x)
		return
	}
	c := b.Choose(w.now, &x.ask)
	if c.Target != "" {
		b.Sent(w.now, &x.ask, &c)
		w.send(x, c)
		return
	}
	w.nextID++
	if !b.Wait(w.now, w.nextID, &x.ask) {
		w.refuse(x)
		return
	}
	w.waiting[x.host][w.nextID] = x
}

// refuse ends a request that was admitted and found no engine.
func (w *simulation) refuse(x *simRequest) {
	w.result(x.load.team).refused++
	w.callers.refused(w.now, x, leastPause)
}

// send puts a request into the queue of its engine.
func (w *simulation) send(x *simRequest, c placement.Choice) {
	e := w.engines[c.Target]
	x.choice, x.sent, x.left = c, w.now, c.Load
	if e == nil { // it died
		w.ended(x, c.Target, placement.Unreached)
		w.refuse(x)
		return
	}
	x.unprefilled = x.ask.Chain.Total
	if len(e.queue)+len(e.runs) >= w.slots {
		w.over++
	}
	part := x.ask.Chain.Deepest()
	switch {
	case part == 0:
	case e.cached[part]:
		x.unprefilled -= x.ask.Chain.Shared()
	default:
		for _, other := range w.engines {
			if other.cached[part] {
				w.result(x.load.team).prefilledAgain += x.ask.Chain.Shared()
				break
			}
		}
		e.cached[part] = true
	}
	e.queue = append(e.queue, x)
}

// step lets an engine read and generate.
func (w *simulation) step(id string) {
	e := w.engines[id]
	if len(e.queue) == 0 && w.anyWaits() {
		w.idle++
	}
	for budget := readPerStep; budget > 0 && len(e.queue) > 0 && len(e.runs) < w.slots; {
		x := e.queue[0]
		read := min(budget, x.unprefilled)
		x.unprefilled -= read
		budget -= read
		if x.unprefilled > 0 {
			break
		}
		e.queue = e.queue[1:]
		w.first(x)
		e.runs = append(e.runs, x)
	}
	running := e.runs[:0]
	for _, x := range e.runs {
		x.steps++
		if x.steps < streamSteps+x.extraSteps {
			running = append(running, x)
			continue
		}
		if w.forward == nil {
			w.ended(x, id, placement.Done)
		}
	}
	e.runs = running
}

// ended tells the host that decided about a request and the one of the caller that it ended.
func (w *simulation) ended(x *simRequest, target string, o placement.Outcome) {
	w.boards[x.decider].Ended(w.now, x.decided, target, x.left, o, w.now.Sub(x.sent))
	if x.decider != x.host {
		w.boards[x.host].EndedElsewhere(w.now, target, x.left, o)
	}
}

func (w *simulation) anyWaits() bool {
	for _, waiting := range w.waiting {
		if len(waiting) > 0 {
			return true
		}
	}
	return false
}

func (w *simulation) first(x *simRequest) {
	r := w.result(x.load.team)
	r.served++
	r.tokens += x.ask.Chain.Total
	if w.now.Sub(x.arrived) <= x.load.aim {
		r.inTime++
	}
	if w.forward != nil {
		w.forward.first(x)
		return
	}
	if x.decider != x.host {
		w.boards[x.host].FirstElsewhere(w.now, &x.ask, x.choice, w.now.Sub(x.sent))
	}
	x.left = w.boards[x.decider].First(w.now, x.decided, x.choice, w.now.Sub(x.sent))
	w.grant(x.decider, w.boards[x.decider].Serve(w.now, "model"))
}

func (w *simulation) tick(host int) {
	b := w.boards[host]
	b.Tick(w.now)
	w.grant(host, b.Serve(w.now, "model"))
	w.grant(host, b.Expire(w.now))
}

func (w *simulation) grant(host int, grants []placement.Grant) {
	for _, g := range grants {
		x := w.waiting[host][g.ID]
		delete(w.waiting[host], g.ID)
		if g.Choice.Target == "" && w.owners {
			x.ask.Ahead = max(x.ask.Ahead, g.Choice.Waiting)
			w.walk(x)
			continue
		}
		if g.Choice.Target == "" {
			w.refuse(x)
			continue
		}
		w.send(x, g.Choice)
	}
}

// tell sends the news of a host to the others.
func (w *simulation) tell(from int) {
	news := w.boards[from].News(w.now)
	for to, other := range w.boards {
		if to != from {
			other.Learn(w.now, uint64(from), news)
		}
	}
}
