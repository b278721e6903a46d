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

// event is a function to call at a point of virtual time.
type event struct {
	at       time.Time
	sequence int // order in which events were scheduled
	do       func()
}

// eventHeap is a heap.Interface that orders events by time, and by sequence
// within the same time.
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

// direction identifies one direction between two hosts.
type direction struct{ from, to netip.AddrPort }

// session is one direction of the session between two hosts. It keeps messages
// while the connection is down.
type session struct {
	boot    uint64 // start time of the receiving process
	open    bool
	last    time.Time      // when the latest message arrives
	pending []wire.Message // messages kept until the connection opens
}

// node is one process of a host in a simulation.
type node struct {
	*host.Host
	address netip.AddrPort
	place   string
	boot    uint64
	running bool // the process has not ended
	paused  bool // the process is suspended and handles no events
	seeds   []host.Seed
}

// targetRun is a request that is running on a target.
type targetRun struct {
	target    uint32
	node      *node
	id        uint64
	startedAt time.Time
	team      uint32
	cost      uint64
}

// request is the state of a caller's request.
type request struct {
	team           uint32
	cost           uint64
	sentAt         time.Time
	firstStartedAt time.Time // when it first started on a target
	starts         int       // times it started on a target
	done           bool
	refused        bool
}

// simulation simulates hosts, targets and the connections between hosts in virtual
// time, reproducibly for a seed.
type simulation struct {
	now             time.Time
	events          eventHeap
	sequence        int // number of events scheduled so far
	rng             *rand.Rand
	set             *catalog.Set // configuration that the platform serves
	nodes           []*node
	sessions        map[direction]*session
	partitioned     map[direction]bool        // directions in which hosts cannot connect
	requests        map[string]*request       // by requestName
	running         map[string]*targetRun     // by requestName
	runningOnTarget map[uint32]int            // requests running on each target
	peakOnTarget    map[uint32]int            // most requests that ran on each target at once
	received        map[uint32]uint64         // cost units received by each team
	speed           float64                   // cost units per second in one slot
	onDone          func(n *node, r *request) // called for each completed request, may be nil
	failures        []string                  // invariants that did not hold
}

// withPolicy returns an option that sets the dispatch policy of a host.
func withPolicy(p dispatch.Policy) func(c *host.Config) {
	return func(c *host.Config) { c.Policy = p }
}

// newSimulation returns a simulation without hosts whose platform serves a configuration.
func newSimulation(seed uint64, set *catalog.Set) *simulation {
	return &simulation{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), set: set,
		sessions: map[direction]*session{}, partitioned: map[direction]bool{}, requests: map[string]*request{},
		running: map[string]*targetRun{}, runningOnTarget: map[uint32]int{}, peakOnTarget: map[uint32]int{},
		received: map[uint32]uint64{}, speed: 100,
	}
}

// after schedules a function to be called after a duration of virtual time.
func (w *simulation) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now.Add(d), sequence: w.sequence, do: do})
}

// run advances the virtual time and processes all events up to its end.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		s := heap.Pop(&w.events).(event)
		w.now = s.at
		s.do()
	}
	w.now = end
}

// fail records a failure, for the test to check at its end.
func (w *simulation) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("%s %s", w.now.Format("05.000"), fmt.Sprintf(format, args...)))
}

// start adds a host, with all running hosts as its seeds.
func (w *simulation) start(place string, port uint16, options ...func(c *host.Config)) *node {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	n := &node{address: address, place: place, boot: uint64(w.now.UnixMilli()), running: true}
	config := host.NewConfig(address, n.boot, place)
	for _, other := range w.nodes {
		if other.running {
			config.Seeds = append(config.Seeds, host.Seed{Address: other.address, Place: other.place})
		}
	}
	for _, c := range options {
		c(&config)
	}
	n.Host, n.seeds = host.New(config), config.Seeds
	w.nodes = append(w.nodes, n)
	w.tick(n)
	return n
}

