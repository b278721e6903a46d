package host_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/intake"
	"github.com/cassiachute/cassiachute/wire"
)

// event is a function that the simulation calls at a point of virtual time.
type event struct {
	at       time.Time // in virtual time
	sequence int       // counts scheduled events, decides between those of the same time
	do       func()
}

// eventHeap implements heap.Interface. It orders events by time, and those of the same time in the
// order in which they were scheduled.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	*h = (*h)[:last]
	return s
}

// direction identifies the session by which one host sends to another.
type direction struct{ from, to netip.AddrPort }

// session carries the messages that one host sends to another, in order. It holds them back while the
// hosts are not connected.
type session struct {
	boot    uint64         // start time of the receiving process
	open    bool           // whether the hosts are connected
	last    time.Time      // when the message sent last will arrive
	pending []wire.Message // messages kept until the connection opens
}

// node is a simulated host process. A host that restarts is a new node.
type node struct {
	*host.Host
	address netip.AddrPort
	place   string
	boot    uint64      // start time of the process in milliseconds, distinguishes it from its predecessors
	running bool        // the process has not ended
	paused  bool        // the process is suspended and handles no events
	seeds   []host.Seed // hosts that it knew at its start
}

// targetRun is one run of a request on a target, which ends by completion or preemption.
type targetRun struct {
	target    uint32
	node      *node  // host that accepted the request
	id        uint64 // of the request, unique within the node
	startedAt time.Time
	team      uint32
	cost      uint64
}

// request is the state of a caller's request.
type request struct {
	team           uint32
	cost           uint64 // cost units that are still to be served
	sentAt         time.Time
	firstStartedAt time.Time // when it first started on a target
	starts         int       // times it started on a target
	done           bool
	refused        bool // the host gave the request up
}

// simulation simulates hosts, targets and the connections between hosts in virtual
// time, reproducibly for a seed.
type simulation struct {
	now             time.Time // virtual time
	events          eventHeap
	sequence        int // number of events scheduled so far
	rng             *rand.Rand
	set             *catalog.Set // configuration that the platform serves
	nodes           []*node
	sessions        map[direction]*session
	partitioned     map[direction]bool          // directions in which no connection can be opened
	requests        map[string]*request         // by requestName
	running         map[string]*targetRun       // by requestName
	runningOnTarget map[uint32]int              // requests running on each target
	peakOnTarget    map[uint32]int              // most requests that ran on each target at once
	received        map[uint32]uint64           // cost units received by each team
	speed           float64                     // cost units per second in one slot
	onDone          func(n *node, req *request) // called for each completed request, may be nil
	failures        []string                    // invariants that did not hold
}

// withPolicy returns an option that sets the dispatch policy of a host.
func withPolicy(p dispatch.Policy) func(c *host.Config) {
	return func(c *host.Config) { c.Policy = p }
}

// newSimulation returns a simulation without any hosts. Hosts that poll the platform get the given
// configuration.
func newSimulation(seed uint64, set *catalog.Set) *simulation {
	return &simulation{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), set: set,
		sessions: map[direction]*session{}, partitioned: map[direction]bool{}, requests: map[string]*request{},
		running: map[string]*targetRun{}, runningOnTarget: map[uint32]int{}, peakOnTarget: map[uint32]int{},
		received: map[uint32]uint64{}, speed: 100,
	}
}

// after schedules a function to be called after a duration of virtual time.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now.Add(d), sequence: sim.sequence, do: do})
}

// run advances the virtual time by a duration and processes the events that fall in it.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

// fail records that an invariant did not hold. Tests require at their end that failures is empty.
func (sim *simulation) fail(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf("%s %s", sim.now.Format("05.000"), fmt.Sprintf(format, args...)))
}

// start starts a host and gives it all running hosts as its seeds.
func (sim *simulation) start(place string, port uint16, options ...func(c *host.Config)) *node {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	n := &node{address: address, place: place, boot: uint64(sim.now.UnixMilli()), running: true}
	config := host.NewConfig(address, n.boot, place)
	for _, other := range sim.nodes {
		if other.running {
			config.Seeds = append(config.Seeds, host.Seed{Address: other.address, Place: other.place})
		}
	}
	for _, c := range options {
		c(&config)
	}
	n.Host, n.seeds = host.New(config), config.Seeds
	sim.nodes = append(sim.nodes, n)
	sim.tick(n)
	return n
}

