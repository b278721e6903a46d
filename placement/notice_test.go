package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// newBoardWithTargets returns a board and its targets, which belong to one service: to model, whose
// targets are engines, or to plain, whose targets are not. Each has eight slots.
func newBoardWithTargets(service string, ids ...string) (*placement.Board, []route.Target) {
	b := placement.NewBoard("place1")
	b.Configure(route.NewTable(route.Table{
		Version:  1,
		Routes:   []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: service, Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 8, TokenCapacity: 100_000}}, {Name: "plain"}},
	}))
	var targets []route.Target
	for _, id := range ids {
		targets = append(targets, route.Target{ID: id, Service: service, Slots: 8, Place: "place1", StartedAt: time.Unix(500, 0)})
	}
	b.SetTargets(targets)
	return b, targets
}

// smallRequest returns a request with a short prompt.
func smallRequest(service string) *placement.Request {
	return &placement.Request{Service: service, Team: "team1", LatencyGoal: tightGoal, AnswerTimeLimit: 10 * time.Second, Chain: placement.PrefixChain{Total: 10}}
}

// fill sends requests until no target has a free slot, and returns how many each target got.
func fill(b *placement.Board, now time.Time, service string) map[string]int {
	sent := map[string]int{}
	for range 100 {
		request := smallRequest(service)
		request.Chain.Total = 0
		c := b.Choose(now, request)
		if c.Target == "" {
			break
		}
		b.RecordSent(now, request, &c)
		sent[c.Target]++
	}
	return sent
}

// TestLeavingTargetGetsNothingUntilItStartsAgain guards against requests to a target that announced
// its departure while the list of targets still has it. It gets requests only after it has started
// again.
func TestLeavingTargetGetsNothingUntilItStartsAgain(t *testing.T) {
	for _, service := range []string{"model", "plain"} {
		now := time.Unix(1000, 0)
		b, targets := newBoardWithTargets(service, "a", "b")
		_, isNew := b.RecordLeaving(now, "a")
		require.True(t, isNew)
		_, isNew = b.RecordLeaving(now, "a")
		require.False(t, isNew, "already known")
		// check checks that only the targets in accepting, whose IDs have one letter, get requests.
		check := func(accepting string, why string) {
			t.Helper()
			for range 3 {
				require.Contains(t, accepting, b.Choose(now, smallRequest(service)).Target, why)
			}
			require.Equal(t, len(accepting) == 2, b.AcceptsRequests(now, "a"), why)
		}
		check("b", "it said that it is leaving")
		b.SetTargets(targets)
		check("b", "it is listed as ready")
		b.SetTargets(targets[1:])
		b.SetTargets(targets)
		check("b", "it was briefly missing from the list")
		started := []route.Target{targets[0], targets[1]}
		started[0].StartedAt = time.Unix(900, 0)
		b.SetTargets(started)
		require.True(t, b.AcceptsRequests(now, "a"), "it started again")
		require.False(t, b.RecordDeparture(placement.Departure{Target: "a", StartedAt: time.Unix(500, 0), AnnouncedAt: now}), "departure of the earlier process")
		require.True(t, b.AcceptsRequests(now, "a"))
	}
}

// TestDeparturesSpreadThroughPeerStates checks that a host learns of a departure from the state
// report of another host, and passes it on in its own reports.
func TestDeparturesSpreadThroughPeerStates(t *testing.T) {
	now := time.Unix(1000, 0)
	first, _ := newBoardWithTargets("model", "a", "b")
	second, _ := newBoardWithTargets("model", "a", "b")
	third, _ := newBoardWithTargets("model", "a", "b")
	first.RecordLeaving(now, "a")
	second.ApplyPeerState(now, 1, first.State(now))
	require.False(t, second.AcceptsRequests(now, "a"))
	third.ApplyPeerState(now, 2, second.State(now))
	require.False(t, third.AcceptsRequests(now, "a"), "the host that was told first may be gone")
}

// TestPausedTargetGetsNothingDuringThePause checks that a target that asked this host to pause gets
// no requests during the pause, then requests for a fraction of its slots, and later for all of
// them.
func TestPausedTargetGetsNothingDuringThePause(t *testing.T) {
	for _, service := range []string{"model", "plain"} {
		now := time.Unix(1000, 0)
		b, _ := newBoardWithTargets(service, "a", "b")
		until := b.RecordPause(now, "a", 3*time.Second)
		require.WithinRange(t, until, now.Add(3*time.Second), now.Add(3300*time.Millisecond))
		require.Equal(t, map[string]int{"b": 8}, fill(b, until.Add(-time.Millisecond), service))
		require.Equal(t, 2, fill(b, until.Add(time.Millisecond), service)["a"], "a fraction of its slots first")
		require.Equal(t, 6, fill(b, until.Add(2*time.Second), service)["a"], "more of them later")
	}
}

// TestLongestPauseHolds checks that a shorter pause that a target asks for later does not end a
// longer one.
func TestLongestPauseHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	b, _ := newBoardWithTargets("plain", "a")
	until := b.RecordPause(now, "a", 3*time.Second)
	require.Equal(t, until, b.RecordPause(now, "a", time.Second))
}

