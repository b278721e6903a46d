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

// step is something that happens at a time.
type step struct {
	at     time.Time
	number int
	do     func()
}

type stepHeap []step

func (h stepHeap) Len() int { return len(h) }
func (h stepHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}
func (h stepHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *stepHeap) Push(x any)   { *h = append(*h, x.(step)) }
func (h *stepHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	*h = (*h)[:last]
	return s
}

// pair names one direction between two hosts.
type pair struct{ from, to netip.AddrPort }

// channel is the session of one direction. It keeps messages while it is cut.
type channel struct {
	boot    uint64 // of the receiver that the messages are for
	open    bool
	last    time.Time
	pending []wire.Message
}

// node is one host of a world.
type node struct {
	*host.Host
	address netip.AddrPort
	place   string
	boot    uint64
	up      bool
	paused  bool
	seeds   []host.Seed
}

// running is a request that runs on a target.
type running struct {
	target uint32
	node   *node
	id     uint64
	began  time.Time
	team   uint32
	cost   uint64
}

// request is what a world knows of a caller's request.
type request struct {
	team    uint32
	cost    uint64
	sent    time.Time
	first   time.Time // when it first began to run
	granted int
	done    bool
	refused bool
}

// world is a few hosts, targets and links in virtual time.
type world struct {
	now      time.Time
	steps    stepHeap
	number   int
	rng      *rand.Rand
	set      *catalog.Set
	nodes    []*node
	channels map[pair]*channel
	cuts     map[pair]bool
	requests map[string]*request
	running  map[string]*running
	onTarget map[uint32]int
	most     map[uint32]int // most that ran on a target at once
	received map[uint32]uint64
	speed    float64 // cost units a second in one slot
	onDone   func(n *node, r *request)
	failures []string
}

func withPolicy(p dispatch.Policy) func(c *host.Config) {
	return func(c *host.Config) { c.Policy = p }
}

func newWorld(seed uint64, set *catalog.Set) *world {
	return &world{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), set: set,
		channels: map[pair]*channel{}, cuts: map[pair]bool{}, requests: map[string]*request{},
		running: map[string]*running{}, onTarget: map[uint32]int{}, most: map[uint32]int{},
		received: map[uint32]uint64{}, speed: 100,
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.steps, step{at: w.now.Add(d), number: w.number, do: do})
}

// run advances the time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.steps) > 0 && !w.steps[0].at.After(end) {
		s := heap.Pop(&w.steps).(step)
		w.now = s.at
		s.do()
	}
	w.now = end
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("%s %s", w.now.Format("05.000"), fmt.Sprintf(format, args...)))
}

// start adds a host. All hosts that are there are its seeds.
func (w *world) start(place string, port uint16, change ...func(c *host.Config)) *node {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	n := &node{address: address, place: place, boot: uint64(w.now.UnixMilli()), up: true}
	config := host.NewConfig(address, n.boot, place)
	for _, other := range w.nodes {
		if other.up {
			config.Seeds = append(config.Seeds, host.Seed{Address: other.address, Place: other.place})
		}
	}
	for _, c := range change {
		c(&config)
	}
	n.Host, n.seeds = host.New(config), config.Seeds
	w.nodes = append(w.nodes, n)
	w.tick(n)
	return n
}

func (w *world) tick(n *node) {
	if !n.up {
		return
	}
	if !n.paused {
		n.Tick(w.now)
		w.carry(n)
	}
	w.after(50*time.Millisecond, func() { w.tick(n) })
}

func (w *world) node(address netip.AddrPort) *node {
	for _, n := range w.nodes {
		if n.address == address && n.up {
			return n
		}
	}
	return nil
}

// carry carries out the commands of a host.
func (w *world) carry(n *node) {
	c := n.Drain()
	for _, peer := range c.Connect {
		if w.channels[pair{n.address, peer}] == nil {
			w.channels[pair{n.address, peer}] = &channel{}
			w.connect(n, peer)
		}
	}
	for _, peer := range c.Forget {
		w.channels[pair{n.address, peer}] = nil
	}
	for _, s := range c.Sends {
		w.send(n, s.To, s.Message)
	}
	if c.Poll && w.set != nil {
		w.after(2*time.Millisecond, func() { w.call(n, func() { n.Apply(w.now, w.set) }) })
	}
	for _, s := range c.Starts {
		w.begin(n, s)
	}
	for _, r := range c.Refusals {
		w.requests[w.name(n, r.ID)].refused = true
	}
	for _, k := range c.Cancels {
		w.cancel(n, k.ID)
	}
}

// call makes an event of a host, unless it is gone; a paused one takes it later.
func (w *world) call(n *node, event func()) {
	if !n.up {
		return
	}
	if n.paused {
		w.after(10*time.Millisecond, func() { w.call(n, event) })
		return
	}
	event()
	w.carry(n)
}

