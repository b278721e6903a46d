package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

const (
	deskHosts  = 75
	deskSlots  = 6
	deskQueue  = 24 // requests that a target queues before it rejects more
	deskGoal   = 300 * time.Millisecond
	deskWork   = 60 * time.Millisecond // of half of the requests; the others take up to twice as long
	deskTravel = 2 * time.Millisecond  // between two hosts, or a host and a target
	deskLength = 20 * time.Second
)

// desk is a plain service with few targets, a fleet of hosts before it, and the requests that they send. It is stepped
// every millisecond. Each host decides alone, or one of them for all.
type desk struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	central bool
	boards  []*placement.Board // one that owns the queue if central, else those of all hosts
	targets []route.Target
	running map[string]int // at each target, queued ones included
	events  []deskEvent
	waiting map[uint64]*deskRequest // in the queues of boards
	next    uint64
	factors map[string]float64 // by which work takes longer at a target, 0 for 1
	repeats bool               // callers that are refused send again at once, three times

	asked, inGoal, rejected, refused int
}

// deskRequest is one request of a caller.
type deskRequest struct {
	board   *placement.Board
	ask     *placement.Request
	arrived time.Time
	choice  placement.Choice
	tries   int
}

// deskEvent calls a function at a time.
type deskEvent struct {
	at  time.Time
	run func()
}

// newDesk returns a desk with targets in the data centres place0 to place2, in turn.
func newDesk(t *testing.T, central bool, targets int) *desk {
	d := &desk{t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), central: central, running: map[string]int{}, waiting: map[uint64]*deskRequest{}}
	for n := range targets {
		d.targets = append(d.targets, route.Target{ID: fmt.Sprint("t", n), Service: "desk", Slots: deskSlots, Place: fmt.Sprint("place", n%3)})
	}
	table := route.NewTable(route.Table{
		Version: 1, Routes: []route.Route{{TargetLatency: deskGoal, Shares: []route.Share{{Service: "desk", Weight: 1}}}}, Services: []route.Service{{Name: "desk"}},
	})
	var hosts []placement.Host
	for n := range deskHosts {
		hosts = append(hosts, placement.Host{ID: uint64(n + 1), Place: fmt.Sprint("place", n%3)})
	}
	for n := range deskHosts {
		b := placement.NewBoard(hosts[n].Place)
		b.Configure(table)
		b.SetTargets(d.targets)
		if central {
			b.SetHosts(hosts[n], slices.Delete(slices.Clone(hosts), n, n+1))
			if referral, _ := b.NextOwner(d.now, &placement.Request{Service: "desk"}); referral.Host != hosts[n].ID {
				continue
			}
		}
		d.boards = append(d.boards, b)
	}
	return d
}

// setTargets replaces the targets by the first ones.
func (d *desk) setTargets(count int) {
	for _, b := range d.boards {
		b.SetTargets(d.targets[:count])
	}
}

// after calls a function after a time.
func (d *desk) after(wait time.Duration, run func()) {
	e := deskEvent{at: d.now.Add(wait), run: run}
	at, _ := slices.BinarySearchFunc(d.events, e, func(x, y deskEvent) int { return cmp.Or(x.at.Compare(y.at), -1) })
	d.events = slices.Insert(d.events, at, e)
}

// play sends requests at a rate, which is relative to the capacity of all targets.
func (d *desk) play(load float64, change func(since time.Duration)) {
	began := d.now
	perSecond := load * float64(len(d.targets)*deskSlots) / (1.25 * deskWork.Seconds())
	for since := time.Duration(0); since < deskLength; since += time.Millisecond {
		d.now = began.Add(since)
		change(since)
		for len(d.events) > 0 && !d.events[0].at.After(d.now) {
			run := d.events[0].run
			d.events = d.events[1:]
			run()
		}
		if d.random.Float64() < perSecond/1000 {
			d.asked++
			d.arrive(&deskRequest{board: d.boards[d.random.IntN(len(d.boards))], arrived: d.now})
		}
		if since%(10*time.Millisecond) == 0 {
			d.tick(since)
		}
	}
}