// tick calls a host's Tick every 50 ms while the host runs.
func (sim *simulation) tick(n *node) {
	if !n.running {
		return
	}
	if !n.paused {
		n.Tick(sim.now)
		sim.execute(n)
	}
	sim.after(50*time.Millisecond, func() { sim.tick(n) })
}

// liveNode returns the running host at an address, or nil.
func (sim *simulation) liveNode(address netip.AddrPort) *node {
	for _, n := range sim.nodes {
		if n.address == address && n.running {
			return n
		}
	}
	return nil
}

// execute carries out the commands that a host has issued since the last call: what to connect, send,
// start, refuse and cancel.
func (sim *simulation) execute(n *node) {
	c := n.Drain()
	for _, peer := range c.Connect {
		if sim.sessions[direction{n.address, peer}] == nil {
			sim.sessions[direction{n.address, peer}] = &session{}
			sim.connect(n, peer)
		}
	}
	for _, peer := range c.Disconnect {
		sim.sessions[direction{n.address, peer}] = nil
	}
	for _, s := range c.Sends {
		sim.send(n, s.To, s.Message)
	}
	if c.Poll && sim.set != nil {
		sim.after(2*time.Millisecond, func() { sim.deliver(n, func() { n.Apply(sim.now, sim.set) }) })
	}
	for _, s := range c.Starts {
		sim.begin(n, s)
	}
	for _, refusal := range c.Refusals {
		sim.requests[sim.requestName(n, refusal.ID)].refused = true
	}
	for _, cancellation := range c.Cancels {
		sim.cancel(n, cancellation.ID)
	}
}

// deliver calls a function that passes an event to a host, and carries out the
// commands that follow. A host that has ended gets no event; a paused one gets
// it later.
func (sim *simulation) deliver(n *node, event func()) {
	if !n.running {
		return
	}
	if n.paused {
		sim.after(10*time.Millisecond, func() { sim.deliver(n, event) })
		return
	}
	event()
	sim.execute(n)
}

// requestName returns a name for a request that is unique among all processes
// of a simulation.
func (sim *simulation) requestName(n *node, id uint64) string {
	return fmt.Sprintf("%s/%d/%d", n.address, n.boot, id)
}

// connect opens the session from a host to a peer, and tries again every 200 ms while the peer cannot
// be reached. If the process of the peer is a new one, messages held back for the old one are dropped.
func (sim *simulation) connect(n *node, to netip.AddrPort) {
	if !n.running {
		return
	}
	key := direction{n.address, to}
	other := sim.liveNode(to)
	session := sim.sessions[key]
	if session == nil {
		return
	}
	if other == nil || sim.partitioned[key] {
		refused := other == nil && !sim.partitioned[key]
		sim.after(5*time.Millisecond, func() {
			sim.deliver(n, func() { n.PeerDown(sim.now, to, refused) })
		})
		sim.after(200*time.Millisecond, func() { sim.connect(n, to) })
		return
	}
	newProcess := session.boot != other.boot
	if newProcess && session.boot != 0 {
		session.pending = nil
	}
	session.boot, session.open = other.boot, true
	pending := session.pending
	session.pending = nil
	sim.after(time.Millisecond, func() {
		sim.deliver(n, func() { n.PeerUp(sim.now, to, other.boot, newProcess) })
	})
	for _, m := range pending {
		sim.send(n, to, m)
	}
}

// send delivers a message to a peer after a random delay, but not before the messages sent earlier. If
// the hosts are not connected, the session holds the message back.
func (sim *simulation) send(n *node, to netip.AddrPort, m wire.Message) {
	session := sim.sessions[direction{n.address, to}]
	if session == nil {
		return
	}
	if !session.open {
		session.pending = append(session.pending, m)
		return
	}
	other := sim.liveNode(to)
	if other == nil || other.boot != session.boot {
		return
	}
	arrival := sim.now.Add(time.Duration(200+sim.rng.IntN(1800)) * time.Microsecond)
	if !arrival.After(session.last) {
		arrival = session.last.Add(time.Microsecond)
	}
	session.last = arrival
	boot := n.boot
	sim.after(arrival.Sub(sim.now), func() {
		sim.deliver(other, func() { other.Receive(sim.now, n.address, boot, []wire.Message{m}) })
	})
}

