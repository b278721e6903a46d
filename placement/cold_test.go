package placement_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

const (
	testColdStart = 3 * time.Second
	testColdRate  = 10
)

// coldFleet is the board of a host that owns all engines of a service with cold starts.
type coldFleet struct {
	board   *placement.Board
	targets []route.Target
	now     time.Time
}

// newColdFleet returns a fleet of warm engines whose first second of ownership is over.
func newColdFleet(ids ...string) *coldFleet {
	f := &coldFleet{board: placement.NewBoard("place1"), now: time.Unix(1000, 0)}
	f.board.SetHeartbeat(1200 * time.Millisecond)
	f.board.Configure(route.NewTable(route.Table{
		Version:  1,
		Routes:   []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 24, TokenCapacity: 400_000}, ColdStart: testColdStart, ColdRate: testColdRate}},
	}))
	for _, id := range ids {
		f.targets = append(f.targets, route.Target{ID: id, Service: "model", Slots: 24, Place: "place1", StartedAt: time.Unix(500, 0)})
	}
	f.board.SetTargets(f.targets)
	f.send(50 * time.Millisecond)
	f.idle(2 * time.Second)
	return f
}

// idle lets time pass at a host that runs without requests.
func (f *coldFleet) idle(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		f.board.Tick(f.now)
	}
}

// restart makes a target start again under its identity, as its entry tells now.
func (f *coldFleet) restart(i int) {
	f.targets[i].StartedAt = f.now
	f.targets[i].ColdUntil = f.now.Add(testColdStart)
	f.board.SetTargets(f.targets)
}

// send sends a request every 5 ms that ends after 30 ms, for a time, and returns when each target got one.
func (f *coldFleet) send(length time.Duration) map[string][]time.Time {
	sent := map[string][]time.Time{}
	type running struct {
		request *placement.Request
		choice  placement.Choice
		since   time.Time
	}
	var open []running
	end := f.now.Add(length)
	for ; f.now.Before(end); f.now = f.now.Add(5 * time.Millisecond) {
		f.board.Tick(f.now)
		for len(open) > 0 && f.now.Sub(open[0].since) >= 30*time.Millisecond {
			left := f.board.RecordFirstEvent(f.now, open[0].request, open[0].choice, f.now.Sub(open[0].since))
			f.board.RecordEnd(f.now, open[0].request, open[0].choice.Target, left, placement.Done, f.now.Sub(open[0].since))
			open = open[1:]
		}
		request := smallRequest("model")
		choice := f.board.Choose(f.now, request)
		if choice.Target == "" {
			continue
		}
		f.board.RecordSent(f.now, request, &choice)
		sent[choice.Target] = append(sent[choice.Target], f.now)
		open = append(open, running{request: request, choice: choice, since: f.now})
	}
	return sent
}

// mostPerSecond returns the most of the times that lie in one second.
func mostPerSecond(times []time.Time) int {
	most := 0
	for i, t := range times {
		most = max(most, i+1-slices.IndexFunc(times, func(u time.Time) bool { return t.Sub(u) < time.Second }))
	}
	return most
}

// TestColdTargetsGetTheirRateAndWarmOnesTheRest guards against floods that crash targets which have just started, one
// or all of them, and against requests that are refused beside warm targets with room.
func TestColdTargetsGetTheirRateAndWarmOnesTheRest(t *testing.T) {
	for name, restarted := range map[string][]int{"one": {1}, "half": {0, 1}, "all": {0, 1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			f := newColdFleet("a", "b", "c", "d")
			for _, i := range restarted {
				f.restart(i)
			}
			sent := f.send(testColdStart)
			total := 0
			for id, times := range sent {
				total += len(times)
				if slices.ContainsFunc(restarted, func(i int) bool { return f.targets[i].ID == id }) {
					require.LessOrEqual(t, mostPerSecond(times), testColdRate, id)
				}
			}
			if len(restarted) < len(f.targets) {
				require.Equal(t, int(testColdStart/(5*time.Millisecond)), total)
			}
		})
	}
}