// tick does what hosts do with time: they serve their queues, and hear of each other.
func (d *desk) tick(since time.Duration) {
	for i, b := range d.boards {
		b.Tick(d.now)
		d.grant(append(b.ServeQueue(d.now, "desk"), b.ExpireQueued(d.now)...))
		if !d.central && (since+time.Duration(i)*4*time.Millisecond)%(300*time.Millisecond) < 10*time.Millisecond {
			for j, other := range d.boards {
				if i != j {
					other.ApplyPeerState(d.now, uint64(i+1), b.State(d.now))
				}
			}
		}
	}
}

// arrive decides about a request, after the way to the host that decides.
func (d *desk) arrive(q *deskRequest) {
	travel := time.Duration(0)
	if d.central {
		travel = deskTravel
	}
	d.after(travel, func() {
		q.ask = &placement.Request{Service: "desk", LatencyGoal: deskGoal, AnswerTimeLimit: 3 * time.Second, Seed: d.random.Uint64(), Elapsed: d.now.Sub(q.arrived)}
		q.choice = q.board.Choose(d.now, q.ask)
		switch {
		case q.choice.Target != "":
			d.send(q)
		case d.wait(q):
		default:
			d.refuse(q)
		}
	})
}

// wait queues a request. It returns false if it is refused.
func (d *desk) wait(q *deskRequest) bool {
	d.next++
	if !q.board.Wait(d.now, d.next, q.ask) {
		return false
	}
	d.waiting[d.next] = q
	return true
}

// grant sends or refuses the requests that waited.
func (d *desk) grant(grants []placement.Grant) {
	for _, g := range grants {
		q := d.waiting[g.ID]
		delete(d.waiting, g.ID)
		if q.choice = g.Choice; g.Choice.Target == "" {
			d.refuse(q)
			continue
		}
		d.after(deskTravel, func() { d.run(q) })
	}
}

// send sends a request to its target.
func (d *desk) send(q *deskRequest) {
	q.board.RecordSent(d.now, q.ask, &q.choice)
	d.after(deskTravel, func() { d.run(q) })
}

// run runs a request at its target, which rejects it if its queue is full.
func (d *desk) run(q *deskRequest) {
	id, sent := q.choice.Target, d.now
	if d.running[id] >= deskSlots+deskQueue {
		d.rejected++
		q.board.RecordEnd(d.now, q.ask, id, q.choice.Load, placement.Rejected, 0)
		return
	}
	ahead := max(0, d.running[id]-deskSlots+1)
	d.running[id]++
	work := deskWork + time.Duration(d.random.Float64()*float64(deskWork)/2)
	if factor := d.factors[id]; factor > 0 {
		work = time.Duration(float64(work) * factor)
	}
	d.after(work+time.Duration(ahead)*work/deskSlots, func() {
		d.running[id]--
		if d.now.Sub(q.arrived) <= deskGoal {
			d.inGoal++
		}
		d.after(deskTravel, func() {
			q.board.RecordEnd(d.now, q.ask, id, q.choice.Load, placement.Done, d.now.Sub(sent))
			d.grant(q.board.ServeQueue(d.now, "desk"))
		})
	})
}

// refuse refuses a request. Its caller comes back as it is told, or at once.
func (d *desk) refuse(q *deskRequest) {
	d.refused++
	q.tries++
	switch {
	case d.repeats && q.tries <= 3:
		d.after(10*time.Millisecond, func() { d.arrive(q) })
	case q.tries == 1 && q.choice.RetryAfter < time.Second:
		d.after(q.choice.RetryAfter, func() { d.arrive(q) })
	}
}