// setPartitioned disconnects two hosts in both directions, or lets them connect again.
// Disconnected hosts try to reconnect after a second, and go on until they succeed.
func (sim *simulation) setPartitioned(a, b *node, partitioned bool) {
	for _, key := range []direction{{a.address, b.address}, {b.address, a.address}} {
		sim.partitioned[key] = partitioned
		if session := sim.sessions[key]; session != nil && partitioned {
			session.open = false
		}
		if partitioned {
			n := sim.liveNode(key.from)
			sim.after(time.Second, func() { sim.connect(n, key.to) })
		}
	}
}

// kill ends the process of a host. The requests that it was running on targets are dropped.
func (sim *simulation) kill(n *node) {
	n.running = false
	for name, run := range sim.running {
		if run.node == n {
			sim.runningOnTarget[run.target]--
			delete(sim.running, name)
		}
	}
	for _, other := range sim.nodes {
		if other.running && sim.sessions[direction{other.address, n.address}] != nil {
			sim.sessions[direction{other.address, n.address}].open = false
			sim.after(2*time.Millisecond, func() { sim.connect(other, n.address) })
		}
	}
}

// submit sends a caller's request to a host.
func (sim *simulation) submit(n *node, team, service uint32, class uint8, cost uint64) *request {
	req := &request{team: team, cost: cost, sentAt: sim.now}
	id := n.Submit(sim.now, intake.Request{Service: service, Team: team, Class: class})
	sim.requests[sim.requestName(n, id)] = req
	sim.execute(n)
	return req
}

// begin starts a request on the target of its grant after half a millisecond, unless the host no
// longer accepts the grant.
func (sim *simulation) begin(n *node, s intake.StartCommand) {
	sim.after(500*time.Microsecond, func() {
		sim.deliver(n, func() {
			if !n.Begin(sim.now, s.ID, s.Grant) {
				return
			}
			name := sim.requestName(n, s.ID)
			req := sim.requests[name]
			if req.starts == 0 {
				req.firstStartedAt = sim.now
			}
			req.starts++
			run := &targetRun{target: s.Target, node: n, id: s.ID, startedAt: sim.now, team: req.team, cost: req.cost}
			sim.running[name] = run
			sim.runningOnTarget[s.Target]++
			sim.peakOnTarget[s.Target] = max(sim.peakOnTarget[s.Target], sim.runningOnTarget[s.Target])
			sim.after(time.Duration(float64(req.cost)/sim.speed*float64(time.Second)), func() { sim.end(name, run) })
		})
	})
}

// end completes the request of a run, unless the run was preempted or its host was killed.
func (sim *simulation) end(name string, r *targetRun) {
	if sim.running[name] != r {
		return
	}
	if r.node.paused {
		sim.after(10*time.Millisecond, func() { sim.end(name, r) })
		return
	}
	delete(sim.running, name)
	sim.runningOnTarget[r.target]--
	sim.received[r.team] += r.cost
	req := sim.requests[name]
	if req.done {
		sim.fail("request %s completed twice", name)
	}
	req.done = true
	sim.deliver(r.node, func() { r.node.Finish(sim.now, r.id, wire.RequestEnd{Outcome: wire.OutcomeCompleted, Cost: r.cost}) })
	if sim.onDone != nil {
		sim.onDone(r.node, req)
	}
}

// cancel preempts a running request. The part of its cost that was served counts as received by the
// team, and the host queues the request again for the rest.
func (sim *simulation) cancel(n *node, id uint64) {
	name := sim.requestName(n, id)
	run := sim.running[name]
	if run == nil {
		return
	}
	delete(sim.running, name)
	sim.runningOnTarget[run.target]--
	used := uint64(sim.now.Sub(run.startedAt).Seconds() * sim.speed)
	used = min(used, run.cost-1)
	sim.received[run.team] += used
	sim.requests[name].cost -= used
	sim.deliver(n, func() { n.Retry(sim.now, id, wire.RequestEnd{Outcome: wire.OutcomePreempted, Cost: used}) })
}

// openRequests returns the names of the requests at running hosts that are neither done nor refused.
func (sim *simulation) openRequests() []string {
	var list []string
	for _, n := range sim.nodes {
		if !n.running {
			continue
		}
		prefix := fmt.Sprintf("%s/%d/", n.address, n.boot)
		for name, req := range sim.requests {
			if len(name) > len(prefix) && name[:len(prefix)] == prefix && !req.done && !req.refused {
				list = append(list, name)
			}
		}
	}
	return list
}