// TestUnreachableTargetCountsAsCold guards against a target that starts again under its identity and gets all its
// requests before its entry says so. A peer that tells of it is believed, and an answer to an earlier request clears it.
func TestUnreachableTargetCountsAsCold(t *testing.T) {
	f := newColdFleet("a", "b")
	request := smallRequest("model")
	f.board.RecordEnd(f.now, request, "a", placement.Load{}, placement.Unreachable, 0)
	require.True(t, f.board.MayBeCold(f.now, "a"))
	require.LessOrEqual(t, mostPerSecond(f.send(5 * time.Second)["a"]), testColdRate)
	changes := f.board.TakeColdChanges()
	require.Len(t, changes, 1)
	require.Equal(t, "a", changes[0].Target)

	f.board.ApplyPeerState(f.now, 7, placement.PeerState{Suspicions: []placement.Suspicion{{Target: "b", Since: f.now, Until: f.now.Add(time.Minute)}}})
	require.True(t, f.board.MayBeCold(f.now, "b"))
	f.idle(time.Second)
	f.board.RecordFirstEvent(f.now, request, placement.Choice{Target: "b"}, 2*time.Second)
	require.False(t, f.board.MayBeCold(f.now, "b"))
}

// TestTargetsOfPlaceTakenBackCountAsCold guards against a data centre whose targets became cold while it was evacuated.
func TestTargetsOfPlaceTakenBackCountAsCold(t *testing.T) {
	f := newColdFleet("a")
	f.board.SetEvacuated(f.now, []string{"place1"})
	f.board.SetEvacuated(f.now, nil)
	require.True(t, f.board.MayBeCold(f.now, "a"))
	f.idle(time.Second)
	f.board.RecordFirstEvent(f.now, smallRequest("model"), placement.Choice{Target: "a"}, 2*time.Second)
	require.True(t, f.board.MayBeCold(f.now, "a"), "a stream that ran through the evacuation proves nothing")
	f.idle(testColdStart - time.Second)
	require.False(t, f.board.MayBeCold(f.now, "a"))
}

// TestColdTargetOfAnotherOwnerIsNotChosen guards against hosts that decide alone, since its owner is silent, and send
// to a cold target beside that owner.
func TestColdTargetOfAnotherOwnerIsNotChosen(t *testing.T) {
	f := newColdFleet("a")
	f.board.Resign(placement.Host{ID: 1, Place: "place1"}, []placement.Host{{ID: 2, Place: "place1"}})
	require.NotEmpty(t, f.send(100*time.Millisecond))
	f.restart(0)
	require.Empty(t, f.send(testColdStart))
	require.NotEmpty(t, f.send(time.Second))
}

// TestSuspicionThatIsTakenBackAndForthEnds guards against two hosts that keep a suspicion alive by telling each other of
// it, each time a little later than the other one knew it.
func TestSuspicionThatIsTakenBackAndForthEnds(t *testing.T) {
	const (
		period = 300 * time.Millisecond // between two host states
		delay  = 100 * time.Millisecond // of a datagram at a host that lacks processor time
	)
	first, second := newColdFleet("a"), newColdFleet("a")
	began := first.now
	first.board.RecordEnd(began, smallRequest("model"), "a", placement.Load{}, placement.Unreachable, 0)
	tell := func(now time.Time, from, to *placement.Board) {
		n := from.State(now)
		for i := range n.Suspicions {
			n.Suspicions[i].Since, n.Suspicions[i].Until = n.Suspicions[i].Since.Add(delay), n.Suspicions[i].Until.Add(delay)
		}
		to.ApplyPeerState(now.Add(delay), 7, n)
	}
	now := began
	for ; now.Before(began.Add(time.Minute)) && first.board.MayBeCold(now, "a"); now = now.Add(period) {
		tell(now, first.board, second.board)
		require.True(t, second.board.MayBeCold(now, "a"))
		tell(now, second.board, first.board)
	}
	require.Less(t, now.Sub(began), 3*1200*time.Millisecond+testColdStart+period)
}

// TestReturnOfPlaceIsToldToHostsThatStart guards against a host that starts after the evacuation of a data centre and
// does not know that its targets may be cold.
func TestReturnOfPlaceIsToldToHostsThatStart(t *testing.T) {
	f := newColdFleet("a")
	f.board.SetEvacuated(f.now, []string{"place1"})
	f.board.SetEvacuated(f.now, nil)
	later := f.now.Add(time.Second)
	suspicions := f.board.State(later).Suspicions
	require.Len(t, suspicions, 1)
	require.Equal(t, f.now, suspicions[0].Since)
	require.Equal(t, f.now.Add(testColdStart), suspicions[0].Until)

	f.board.Resign(placement.Host{ID: 1, Place: "place1"}, []placement.Host{{ID: 2, Place: "place1"}})
	require.Empty(t, f.board.State(later).Suspicions, "its owner tells it, and not every host of a large fleet")
}