// TestOneQueueServesWhatHostsThatChooseAloneTurnAway guards against callers of a plain service who are turned away or
// late beside free slots. The load patterns are: two thirds of the capacity, all of it, a third of the targets lost,
// callers that repeat at once, and targets that come back.
func TestOneQueueServesWhatHostsThatChooseAloneTurnAway(t *testing.T) {
	patterns := []struct {
		name    string
		targets int
		load    float64
		repeats bool
		change  func(d *desk, since time.Duration)
		least   float64 // of the requests that are served in their goal by one queue
	}{
		{"two thirds", 4, 0.67, false, func(*desk, time.Duration) {}, 0.99},
		{"full", 4, 0.95, false, func(*desk, time.Duration) {}, 0.9},
		{"place lost", 6, 0.6, false, func(d *desk, since time.Duration) {
			if since == deskLength/4 {
				d.setTargets(4)
			}
		}, 0.9},
		{"repeats", 4, 1.2, true, func(*desk, time.Duration) {}, 0.7},
		{"targets back", 4, 0.9, false, func(d *desk, since time.Duration) {
			switch since {
			case deskLength / 4:
				d.setTargets(2)
			case deskLength / 2:
				d.setTargets(4)
			}
		}, 0.75},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			share := map[bool]float64{}
			for _, central := range []bool{false, true} {
				d := newDesk(t, central, p.targets)
				d.repeats = p.repeats
				d.play(p.load, func(since time.Duration) { p.change(d, since) })
				share[central] = float64(d.inGoal) / float64(d.asked)
				t.Logf("central %v: in goal %.3f, rejected %d, refused %d of %d", central, share[central], d.rejected, d.refused, d.asked)
			}
			require.GreaterOrEqual(t, share[true], p.least)
			require.GreaterOrEqual(t, share[true], share[false]-0.01)
		})
	}
}

// referralOf returns the host that a board refers a request of the desk to, 0 if it decides alone.
func referralOf(b *placement.Board) uint64 {
	if !b.HasOwners("desk") {
		return 0
	}
	referral, _ := b.NextOwner(time.Unix(1000, 0), &placement.Request{Service: "desk"})
	return referral.Host
}

// TestQueueHasOneOwner guards against hosts that disagree about the owner of a queue, against a queue that has none once
// its owner is gone, and against queues where they do not pay: in small fleets, and where a caller can't wait for an
// owner that is silent.
func TestQueueHasOneOwner(t *testing.T) {
	hosts := make([]placement.Host, deskHosts)
	for n := range hosts {
		hosts[n] = placement.Host{ID: uint64(n + 1), Place: fmt.Sprint("place", n%3)}
	}
	newBoard := func(goal time.Duration, self int, known []placement.Host) *placement.Board {
		b := placement.NewBoard(hosts[self].Place)
		b.Configure(route.NewTable(route.Table{
			Routes: []route.Route{{TargetLatency: goal, Shares: []route.Share{{Service: "desk", Weight: 1}}}}, Services: []route.Service{{Name: "desk"}},
		}))
		others := slices.DeleteFunc(slices.Clone(known), func(h placement.Host) bool { return h.ID == hosts[self].ID })
		b.SetHosts(hosts[self], others)
		return b
	}
	owner := referralOf(newBoard(deskGoal, 0, hosts))
	require.NotZero(t, owner)
	for n := range hosts {
		require.Equal(t, owner, referralOf(newBoard(deskGoal, n, hosts)), "all hosts agree")
	}
	left := slices.DeleteFunc(slices.Clone(hosts), func(h placement.Host) bool { return h.ID == owner })
	next := referralOf(newBoard(deskGoal, int(left[0].ID-1), left))
	require.NotZero(t, next)
	require.NotEqual(t, owner, next)
	cut := slices.DeleteFunc(slices.Clone(hosts), func(h placement.Host) bool { return h.Place != "place1" })
	require.NotZero(t, referralOf(newBoard(deskGoal, 1, cut)), "a third of the hosts that is cut off has its own")
	require.Zero(t, referralOf(newBoard(deskGoal, 0, hosts[:7])), "a small fleet has none")
	require.Zero(t, referralOf(newBoard(150*time.Millisecond, 0, hosts)), "a tight goal leaves no time to ask")
}

