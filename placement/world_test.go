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

// Parameters of the simulation.
const (
	tickStep       = 5 * time.Millisecond   // one step of the simulation
	prefillPerStep = 500                    // prompt tokens that an engine prefills in a step
	streamSteps    = 200                    // steps that a stream runs after its first event
	tightGoal      = 600 * time.Millisecond // latency goal that is hard to meet under load
	manySlots      = 500                    // slots of an engine that never runs out of them
)

// workload describes the requests of one team.
type workload struct {
	team         string
	hosts        []int         // indexes of the hosts that the team uses
	perSecond    float64       // mean number of requests a second
	prompt       int           // tokens of the prompt's private part
	prefixes     int           // number of different shared prefixes, 0 for prompts without one
	sharedTokens int           // tokens of a shared prefix
	latencyGoal  time.Duration // from the arrival of a request to its first event
}

// engine simulates an inference engine that prefills prompts one after another.
type engine struct {
	queue   []*simRequest   // not prefilled yet
	cached  map[uint64]bool // by shared prefix
	running []*simRequest   // generating

	factor func(since time.Duration) float64 // time that its work takes, relative to the others; nil if it is like them
	credit float64                           // steps of work that are not done yet
}

// simRequest is a request from its arrival to its end.
type simRequest struct {
	workload    *workload
	request     placement.Request
	host        int // index of the host that the caller uses
	arrived     time.Time
	sent        time.Time // to an engine
	choice      placement.Choice
	decider     int                // index of the host that chose the engine
	decided     *placement.Request // the request as known to that host
	remaining   placement.Load     // load that ends with the request
	unprefilled int                // prompt tokens
	steps       int                // since its first event
	extraSteps  int                // by which its stream differs from streamSteps
	isRetry     bool               // it is the retry of a refused request
}

// teamResult counts the requests of a team by what became of them, and prompt tokens: those of served
// requests, and those prefilled although another engine had them cached.
type teamResult struct{ asked, served, inTime, refused, tokens, prefilledAgain int }

// simulation runs the boards of several hosts against simulated engines in virtual time.
type simulation struct {
	now              time.Time
	boards           []*placement.Board
	engines          map[string]*engine
	waiting          []map[uint64]*simRequest // queued requests, by index of the host and ID
	nextID           uint64
	results          map[string]*teamResult // by team
	rng              *rand.Rand
	stateOffset      int           // steps between the state reports of one host and those of the next
	slots            int           // requests that an engine runs at once
	statePeriod      time.Duration // interval between the state reports of a host
	forward          *forwarder    // baseline that decides instead of the boards, if set
	enginesOwned     bool          // hosts ask the owner of an engine before they use it
	ownersAsked      int           // number of times an owner was asked
	refusedOnArrival int           // requests refused on arrival
	sentWithoutSlot  int           // requests sent to engines without a free slot
	idleSteps        int           // steps of engines without a prompt to prefill while a request waited
	targets          []route.Target
	callers          callers // retries of refused requests, and callers that leave
}

// newSimulation returns a simulation whose engines never run out of slots. The rate is the one of
// route.Table.
func newSimulation(hosts, engines int, rate float64) *simulation {
	return newSimulationWithSlots(hosts, engines, rate, manySlots)
}

// newSimulationWithSlots returns a simulation whose engines run a number of requests at once.
func newSimulationWithSlots(hosts, engines int, rate float64, slots int) *simulation {
	s := &simulation{
		slots: slots,
		now:   time.Unix(1000, 0), engines: map[string]*engine{}, results: map[string]*teamResult{},
		rng: rand.New(rand.NewPCG(1, 2)), statePeriod: placement.StatePeriod(hosts),
	}
	table := route.NewTable(route.Table{
		Version: 1, Rate: rate,
		Routes:   []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: slots, TokenCapacity: 10_000_000}}},
	})
	for n := range engines {
		id := fmt.Sprintf("engine%d", n)
		s.engines[id] = &engine{cached: map[uint64]bool{}}
		s.targets = append(s.targets, route.Target{
			ID: id, Service: "model", Slots: slots, Place: "place1",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		})
	}
	for range hosts {
		b := placement.NewBoard("place1")
		b.Configure(table)
		b.SetTargets(s.targets)
		s.boards = append(s.boards, b)
		s.waiting = append(s.waiting, map[uint64]*simRequest{})
	}
	return s
}