// TestTargetThatIsColdAgainBeforeItWasWarmStaysCold guards against a host that hears the list of targets from others and
// takes a target for warm while the list calls it cold: the digest of a list does not tell a second cold period that
// follows the first one.
func TestTargetThatIsColdAgainBeforeItWasWarmStaysCold(t *testing.T) {
	f := newColdFleet("a")
	f.targets[0].Cold = testColdStart
	f.targets[0].ColdUntil = f.now.Add(testColdStart)
	f.board.SetTargets(f.targets)
	began := f.now
	for f.now.Before(began.Add(2 * testColdStart)) {
		f.board.KeepCold(f.now)
		require.LessOrEqual(t, mostPerSecond(f.send(250 * time.Millisecond)["a"]), testColdRate)
		require.True(t, f.board.MayBeCold(f.now, "a"))
	}
	f.targets[0].Cold, f.targets[0].ColdUntil = 0, time.Time{}
	f.board.SetTargets(f.targets)
	f.board.KeepCold(f.now)
	require.False(t, f.board.MayBeCold(f.now, "a"))
	require.False(t, f.board.MayBeCold(f.now.Add(500*time.Millisecond), "a"))
}

// TestHostThatWasSuspendedUsesNoTargetThatMayBeCold guards against a host that decides by what it knew before it was
// suspended: targets may have started again since. It decides before its first tick, too.
func TestHostThatWasSuspendedUsesNoTargetThatMayBeCold(t *testing.T) {
	for _, tick := range []bool{false, true} {
		f := newColdFleet("a")
		f.now = f.now.Add(5 * time.Second)
		if tick {
			f.board.Tick(f.now)
		}
		require.Empty(t, f.board.Choose(f.now, smallRequest("model")).Target)
		require.Empty(t, f.send(900*time.Millisecond))
		f.idle(100 * time.Millisecond)
		require.NotEmpty(t, f.send(100*time.Millisecond))
	}
}

// TestCountsOfDecisionsDoNotFall guards against counters that fall, and so look as if the host had started again, when a
// target leaves the list.
func TestCountsOfDecisionsDoNotFall(t *testing.T) {
	f := newColdFleet("a")
	f.restart(0)
	f.send(testColdStart / 2)
	before := f.board.ColdCounts(f.now)
	require.Positive(t, before.Granted)
	require.Positive(t, before.Refused)
	f.board.RecordEnd(f.now, smallRequest("model"), "a", placement.Load{Running: testColdRate}, placement.Done, time.Second)
	f.board.SetTargets(nil)
	after := f.board.ColdCounts(f.now)
	require.Equal(t, before.Granted, after.Granted)
	require.Equal(t, before.Refused, after.Refused)
	require.Zero(t, after.Cold)
}

// TestAnswerThatWaitedAtSuspendedHostProvesNothing guards against an answer that came before its target started again, and
// is read after that, as the host was suspended in between. The owner of the target is told nothing that proves more.
func TestAnswerThatWaitedAtSuspendedHostProvesNothing(t *testing.T) {
	f := newColdFleet("a")
	f.now = f.now.Add(3 * time.Second)
	since := f.now.Add(-2 * time.Second)
	f.board.ApplyPeerState(f.now, 7, placement.PeerState{Suspicions: []placement.Suspicion{{Target: "a", Since: since, Until: f.now.Add(time.Minute)}}})
	took := 5 * time.Second
	require.Less(t, f.board.ReportableDuration(f.now, took), time.Second)
	f.board.RecordFirstEvent(f.now, smallRequest("model"), placement.Choice{Target: "a"}, took)
	f.idle(2 * time.Second)
	require.True(t, f.board.MayBeCold(f.now, "a"))
	require.Equal(t, took, f.board.ReportableDuration(f.now, took))
	f.board.RecordFirstEvent(f.now, smallRequest("model"), placement.Choice{Target: "a"}, 2*took)
	require.False(t, f.board.MayBeCold(f.now, "a"))
}

// TestQueueIsShortWhileAllEnginesAreCold guards against requests that are held back for engines which can't take them in
// time, and refused late. While one engine is warm, or soon will be, requests wait as usual.
func TestQueueIsShortWhileAllEnginesAreCold(t *testing.T) {
	const many = 100
	queued := func(f *coldFleet) int {
		for n := range many {
			if !f.board.Wait(f.now, uint64(n+1), smallRequest("model")) {
				return n
			}
		}
		return many
	}
	f := newColdFleet("a", "b")
	f.restart(0)
	require.Equal(t, many, queued(f), "one is warm")

	f = newColdFleet("a", "b")
	f.restart(0)
	f.restart(1)
	wait := f.board.MaxWait(smallRequest("model"))
	require.LessOrEqual(t, queued(f), 1+int(2*testColdRate*wait.Seconds()))
	f.idle(testColdStart - wait/2)
	require.Equal(t, many, queued(f), "both are warm soon")
}