// TestQueueServesHigherRankFirst guards against requests of a lower rank that take the slots of those above them, and
// against orders that wait behind lookups which are due later.
func TestQueueServesHigherRankFirst(t *testing.T) {
	d := newDesk(t, true, 1)
	b := d.boards[0]
	for range deskSlots + 1 {
		choice := b.Choose(d.now, &placement.Request{Service: "desk", LatencyGoal: deskGoal})
		b.RecordSent(d.now, &placement.Request{Service: "desk"}, &choice)
	}
	for id, a := range []*placement.Request{
		{Priority: 2, LatencyGoal: deskGoal},
		{Priority: 1, LatencyGoal: 2 * deskGoal},
		{Priority: 1, LatencyGoal: deskGoal},
	} {
		a.Service = "desk"
		require.True(t, b.Wait(d.now, uint64(id), a))
	}
	var order []uint64
	for range 3 {
		b.RecordEnd(d.now, &placement.Request{Service: "desk"}, "t0", placement.Load{Running: 1}, placement.Done, deskWork)
		for _, g := range b.ServeQueue(d.now, "desk") {
			order = append(order, g.ID)
		}
	}
	require.Equal(t, []uint64{2, 1, 0}, order)
}

// fullDesk returns the owner of a queue whose single target has no slot left. It has learned how long the work takes.
func fullDesk(t *testing.T) (*desk, *placement.Board) {
	d := newDesk(t, true, 1)
	b := d.boards[0]
	for range 100 {
		b.RecordEnd(d.now, &placement.Request{Service: "desk"}, "t0", placement.Load{}, placement.Done, deskWork)
	}
	for range deskSlots + 1 {
		choice := b.Choose(d.now, &placement.Request{Service: "desk", LatencyGoal: deskGoal})
		b.RecordSent(d.now, &placement.Request{Service: "desk"}, &choice)
	}
	return d, b
}

// TestRequestsThatWaitDoNotDelayReturnOfOthers guards against a Retry-After that grows with each look at the requests
// that wait. Only callers that are refused come back, and each of them is counted once.
func TestRequestsThatWaitDoNotDelayReturnOfOthers(t *testing.T) {
	d, b := fullDesk(t)
	ask := func() *placement.Request { return &placement.Request{Service: "desk", LatencyGoal: deskGoal} }
	b.Choose(d.now, ask())
	require.True(t, b.Wait(d.now, 1, ask()))
	before := b.Choose(d.now, ask()).RetryAfter
	for range 200 {
		require.Empty(t, b.ServeQueue(d.now, "desk"))
	}
	require.Equal(t, before, b.Choose(d.now, ask()).RetryAfter)
	late := ask()
	late.Elapsed = deskGoal
	require.False(t, b.Wait(d.now, 2, late))
	require.Greater(t, b.Choose(d.now, ask()).RetryAfter, before, "one that was refused comes back before")
}

// TestRequestOfHigherRankWaitsBeforeFullQueue guards against a request that is refused for the length of a queue which it
// would not wait for, since all requests there have a lower rank.
func TestRequestOfHigherRankWaitsBeforeFullQueue(t *testing.T) {
	d, b := fullDesk(t)
	id := uint64(1)
	for b.Wait(d.now, id, &placement.Request{Service: "desk", LatencyGoal: deskGoal, Priority: 1}) {
		id++
	}
	require.Greater(t, id, uint64(2))
	require.True(t, b.Wait(d.now, id, &placement.Request{Service: "desk", LatencyGoal: deskGoal}))
	require.False(t, b.Wait(d.now, id+1, &placement.Request{Service: "desk", LatencyGoal: deskGoal, Priority: 1}))
}

// TestQueueIsShortWhileTargetsAreCold guards against requests that are held back for slots of cold targets, which can
// take only a few requests per second, and refused late.
func TestQueueIsShortWhileTargetsAreCold(t *testing.T) {
	const rate = 10.0 // requests per second of the only target
	d, b := fullDesk(t)
	b.Configure(route.NewTable(route.Table{
		Version: 2, Routes: []route.Route{{TargetLatency: deskGoal, Shares: []route.Share{{Service: "desk", Weight: 1}}}},
		Services: []route.Service{{Name: "desk", ColdStart: 3 * time.Second, ColdRate: rate}},
	}))
	d.targets[0].ColdUntil = d.now.Add(3 * time.Second)
	b.SetTargets(d.targets)
	waiting := 0
	for b.Wait(d.now, uint64(waiting+1), &placement.Request{Service: "desk", LatencyGoal: deskGoal}) {
		waiting++
	}
	require.LessOrEqual(t, waiting, 1+int(rate*deskGoal.Seconds()))
}
