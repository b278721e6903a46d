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
	plainHosts  = 75
	plainSlots  = 6
	plainQueue  = 24 // requests that a target queues before it rejects more
	plainGoal   = 300 * time.Millisecond
	plainWork   = 60 * time.Millisecond // shortest; requests take up to half as long again
	plainDelay  = 2 * time.Millisecond  // between two hosts, or a host and a target
	plainLength = 20 * time.Second
)

// plainFleet simulates hosts that share the few targets of a plain service. Time advances by a millisecond in each step.
// Each host decides alone, or one of them owns the queue of the service.
type plainFleet struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	central bool
	boards  []*placement.Board // one that owns the queue if central, else those of all hosts
	targets []route.Target
	running map[string]int // at each target, queued ones included
	events  []scheduledCall
	waiting map[uint64]*plainRequest // in the queues of boards
	next    uint64
	factors map[string]float64 // by which work takes longer at a target, 0 for 1
	repeats bool               // callers that are refused send again at once, three times

	asked, inGoal, rejected, refused int
}

// plainRequest is one request of a caller.
type plainRequest struct {
	board   *placement.Board
	ask     *placement.Request
	arrived time.Time
	choice  placement.Choice
	tries   int
}

// scheduledCall is a function to be called at a time.
type scheduledCall struct {
	at  time.Time
	run func()
}

// newPlainFleet returns a fleet with targets in the data centres place0 to place2, in turn.
func newPlainFleet(t *testing.T, central bool, targets int) *plainFleet {
	f := &plainFleet{t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), central: central, running: map[string]int{}, waiting: map[uint64]*plainRequest{}}
	for n := range targets {
		f.targets = append(f.targets, route.Target{ID: fmt.Sprint("t", n), Service: "desk", Slots: plainSlots, Place: fmt.Sprint("place", n%3)})
	}
	table := route.NewTable(route.Table{
		Version: 1, Routes: []route.Route{{TargetLatency: plainGoal, Shares: []route.Share{{Service: "desk", Weight: 1}}}}, Services: []route.Service{{Name: "desk"}},
	})
	var hosts []placement.Host
	for n := range plainHosts {
		hosts = append(hosts, placement.Host{ID: uint64(n + 1), Place: fmt.Sprint("place", n%3)})
	}
	for n := range plainHosts {
		b := placement.NewBoard(hosts[n].Place)
		b.Configure(table)
		b.SetTargets(f.targets)
		if central {
			b.SetHosts(hosts[n], slices.Delete(slices.Clone(hosts), n, n+1))
			if referral, _ := b.NextOwner(f.now, &placement.Request{Service: "desk"}); referral.Host != hosts[n].ID {
				continue
			}
		}
		f.boards = append(f.boards, b)
	}
	return f
}

// setTargets keeps the given number of targets and removes the others.
func (f *plainFleet) setTargets(count int) {
	for _, b := range f.boards {
		b.SetTargets(f.targets[:count])
	}
}

// after schedules a call.
func (f *plainFleet) after(wait time.Duration, run func()) {
	e := scheduledCall{at: f.now.Add(wait), run: run}
	at, _ := slices.BinarySearchFunc(f.events, e, func(x, y scheduledCall) int { return cmp.Or(x.at.Compare(y.at), -1) })
	f.events = slices.Insert(f.events, at, e)
}

// play sends requests at a rate, which is relative to the capacity of all targets.
func (f *plainFleet) play(load float64, change func(since time.Duration)) {
	began := f.now
	perSecond := load * float64(len(f.targets)*plainSlots) / (1.25 * plainWork.Seconds())
	for since := time.Duration(0); since < plainLength; since += time.Millisecond {
		f.now = began.Add(since)
		change(since)
		for len(f.events) > 0 && !f.events[0].at.After(f.now) {
			run := f.events[0].run
			f.events = f.events[1:]
			run()
		}
		if f.random.Float64() < perSecond/1000 {
			f.asked++
			f.arrive(&plainRequest{board: f.boards[f.random.IntN(len(f.boards))], arrived: f.now})
		}
		if since%(10*time.Millisecond) == 0 {
			f.tick(since)
		}
	}
}