// tick calls a host's Tick every 50 ms while the host runs.
func (w *simulation) tick(n *node) {
	if !n.running {
		return
	}
	if !n.paused {
		n.Tick(w.now)
		w.execute(n)
	}
	w.after(50*time.Millisecond, func() { w.tick(n) })
}

// liveNode returns the running host at an address, or nil.
func (w *simulation) liveNode(address netip.AddrPort) *node {
	for _, n := range w.nodes {
		if n.address == address && n.running {
			return n
		}
	}
	return nil
}

// execute carries out the pending commands of a host.
func (w *simulation) execute(n *node) {
	c := n.Drain()
	for _, peer := range c.Connect {
		if w.sessions[direction{n.address, peer}] == nil {
			w.sessions[direction{n.address, peer}] = &session{}
			w.connect(n, peer)
		}
	}
	for _, peer := range c.Disconnect {
		w.sessions[direction{n.address, peer}] = nil
	}
	for _, s := range c.Sends {
		w.send(n, s.To, s.Message)
	}
	if c.Poll && w.set != nil {
		w.after(2*time.Millisecond, func() { w.deliver(n, func() { n.Apply(w.now, w.set) }) })
	}
	for _, s := range c.Starts {
		w.begin(n, s)
	}
	for _, r := range c.Refusals {
		w.requests[w.requestName(n, r.ID)].refused = true
	}
	for _, k := range c.Cancels {
		w.cancel(n, k.ID)
	}
}

// deliver calls a function that passes an event to a host, and carries out the
// commands that follow. A host that has ended gets no event; a paused one gets
// it later.
func (w *simulation) deliver(n *node, event func()) {
	if !n.running {
		return
	}
	if n.paused {
		w.after(10*time.Millisecond, func() { w.deliver(n, event) })
		return
	}
	event()
	w.execute(n)
}

// requestName returns a name for a request that is unique among all processes
// of a simulation.
func (w *simulation) requestName(n *node, id uint64) string {
	return fmt.Sprintf("%s/%d/%d", n.address, n.boot, id)
}

// connect opens a session in one direction, and tries again every 200 ms while
// the peer cannot be reached.
func (w *simulation) connect(n *node, to netip.AddrPort) {
	if !n.running {
		return
	}
	key := direction{n.address, to}
	other := w.liveNode(to)
	ch := w.sessions[key]
	if ch == nil {
		return
	}
	if other == nil || w.partitioned[key] {
		refused := other == nil && !w.partitioned[key]
		w.after(5*time.Millisecond, func() {
			w.deliver(n, func() { n.PeerDown(w.now, to, refused) })
		})
		w.after(200*time.Millisecond, func() { w.connect(n, to) })
		return
	}
	fresh := ch.boot != other.boot
	if fresh && ch.boot != 0 {
		ch.pending = nil
	}
	ch.boot, ch.open = other.boot, true
	pending := ch.pending
	ch.pending = nil
	w.after(time.Millisecond, func() {
		w.deliver(n, func() { n.PeerUp(w.now, to, other.boot, fresh) })
	})
	for _, m := range pending {
		w.send(n, to, m)
	}
}

// send delivers a message after a random delay, in the order of the session.
// Without a connection the message is kept.
func (w *simulation) send(n *node, to netip.AddrPort, m wire.Message) {
	ch := w.sessions[direction{n.address, to}]
	if ch == nil {
		return
	}
	if !ch.open {
		ch.pending = append(ch.pending, m)
		return
	}
	other := w.liveNode(to)
	if other == nil || other.boot != ch.boot {
		return
	}
	at := w.now.Add(time.Duration(200+w.rng.IntN(1800)) * time.Microsecond)
	if !at.After(ch.last) {
		at = ch.last.Add(time.Microsecond)
	}
	ch.last = at
	boot := n.boot
	w.after(at.Sub(w.now), func() {
		w.deliver(other, func() { other.Receive(w.now, n.address, boot, []wire.Message{m}) })
	})
}