// result returns the counts of a team and creates them if needed.
func (s *simulation) result(team string) *teamResult {
	if s.results[team] == nil {
		s.results[team] = &teamResult{}
	}
	return s.results[team]
}

// run runs the workloads for a time.
func (s *simulation) run(workloads []workload, length time.Duration) {
	steps := int(length / tickStep)
	for step := range steps {
		for i := range workloads {
			s.drawArrivals(&workloads[i])
		}
		for _, id := range s.engineIDs() {
			s.stepEngine(id)
		}
		for host := range s.boards {
			if (step+s.stateOffset*host)%int(s.statePeriod/tickStep) == 0 {
				s.sendState(host)
			}
		}
		for host := range s.boards {
			s.tick(host)
		}
		s.now = s.now.Add(tickStep)
	}
}

// engineIDs returns the sorted IDs of the engines that are alive.
func (s *simulation) engineIDs() []string {
	ids := make([]string, 0, len(s.engines))
	for id := range s.engines {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

// drawArrivals draws the arrivals of one step.
func (s *simulation) drawArrivals(w *workload) {
	count := poisson(s.rng, w.perSecond*tickStep.Seconds())
	for range count {
		s.nextID++
		parts := []placement.Part{{ID: 1 << 40, Tokens: w.prompt}}
		if w.prefixes > 0 {
			shared := uint64(s.rng.IntN(w.prefixes)) + 1
			parts = append([]placement.Part{{ID: shared, Tokens: w.sharedTokens}}, parts...)
		}
		req := &simRequest{workload: w, host: w.hosts[s.rng.IntN(len(w.hosts))], arrived: s.now}
		req.request = placement.Request{
			Service: "model", Team: w.team, LatencyGoal: w.latencyGoal, MaxOutput: 100, Seed: s.nextID,
			Chain: placement.NewPrefixChain(parts, w.prompt+w.sharedTokens),
		}
		s.result(w.team).asked++
		s.submit(req)
	}
}

// poisson draws a Poisson-distributed number.
func poisson(rng *rand.Rand, mean float64) int {
	threshold, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > threshold {
		product *= rng.Float64()
		n++
	}
	return n
}

// submit lets a request arrive at its host, which sends it to an engine, queues it, or refuses it.
func (s *simulation) submit(req *simRequest) {
	if s.forward != nil {
		s.forward.sendOrRefuse(s, req)
		return
	}
	b := s.boards[req.host]
	if ok, retryAfter := b.Admit(s.now, &req.request); !ok {
		b.RecordRefused(s.now, &req.request)
		s.result(req.workload.team).refused++
		s.refusedOnArrival++
		s.callers.scheduleRetry(s.now, req, retryAfter)
		return
	}
	b.RecordAdmitted(s.now, &req.request)
	req.decider, req.decided = req.host, &req.request
	if s.enginesOwned {
		s.askOwners(req)
		return
	}
	c := b.Choose(s.now, &req.request)
	if c.Target != "" {
		b.RecordSent(s.now, &req.request, &c)
		s.send(req, c)
		return
	}
	s.nextID++
	if !b.Wait(s.now, s.nextID, &req.request) {
		s.refuse(req)
		return
	}
	s.waiting[req.host][s.nextID] = req
}

// refuse ends a request that was admitted and found no engine.
func (s *simulation) refuse(req *simRequest) {
	s.result(req.workload.team).refused++
	s.callers.scheduleRetry(s.now, req, minRetryDelay)
}

// send puts a request into the queue of its engine.
func (s *simulation) send(req *simRequest, c placement.Choice) {
	e := s.engines[c.Target]
	req.choice, req.sent, req.remaining = c, s.now, c.Load
	if e == nil { // it died
		s.recordEnd(req, c.Target, placement.Unreachable)
		s.refuse(req)
		return
	}
	req.unprefilled = req.request.Chain.Total
	if len(e.queue)+len(e.running) >= s.slots {
		s.sentWithoutSlot++
	}
	part := req.request.Chain.LongestPrefix()
	switch {
	case part == 0:
	case e.cached[part]:
		req.unprefilled -= req.request.Chain.SharedTokens()
	default:
		for _, other := range s.engines {
			if other.cached[part] {
				s.result(req.workload.team).prefilledAgain += req.request.Chain.SharedTokens()
				break
			}
		}
		e.cached[part] = true
	}
	e.queue = append(e.queue, req)
}

// stepEngine lets an engine prefill and generate for one step.
func (s *simulation) stepEngine(id string) {
	e := s.engines[id]
	if len(e.queue) == 0 && s.anyRequestWaits() {
		s.idleSteps++
	}
	prefill, generated := e.workOfStep(s.now.Sub(time.Unix(1000, 0)))
	for budget := prefill; budget > 0 && len(e.queue) > 0 && len(e.running) < s.slots; {
		req := e.queue[0]
		prefilled := min(budget, req.unprefilled)
		req.unprefilled -= prefilled
		budget -= prefilled
		if req.unprefilled > 0 {
			break
		}
		e.queue = e.queue[1:]
		s.firstEvent(req)
		e.running = append(e.running, req)
	}
	running := e.running[:0]
	for _, req := range e.running {
		req.steps += generated
		if req.steps < streamSteps+req.extraSteps {
			running = append(running, req)
			continue
		}
		if s.forward == nil {
			s.recordEnd(req, id, placement.Done)
		}
	}
	e.running = running
}

// workOfStep returns how many prompt tokens an engine prefills in a step and how many steps its streams advance.
func (e *engine) workOfStep(since time.Duration) (prefill, generated int) {
	if e.factor == nil {
		return prefillPerStep, 1
	}
	factor := e.factor(since)
	e.credit += 1 / factor
	generated = int(e.credit)
	e.credit -= float64(generated)
	return int(prefillPerStep / factor), generated
}

// recordEnd records the end of a request at the host that chose its engine, and at the host that its
// caller uses.
func (s *simulation) recordEnd(req *simRequest, target string, outcome placement.Outcome) {
	s.boards[req.decider].RecordEnd(s.now, req.decided, target, req.remaining, outcome, s.now.Sub(req.sent))
	if req.decider != req.host {
		s.boards[req.host].RecordRemoteEnd(s.now, target, req.remaining, outcome)
	}
}

// anyRequestWaits returns whether a request is queued at any host.
func (s *simulation) anyRequestWaits() bool {
	for _, waiting := range s.waiting {
		if len(waiting) > 0 {
			return true
		}
	}
	return false
}

// firstEvent counts the first event of a request and tells the hosts of it.
func (s *simulation) firstEvent(req *simRequest) {
	r := s.result(req.workload.team)
	r.served++
	r.tokens += req.request.Chain.Total
	if s.now.Sub(req.arrived) <= req.workload.latencyGoal {
		r.inTime++
	}
	if s.forward != nil {
		s.forward.remove(req)
		return
	}
	if req.decider != req.host {
		s.boards[req.host].RecordRemoteFirstEvent(s.now, &req.request, req.choice, s.now.Sub(req.sent))
	}
	req.remaining = s.boards[req.decider].RecordFirstEvent(s.now, req.decided, req.choice, s.now.Sub(req.sent))
	s.grant(req.decider, s.boards[req.decider].ServeQueue(s.now, "model"))
}

// tick runs the periodic work of a host.
func (s *simulation) tick(host int) {
	b := s.boards[host]
	b.Tick(s.now)
	s.grant(host, b.ServeQueue(s.now, "model"))
	s.grant(host, b.ExpireQueued(s.now))
}

// grant sends the queued requests that were granted a target. The others ask further owners or are
// refused.
func (s *simulation) grant(host int, grants []placement.Grant) {
	for _, g := range grants {
		req := s.waiting[host][g.ID]
		delete(s.waiting[host], g.ID)
		if g.Choice.Target == "" && s.enginesOwned {
			req.request.PreferredQueue = max(req.request.PreferredQueue, g.Choice.QueueTime)
			s.askOwners(req)
			continue
		}
		if g.Choice.Target == "" {
			s.refuse(req)
			continue
		}
		s.send(req, g.Choice)
	}
}

// sendState sends the state of a host to all others.
func (s *simulation) sendState(from int) {
	state := s.boards[from].State(s.now)
	for to, other := range s.boards {
		if to != from {
			other.ApplyPeerState(s.now, uint64(from), state)
		}
	}
}