// tick serves the queues and, if hosts decide alone, exchanges their states at the interval of 75 hosts.
func (f *plainFleet) tick(since time.Duration) {
	for i, b := range f.boards {
		b.Tick(f.now)
		f.grant(append(b.ServeQueue(f.now, "desk"), b.ExpireQueued(f.now)...))
		if !f.central && (since+time.Duration(i)*4*time.Millisecond)%(300*time.Millisecond) < 10*time.Millisecond {
			for j, other := range f.boards {
				if i != j {
					other.ApplyPeerState(f.now, uint64(i+1), b.State(f.now))
				}
			}
		}
	}
}

// arrive decides about a request, after the network delay to the owner if there is one.
func (f *plainFleet) arrive(q *plainRequest) {
	delay := time.Duration(0)
	if f.central {
		delay = plainDelay
	}
	f.after(delay, func() {
		q.ask = &placement.Request{Service: "desk", LatencyGoal: plainGoal, AnswerTimeLimit: 3 * time.Second, Seed: f.random.Uint64(), Elapsed: f.now.Sub(q.arrived)}
		q.choice = q.board.Choose(f.now, q.ask)
		switch {
		case q.choice.Target != "":
			f.send(q)
		case f.wait(q):
		default:
			f.refuse(q)
		}
	})
}

// wait queues a request. It returns false if it is refused.
func (f *plainFleet) wait(q *plainRequest) bool {
	f.next++
	if !q.board.Wait(f.now, f.next, q.ask) {
		return false
	}
	f.waiting[f.next] = q
	return true
}

// grant sends or refuses the queued requests that a board has decided about.
func (f *plainFleet) grant(grants []placement.Grant) {
	for _, g := range grants {
		q := f.waiting[g.ID]
		delete(f.waiting, g.ID)
		if q.choice = g.Choice; g.Choice.Target == "" {
			f.refuse(q)
			continue
		}
		f.after(plainDelay, func() { f.run(q) })
	}
}

// send sends a request to its target.
func (f *plainFleet) send(q *plainRequest) {
	q.board.RecordSent(f.now, q.ask, &q.choice)
	f.after(plainDelay, func() { f.run(q) })
}

// run runs a request at its target, which rejects it if its queue is full.
func (f *plainFleet) run(q *plainRequest) {
	id, sent := q.choice.Target, f.now
	if f.running[id] >= plainSlots+plainQueue {
		f.rejected++
		q.board.RecordEnd(f.now, q.ask, id, q.choice.Load, placement.Rejected, 0)
		return
	}
	ahead := max(0, f.running[id]-plainSlots+1)
	f.running[id]++
	work := plainWork + time.Duration(f.random.Float64()*float64(plainWork)/2)
	if factor := f.factors[id]; factor > 0 {
		work = time.Duration(float64(work) * factor)
	}
	f.after(work+time.Duration(ahead)*work/plainSlots, func() {
		f.running[id]--
		if f.now.Sub(q.arrived) <= plainGoal {
			f.inGoal++
		}
		f.after(plainDelay, func() {
			q.board.RecordEnd(f.now, q.ask, id, q.choice.Load, placement.Done, f.now.Sub(sent))
			f.grant(q.board.ServeQueue(f.now, "desk"))
		})
	})
}

// refuse refuses a request. Its caller sends it again once after Retry-After, or up to three times at once.
func (f *plainFleet) refuse(q *plainRequest) {
	f.refused++
	q.tries++
	switch {
	case f.repeats && q.tries <= 3:
		f.after(10*time.Millisecond, func() { f.arrive(q) })
	case q.tries == 1 && q.choice.RetryAfter < time.Second:
		f.after(q.choice.RetryAfter, func() { f.arrive(q) })
	}
}