// TestAllPausedIsRefusedWithTheShortestPause checks that, if all targets are paused, a request is
// refused at once and its caller told to retry when the shortest pause ends.
func TestAllPausedIsRefusedWithTheShortestPause(t *testing.T) {
	for _, service := range []string{"model", "plain"} {
		now := time.Unix(1000, 0)
		b, _ := newBoardWithTargets(service, "a", "b")
		b.RecordPause(now, "a", 9*time.Second)
		until := b.RecordPause(now, "b", 3*time.Second)
		now = now.Add(time.Second)
		c := b.Choose(now, smallRequest(service))
		require.Equal(t, placement.ReasonPaused, c.Reason)
		require.Equal(t, until.Sub(now), c.RetryAfter)
	}
}

// TestQueuedRequestsAreRefusedWithoutTargets checks that queued requests are refused as soon as
// the last target leaves or pauses.
func TestQueuedRequestsAreRefusedWithoutTargets(t *testing.T) {
	for name, makeUnavailable := range map[string]func(b *placement.Board, now time.Time){
		"leaves": func(b *placement.Board, now time.Time) { b.RecordLeaving(now, "a") },
		"pauses": func(b *placement.Board, now time.Time) { b.RecordPause(now, "a", time.Second) },
	} {
		for _, service := range []string{"model", "plain"} {
			now := time.Unix(1000, 0)
			b, _ := newBoardWithTargets(service, "a")
			fill(b, now, service)
			require.True(t, b.Wait(now, 7, smallRequest(service)))
			require.Empty(t, b.ExpireQueued(now))
			makeUnavailable(b, now)
			grants := b.ExpireQueued(now)
			require.Len(t, grants, 1, name)
			require.Empty(t, grants[0].Choice.Target)
		}
	}
}

// TestPauseOfAnotherHostIsShort checks that a target that asked another host to pause counts as
// full for a short time only, not for the whole pause, even if the pause is reported again.
func TestPauseOfAnotherHostIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	b, _ := newBoardWithTargets("plain", "a", "b")
	pause := placement.PeerState{Pauses: []placement.Pause{{Target: "a", Until: now.Add(3 * time.Second)}}}
	b.ApplyPeerState(now, 1, pause)
	require.Equal(t, "b", b.Choose(now, smallRequest("plain")).Target)
	require.True(t, b.AcceptsRequests(now, "a"))
	later := now.Add(time.Second)
	b.ApplyPeerState(later, 1, pause)
	require.Equal(t, 8, fill(b, later, "plain")["a"], "the same pause was reported before")
}

// TestRemoteRequestsIgnoreOwnPauses checks which pauses count when a host chooses the target for a
// request of another host: those of the other host, whose targets the request excludes, and not its
// own.
func TestRemoteRequestsIgnoreOwnPauses(t *testing.T) {
	now := time.Unix(1000, 0)
	b, _ := newBoardWithTargets("plain", "a")
	b.RecordPause(now, "a", time.Second)
	remote := smallRequest("plain")
	remote.Remote = true
	require.Equal(t, "a", b.Choose(now, remote).Target)
	require.Equal(t, []string{"a"}, b.PausedTargets(now, "plain"))
	remote.Excluded = []string{"a"}
	require.Empty(t, b.Choose(now, remote).Target)
}

// TestShareHoldsWhileEnginesPauseAndLeave lets a third of the engines pause or leave during floods.
// The floods must get equal shares of the remaining slots.
func TestShareHoldsWhileEnginesPauseAndLeave(t *testing.T) {
	for _, c := range []floodCase{
		{hosts: 7, engines: 9, slots: 24, teams: 16, floods: 4},
		{hosts: 64, engines: 45, slots: 24, teams: 30, floods: 6},
	} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) { c.runWithPauses(t, 3) })
	}
}

// TestShareHoldsWhileEnginesOfALargeFleetPauseAndLeave checks the same as
// TestShareHoldsWhileEnginesPauseAndLeave in a fleet of hundreds of hosts.
func TestShareHoldsWhileEnginesOfALargeFleetPauseAndLeave(t *testing.T) {
	c := floodCase{hosts: 295, engines: 103, slots: 12, teams: 30, floods: 6}
	c.runWithPauses(t, 2)
}

// BenchmarkChoosePaused measures the choice of an engine while all of 300 engines are paused, and
// while all but one are.
func BenchmarkChoosePaused(b *testing.B) {
	for _, paused := range []int{299, 300} {
		b.Run(fmt.Sprint(paused), func(b *testing.B) {
			now := time.Unix(1000, 0)
			board, _ := largeBoard(now, 300)
			for n := range paused {
				board.RecordPause(now, fmt.Sprintf("engine-%04d", n), time.Minute)
			}
			b.ReportAllocs()
			for n := range b.N {
				board.Choose(now, largeFleetRequest(n))
			}
		})
	}
}