// setPartitioned disconnects two hosts in both directions, or lets them connect
// again.
func (w *simulation) setPartitioned(a, b *node, partitioned bool) {
	for _, key := range []direction{{a.address, b.address}, {b.address, a.address}} {
		w.partitioned[key] = partitioned
		if ch := w.sessions[key]; ch != nil && partitioned {
			ch.open = false
		}
		if partitioned {
			n := w.liveNode(key.from)
			w.after(time.Second, func() { w.connect(n, key.to) })
		}
	}
}

// kill ends the process of a host. The requests that it ran on targets are
// cancelled.
func (w *simulation) kill(n *node) {
	n.running = false
	for name, r := range w.running {
		if r.node == n {
			w.runningOnTarget[r.target]--
			delete(w.running, name)
		}
	}
	for _, other := range w.nodes {
		if other.running && w.sessions[direction{other.address, n.address}] != nil {
			w.sessions[direction{other.address, n.address}].open = false
			w.after(2*time.Millisecond, func() { w.connect(other, n.address) })
		}
	}
}

// submit sends a caller's request to a host.
func (w *simulation) submit(n *node, team, service uint32, class uint8, cost uint64) *request {
	r := &request{team: team, cost: cost, sentAt: w.now}
	id := n.Submit(w.now, intake.Request{Service: service, Team: team, Class: class})
	w.requests[w.requestName(n, id)] = r
	w.execute(n)
	return r
}

// begin starts a granted request on its target, unless the grant is no longer
// valid.
func (w *simulation) begin(n *node, s intake.StartCommand) {
	w.after(500*time.Microsecond, func() {
		w.deliver(n, func() {
			if !n.Begin(w.now, s.ID, s.Grant) {
				return
			}
			name := w.requestName(n, s.ID)
			q := w.requests[name]
			if q.starts == 0 {
				q.firstStartedAt = w.now
			}
			q.starts++
			r := &targetRun{target: s.Target, node: n, id: s.ID, startedAt: w.now, team: q.team, cost: q.cost}
			w.running[name] = r
			w.runningOnTarget[s.Target]++
			w.peakOnTarget[s.Target] = max(w.peakOnTarget[s.Target], w.runningOnTarget[s.Target])
			w.after(time.Duration(float64(q.cost)/w.speed*float64(time.Second)), func() { w.end(name, r) })
		})
	})
}

// end completes a request, unless it has been cancelled.
func (w *simulation) end(name string, r *targetRun) {
	if w.running[name] != r {
		return
	}
	if r.node.paused {
		w.after(10*time.Millisecond, func() { w.end(name, r) })
		return
	}
	delete(w.running, name)
	w.runningOnTarget[r.target]--
	w.received[r.team] += r.cost
	q := w.requests[name]
	if q.done {
		w.fail("request %s completed twice", name)
	}
	q.done = true
	w.deliver(r.node, func() { r.node.Finish(w.now, r.id, wire.RequestEnd{Outcome: wire.OutcomeCompleted, Cost: r.cost}) })
	if w.onDone != nil {
		w.onDone(r.node, q)
	}
}

// cancel preempts a running request and queues what is left of it again.
func (w *simulation) cancel(n *node, id uint64) {
	name := w.requestName(n, id)
	r := w.running[name]
	if r == nil {
		return
	}
	delete(w.running, name)
	w.runningOnTarget[r.target]--
	used := uint64(w.now.Sub(r.startedAt).Seconds() * w.speed)
	used = min(used, r.cost-1)
	w.received[r.team] += used
	w.requests[name].cost -= used
	w.deliver(n, func() { n.Retry(w.now, id, wire.RequestEnd{Outcome: wire.OutcomePreempted, Cost: used}) })
}

// openRequests returns the requests of live hosts that are neither done nor
// refused.
func (w *simulation) openRequests() []string {
	var list []string
	for _, n := range w.nodes {
		if !n.running {
			continue
		}
		prefix := fmt.Sprintf("%s/%d/", n.address, n.boot)
		for name, r := range w.requests {
			if len(name) > len(prefix) && name[:len(prefix)] == prefix && !r.done && !r.refused {
				list = append(list, name)
			}
		}
	}
	return list
}