// TestOneQueueServesWhatHostsThatChooseAloneTurnAway guards against callers of a plain service who are turned away or
// late beside free slots. The load patterns are: two thirds of the capacity, .95 of it, a third of the targets lost,
// callers that repeat at once, and targets that come back.
func TestOneQueueServesWhatHostsThatChooseAloneTurnAway(t *testing.T) {
	patterns := []struct {
		name    string
		targets int
		load    float64
		repeats bool
		change  func(f *plainFleet, since time.Duration)
		least   float64 // of the requests that are served in their goal by one queue
	}{
		{"two thirds", 4, 0.67, false, func(*plainFleet, time.Duration) {}, 0.99},
		{"full", 4, 0.95, false, func(*plainFleet, time.Duration) {}, 0.9},
		{"place lost", 6, 0.6, false, func(f *plainFleet, since time.Duration) {
			if since == plainLength/4 {
				f.setTargets(4)
			}
		}, 0.9},
		{"repeats", 4, 1.2, true, func(*plainFleet, time.Duration) {}, 0.7},
		{"targets back", 4, 0.9, false, func(f *plainFleet, since time.Duration) {
			switch since {
			case plainLength / 4:
				f.setTargets(2)
			case plainLength / 2:
				f.setTargets(4)
			}
		}, 0.75},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			share := map[bool]float64{}
			for _, central := range []bool{false, true} {
				f := newPlainFleet(t, central, p.targets)
				f.repeats = p.repeats
				f.play(p.load, func(since time.Duration) { p.change(f, since) })
				share[central] = float64(f.inGoal) / float64(f.asked)
				t.Logf("central %v: in goal %.3f, rejected %d, refused %d of %d", central, share[central], f.rejected, f.refused, f.asked)
			}
			require.GreaterOrEqual(t, share[true], p.least)
			require.GreaterOrEqual(t, share[true], share[false]-0.01)
		})
	}
}

// referralOf returns the host that a board refers a request of the plain service to, 0 if it decides alone.
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
	hosts := make([]placement.Host, plainHosts)
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
	owner := referralOf(newBoard(plainGoal, 0, hosts))
	require.NotZero(t, owner)
	for n := range hosts {
		require.Equal(t, owner, referralOf(newBoard(plainGoal, n, hosts)), "all hosts agree")
	}
	left := slices.DeleteFunc(slices.Clone(hosts), func(h placement.Host) bool { return h.ID == owner })
	next := referralOf(newBoard(plainGoal, int(left[0].ID-1), left))
	require.NotZero(t, next)
	require.NotEqual(t, owner, next)
	cut := slices.DeleteFunc(slices.Clone(hosts), func(h placement.Host) bool { return h.Place != "place1" })
	require.NotZero(t, referralOf(newBoard(plainGoal, 1, cut)), "a third of the hosts that is cut off has its own")
	require.Zero(t, referralOf(newBoard(plainGoal, 0, hosts[:7])), "a small fleet has none")
	require.Zero(t, referralOf(newBoard(150*time.Millisecond, 0, hosts)), "a tight goal leaves no time to ask")
}

// TestQueueServesHigherRankFirst guards against requests of a lower rank that take the slots of those above them, and
// against orders that wait behind lookups which are due later.
func TestQueueServesHigherRankFirst(t *testing.T) {
	f := newPlainFleet(t, true, 1)
	b := f.boards[0]
	for range plainSlots + 1 {
		choice := b.Choose(f.now, &placement.Request{Service: "desk", LatencyGoal: plainGoal})
		b.RecordSent(f.now, &placement.Request{Service: "desk"}, &choice)
	}
	for id, a := range []*placement.Request{
		{Priority: 2, LatencyGoal: plainGoal},
		{Priority: 1, LatencyGoal: 2 * plainGoal},
		{Priority: 1, LatencyGoal: plainGoal},
	} {
		a.Service = "desk"
		require.True(t, b.Wait(f.now, uint64(id), a))
	}
	var order []uint64
	for range 3 {
		b.RecordEnd(f.now, &placement.Request{Service: "desk"}, "t0", placement.Load{Running: 1}, placement.Done, plainWork)
		for _, g := range b.ServeQueue(f.now, "desk") {
			order = append(order, g.ID)
		}
	}
	require.Equal(t, []uint64{2, 1, 0}, order)
}

