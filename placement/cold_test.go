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

// coldFleet is a board with engines of a service whose targets have cold starts. It owns all of them.
type coldFleet struct {
	board   *placement.Board
	targets []route.Target
	now     time.Time
}

// newColdFleet returns a fleet of warm engines that this host has owned for long.
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
	f.now = f.now.Add(2 * time.Second)
	return f
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
	later := f.now.Add(time.Second)
	f.board.RecordFirstEvent(later, request, placement.Choice{Target: "b"}, 2*time.Second)
	require.False(t, f.board.MayBeCold(later, "b"))
}

// TestTargetsOfPlaceTakenBackCountAsCold guards against a data centre whose targets became cold while it was evacuated.
func TestTargetsOfPlaceTakenBackCountAsCold(t *testing.T) {
	f := newColdFleet("a")
	f.board.SetEvacuated(f.now, []string{"place1"})
	f.board.SetEvacuated(f.now, nil)
	require.True(t, f.board.MayBeCold(f.now, "a"))
	require.False(t, f.board.MayBeCold(f.now.Add(testColdStart), "a"))
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

// delayed returns suspicions as a host knows them that gets a message late: their ends are told as the time left.
func delayed(suspicions []placement.Suspicion, delay time.Duration) []placement.Suspicion {
	var out []placement.Suspicion
	for _, s := range suspicions {
		out = append(out, placement.Suspicion{Target: s.Target, Since: s.Since.Add(delay), Until: s.Until.Add(delay)})
	}
	return out
}

// TestSuspicionEndsAlthoughHostsPassItOn guards against a suspicion that hosts tell each other again and again, each time
// longer by the delay of the message.
func TestSuspicionEndsAlthoughHostsPassItOn(t *testing.T) {
	const (
		hosts     = 24
		interval  = 4 * time.Millisecond // between the states of two hosts
		delay     = 20 * time.Millisecond
		suspicion = 3*1200*time.Millisecond + testColdStart
	)
	fleet := make([]*coldFleet, hosts)
	for n := range fleet {
		fleet[n] = newColdFleet("a")
	}
	start := fleet[0].now
	fleet[0].board.RecordEnd(start, smallRequest("model"), "a", placement.Load{}, placement.Unreachable, 0)
	now := start
	var underWay [][]placement.Suspicion // of the last states, the oldest first
	for n := 0; now.Before(start.Add(suspicion + 10*delay)); n++ {
		now = now.Add(interval)
		underWay = append(underWay, delayed(fleet[n%hosts].board.State(now).Suspicions, delay))
		if len(underWay) > int(delay/interval) {
			for _, f := range fleet {
				f.board.ApplyPeerState(now, 7, placement.PeerState{Suspicions: underWay[0]})
			}
			underWay = underWay[1:]
		}
	}
	for n, f := range fleet {
		require.True(t, f.board.MayBeCold(start.Add(suspicion-delay), "a"), n)
		require.False(t, f.board.MayBeCold(now, "a"), n)
	}
}