func (w *world) name(n *node, id uint64) string {
	return fmt.Sprintf("%s/%d/%d", n.address, n.boot, id)
}

// connect opens a direction and keeps trying while it is cut.
func (w *world) connect(n *node, to netip.AddrPort) {
	if !n.up {
		return
	}
	key := pair{n.address, to}
	other := w.node(to)
	ch := w.channels[key]
	if ch == nil {
		return
	}
	if other == nil || w.cuts[key] {
		refused := other == nil && !w.cuts[key]
		w.after(5*time.Millisecond, func() {
			w.call(n, func() { n.PeerDown(w.now, to, refused) })
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
		w.call(n, func() { n.PeerUp(w.now, to, other.boot, fresh) })
	})
	for _, m := range pending {
		w.send(n, to, m)
	}
}

// send passes a message on in the order of the session.
func (w *world) send(n *node, to netip.AddrPort, m wire.Message) {
	ch := w.channels[pair{n.address, to}]
	if ch == nil {
		return
	}
	if !ch.open {
		ch.pending = append(ch.pending, m)
		return
	}
	other := w.node(to)
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
		w.call(other, func() { other.Receive(w.now, n.address, boot, []wire.Message{m}) })
	})
}

// cut cuts or heals both directions between hosts.
func (w *world) cut(a, b *node, is bool) {
	for _, key := range []pair{{a.address, b.address}, {b.address, a.address}} {
		w.cuts[key] = is
		if ch := w.channels[key]; ch != nil && is {
			ch.open = false
		}
		if is {
			n := w.node(key.from)
			w.after(time.Second, func() { w.connect(n, key.to) })
		}
	}
}

// kill ends a host. What it ran is cancelled.
func (w *world) kill(n *node) {
	n.up = false
	for name, r := range w.running {
		if r.node == n {
			w.onTarget[r.target]--
			delete(w.running, name)
		}
	}
	for _, other := range w.nodes {
		if other.up && w.channels[pair{other.address, n.address}] != nil {
			w.channels[pair{other.address, n.address}].open = false
			w.after(2*time.Millisecond, func() { w.connect(other, n.address) })
		}
	}
}

// submit enters a caller's request.
func (w *world) submit(n *node, team, service uint32, class uint8, cost uint64) *request {
	r := &request{team: team, cost: cost, sent: w.now}
	id := n.Submit(w.now, intake.Request{Service: service, Team: team, Class: class})
	w.requests[w.name(n, id)] = r
	w.carry(n)
	return r
}

func (w *world) begin(n *node, s intake.StartCommand) {
	w.after(500*time.Microsecond, func() {
		w.call(n, func() {
			if !n.Begin(w.now, s.ID, s.Grant) {
				return
			}
			name := w.name(n, s.ID)
			q := w.requests[name]
			if q.granted == 0 {
				q.first = w.now
			}
			q.granted++
			r := &running{target: s.Target, node: n, id: s.ID, began: w.now, team: q.team, cost: q.cost}
			w.running[name] = r
			w.onTarget[s.Target]++
			w.most[s.Target] = max(w.most[s.Target], w.onTarget[s.Target])
			w.after(time.Duration(float64(q.cost)/w.speed*float64(time.Second)), func() { w.end(name, r) })
		})
	})
}

// end completes a request that still runs.
func (w *world) end(name string, r *running) {
	if w.running[name] != r {
		return
	}
	if r.node.paused {
		w.after(10*time.Millisecond, func() { w.end(name, r) })
		return
	}
	delete(w.running, name)
	w.onTarget[r.target]--
	w.received[r.team] += r.cost
	q := w.requests[name]
	if q.done {
		w.fail("request %s answered twice", name)
	}
	q.done = true
	w.call(r.node, func() { r.node.Finish(w.now, r.id, wire.End{Fate: wire.FateDone, Cost: r.cost}) })
	if w.onDone != nil {
		w.onDone(r.node, q)
	}
}

// cancel preempts a request.
func (w *world) cancel(n *node, id uint64) {
	name := w.name(n, id)
	r := w.running[name]
	if r == nil {
		return
	}
	delete(w.running, name)
	w.onTarget[r.target]--
	part := uint64(w.now.Sub(r.began).Seconds() * w.speed)
	part = min(part, r.cost-1)
	w.received[r.team] += part
	w.requests[name].cost -= part
	w.call(n, func() { n.Retry(w.now, id, wire.End{Fate: wire.FatePreempted, Cost: part}) })
}

// open returns the requests of live hosts that are neither done nor refused.
func (w *world) open() []string {
	var list []string
	for _, n := range w.nodes {
		if !n.up {
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