// newFullPlainFleet returns a fleet whose only target has no free slot, and the owner of the queue, which has learned the time
// of the work.
func newFullPlainFleet(t *testing.T) (*plainFleet, *placement.Board) {
	f := newPlainFleet(t, true, 1)
	b := f.boards[0]
	for range 100 {
		b.RecordEnd(f.now, &placement.Request{Service: "desk"}, "t0", placement.Load{}, placement.Done, plainWork)
	}
	for range plainSlots + 1 {
		choice := b.Choose(f.now, &placement.Request{Service: "desk", LatencyGoal: plainGoal})
		b.RecordSent(f.now, &placement.Request{Service: "desk"}, &choice)
	}
	return f, b
}

// TestRequestsThatWaitDoNotDelayReturnOfOthers guards against a Retry-After that grows with each look at the requests
// that wait. Only callers that are refused come back, and each of them is counted once.
func TestRequestsThatWaitDoNotDelayReturnOfOthers(t *testing.T) {
	f, b := newFullPlainFleet(t)
	ask := func() *placement.Request { return &placement.Request{Service: "desk", LatencyGoal: plainGoal} }
	b.Choose(f.now, ask())
	require.True(t, b.Wait(f.now, 1, ask()))
	before := b.Choose(f.now, ask()).RetryAfter
	for range 200 {
		require.Empty(t, b.ServeQueue(f.now, "desk"))
	}
	require.Equal(t, before, b.Choose(f.now, ask()).RetryAfter)
	late := ask()
	late.Elapsed = plainGoal
	require.False(t, b.Wait(f.now, 2, late))
	require.Greater(t, b.Choose(f.now, ask()).RetryAfter, before, "one that was refused comes back before")
}

// TestRequestOfHigherRankWaitsBeforeFullQueue guards against a request that is refused for the length of a queue which it
// would not wait for, since all requests there have a lower rank.
func TestRequestOfHigherRankWaitsBeforeFullQueue(t *testing.T) {
	f, b := newFullPlainFleet(t)
	id := uint64(1)
	for b.Wait(f.now, id, &placement.Request{Service: "desk", LatencyGoal: plainGoal, Priority: 1}) {
		id++
	}
	require.Greater(t, id, uint64(2))
	require.True(t, b.Wait(f.now, id, &placement.Request{Service: "desk", LatencyGoal: plainGoal}))
	require.False(t, b.Wait(f.now, id+1, &placement.Request{Service: "desk", LatencyGoal: plainGoal, Priority: 1}))
}

// TestQueueIsShortWhileTargetsAreCold guards against requests that are held back for slots of cold targets, which can
// take only a few requests per second, and refused late.
func TestQueueIsShortWhileTargetsAreCold(t *testing.T) {
	const rate = 10.0 // requests per second of the only target
	f, b := newFullPlainFleet(t)
	b.Configure(route.NewTable(route.Table{
		Version: 2, Routes: []route.Route{{TargetLatency: plainGoal, Shares: []route.Share{{Service: "desk", Weight: 1}}}},
		Services: []route.Service{{Name: "desk", ColdStart: 3 * time.Second, ColdRate: rate}},
	}))
	f.targets[0].ColdUntil = f.now.Add(3 * time.Second)
	b.SetTargets(f.targets)
	waiting := 0
	for b.Wait(f.now, uint64(waiting+1), &placement.Request{Service: "desk", LatencyGoal: plainGoal}) {
		waiting++
	}
	require.LessOrEqual(t, waiting, 1+int(rate*plainGoal.Seconds()))
}
