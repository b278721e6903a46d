package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

const (
	homesEngines = 12
	homesShared  = 4000 // tokens of the shared part of a prompt
	homesPrompt  = 4000 // tokens of the rest
	homesLoad    = 0.95 // of what the engines can read
)

// playHomes runs a fleet whose engines have owners, and returns the share of requests in time after the first seconds,
// and the share of the prompt tokens that were read although another engine had them.
func playHomes(factor func(n int) func(time.Duration) float64, capacity float64, length time.Duration) (inTime, again float64) {
	s := newSimulationWithSlots(8, homesEngines, 0, 48).withOwners()
	for n, id := range s.engineIDs() {
		s.engines[id].factor = factor(n)
	}
	perEngine := float64(prefillPerStep) / tickStep.Seconds() / homesPrompt
	load := []workload{{
		team: "a", hosts: allHosts, perSecond: homesLoad * capacity * perEngine, prompt: homesPrompt, prefixes: 10 * homesEngines, sharedTokens: homesShared, latencyGoal: tightGoal,
	}}
	s.run(load, 5*time.Second)
	s.results = map[string]*teamResult{}
	s.run(load, length)
	r := s.results["a"]
	return float64(r.inTime) / float64(r.asked), float64(r.prefilledAgain) / float64(r.tokens)
}

// fixed returns a factor that does not change.
func fixed(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// Guards against prompts whose preferred engines are slow: hosts that know only the engines they own send each prompt to
// its preferred engine first, and these must have as many as they can read.
func TestHomesFollowSpeeds(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity float64
		factor   func(n int) func(time.Duration) float64
		least    float64 // share of the requests in time
	}{
		{"even", homesEngines, func(int) func(time.Duration) float64 { return nil }, 0.91},
		{"three speeds", homesEngines / 3 * (1/1.7 + 1 + 1/0.7), func(n int) func(time.Duration) float64 { return fixed([]float64{1.7, 1, 0.7}[n%3]) }, 0.93},
		{"step to a third", homesEngines - 4.0/3, func(n int) func(time.Duration) float64 {
			if n > 1 {
				return nil
			}
			return func(since time.Duration) float64 {
				if since > 10*time.Second {
					return 3
				}
				return 1
			}
		}, 0.9},
		{"spells", homesEngines, func(n int) func(time.Duration) float64 {
			if n%7 != 0 {
				return nil
			}
			return func(since time.Duration) float64 {
				if (since+time.Duration(n)*300*time.Millisecond)%(3*time.Second) < 600*time.Millisecond {
					return 2.5
				}
				return 1
			}
		}, 0.9},
	} {
		inTime, again := playHomes(c.factor, c.capacity, 25*time.Second)
		t.Logf("%s: in time %.3f, read again %.3f", c.name, inTime, again)
		require.Greater(t, inTime, c.least, c.name)
		require.Less(t, again, 0.02, "%s: prompts moved", c.name)
	}
}

// Guards against plain targets that get as many requests as faster ones, from one queue for all of them.
func TestPlainTargetsGetWhatTheyCanServe(t *testing.T) {
	f := newPlainFleet(t, true, 6)
	f.factors = map[string]float64{"t0": 1.7, "t1": 1, "t2": 0.7, "t3": 1.7, "t4": 1, "t5": 0.7}
	f.play(0.95, func(time.Duration) {})
	require.Greater(t, float64(f.inGoal)/float64(f.asked), 0.98)
	counts := f.boards[0].SpeedCounts()
	require.Equal(t, 2, counts.Slower)
	require.Equal(t, 2, counts.Faster)
}

// speedBoard returns the board of one of two hosts that own two engines each, and the IDs of those that it owns.
func speedBoard(self uint64) (b *placement.Board, owned []string) {
	b = placement.NewBoard("p")
	b.Configure(route.NewTable(route.Table{
		Routes:   []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 100, TokenCapacity: 1_000_000}}},
	}))
	b.SetTargets(speedEngines(time.Unix(1, 0)))
	hosts := []placement.Host{{ID: 1, Place: "p"}, {ID: 2, Place: "p"}}
	b.SetHosts(hosts[self-1], hosts[2-self:3-self])
	for n := range uint64(200) {
		if e := b.PreferredEngine(homeRequest(n)); e.Host == self && !slices.Contains(owned, e.Target) {
			owned = append(owned, e.Target)
		}
	}
	return b, owned
}

// speedEngines returns engines that started at a time.
func speedEngines(start time.Time) []route.Target {
	var list []route.Target
	for n := range 6 {
		list = append(list, route.Target{ID: fmt.Sprint("e", n), Service: "model", Slots: 100, Place: "p", StartedAt: start})
	}
	return list
}

// homeRequest returns a request with its own shared part.
func homeRequest(n uint64) *placement.Request {
	return &placement.Request{Service: "model", Chain: placement.NewPrefixChain([]placement.Part{{ID: n + 1, Tokens: 1000}, {ID: 1, Tokens: 100}}, 1100)}
}

// observe lets a board hear for some seconds of first events of all engines, of which one takes longer, while its host or
// the callers' hosts are late.
func observe(b *placement.Board, now time.Time, slow string, factor float64, lateness time.Duration) time.Time {
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		for n := range 6 {
			c := placement.Choice{Target: fmt.Sprint("e", n), QueuedTokens: 5000}
			took := 100 * time.Millisecond
			if c.Target == slow {
				took = time.Duration(float64(took)*factor) + lateness
			}
			a := homeRequest(0)
			a.Remote, a.Lateness = true, lateness
			if c.Target != slow {
				a.Lateness = 0
			}
			b.RecordFirstEvent(now, a, c, took)
		}
		b.Tick(now)
	}
	return now
}

// homes returns the preferred engines of many prompts.
func homes(b *placement.Board) (list []string) {
	for n := range uint64(400) {
		list = append(list, b.PreferredEngine(homeRequest(n)).Target)
	}
	return list
}

// Guards against hosts that disagree about the preferred engines of prompts, against speeds that are lost when their owner
// falls silent, and against those of an earlier process of an engine.
func TestHostsShareSpeeds(t *testing.T) {
	owner, owned := speedBoard(1)
	other, _ := speedBoard(2)
	even := homes(owner)
	require.Equal(t, even, homes(other))
	slow := owned[0]
	now := observe(owner, time.Unix(1000, 0), slow, 3, 0)
	state := owner.State(now)
	require.Len(t, state.Speeds, 1)
	require.Equal(t, slow, state.Speeds[0].Target)
	require.InDelta(t, 3, state.Speeds[0].Ratio, 0.6)
	other.ApplyPeerState(now, 1, state)
	other.Tick(now.Add(time.Second))
	shared := homes(owner)
	require.Equal(t, shared, homes(other))
	for n, home := range shared {
		if home != even[n] {
			require.Equal(t, slow, even[n], "only prompts of the slow engine move")
		}
	}
	require.NotEqual(t, even, shared)
	other.Tick(now.Add(8 * time.Second))
	require.Equal(t, shared, homes(other), "the owner is silent")
	other.Tick(now.Add(40 * time.Second))
	require.Equal(t, even, homes(other))
	owner.SetTargets(speedEngines(time.Unix(2, 0)))
	owner.Tick(now.Add(time.Second))
	require.Empty(t, owner.State(now).Speeds)
}

// Guards against hosts short of processor time whose late reports make an engine look slow.
func TestLatenessIsNoSlowness(t *testing.T) {
	b, owned := speedBoard(1)
	now := observe(b, time.Unix(1000, 0), owned[0], 1, 100*time.Millisecond)
	require.Empty(t, b.State(now).Speeds)
}
