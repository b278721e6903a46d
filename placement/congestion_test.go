package placement_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// TestTeamsAboveTheirShareAvoidCongestedEngines checks that teams above their share are not sent to
// an engine that prefills so many prompts that its streams are slower than callers can wait. A team
// within its share still is.
func TestTeamsAboveTheirShareAvoidCongestedEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	b := placement.NewBoard("place1")
	b.Configure(route.NewTable(route.Table{
		Version: 1, Rate: 1000,
		Routes:   []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 100, TokenCapacity: 10_000_000, TokensPerEvent: 5}}},
	}))
	b.SetTargets([]route.Target{{ID: "e", Service: "model", Slots: 100, Address: netip.MustParseAddrPort("10.0.0.1:80")}})
	newRequest := func(team string, prompt int) *placement.Request {
		return &placement.Request{
			Service: "model", Team: team, LatencyGoal: tightGoal, AnswerTimeLimit: 12 * time.Second, MaxOutput: 1000,
			Chain: placement.NewPrefixChain(nil, prompt),
		}
	}
	greedy, modest := newRequest("greedy", 3000), newRequest("modest", 100)
	b.RecordAdmitted(now, greedy)
	b.RecordAdmitted(now, modest)
	c := b.Choose(now, greedy)
	require.Equal(t, "e", c.Target)
	b.RecordSent(now, greedy, &c)
	now = now.Add(30 * time.Millisecond) // the shares are recomputed
	require.Equal(t, "e", b.Choose(now, greedy).Target)
	limitBefore := b.Choose(now, greedy).QueueLimit
	for range 500 {
		b.RecordEventGap(now, "e", 200*time.Millisecond)
	}
	require.Empty(t, b.Choose(now, greedy).Target)
	require.Equal(t, "e", b.Choose(now, modest).Target)
	require.Equal(t, limitBefore, b.Choose(now, greedy).QueueLimit, "the queue limit is the same without a usable engine")
	for range 500 {
		b.RecordEventGap(now, "e", 20*time.Millisecond)
	}
	require.Equal(t, "e", b.Choose(now, greedy).Target)
}

// TestStalledTargetIsAvoided guards against new requests to a target that stopped responding. It
// must be avoided once its streams are silent, long before any of them times out.
func TestStalledTargetIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	b := placement.NewBoard("place1")
	b.Configure(route.NewTable(route.Table{
		Version: 1, Routes: []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 100, TokenCapacity: 10_000_000, TokensPerEvent: 5}}},
	}))
	b.SetTargets([]route.Target{{ID: "e", Service: "model", Slots: 100, Address: netip.MustParseAddrPort("10.0.0.1:80")}})
	request := &placement.Request{Service: "model", LatencyGoal: tightGoal, Chain: placement.NewPrefixChain(nil, 100)}
	for range 3 {
		c := b.Choose(now, request)
		require.Equal(t, "e", c.Target)
		b.RecordSent(now, request, &c)
		b.RecordFirstEvent(now, request, c, 50*time.Millisecond)
	}
	b.RecordEventGap(now, "e", 50*time.Millisecond)
	require.Equal(t, "e", b.Choose(now.Add(200*time.Millisecond), request).Target)
	require.Empty(t, b.Choose(now.Add(400*time.Millisecond), request).Target)
	require.Equal(t, "e", b.Choose(now.Add(1600*time.Millisecond), request).Target, "only old connections may be silent")
	b.RecordEventGap(now.Add(500*time.Millisecond), "e", 500*time.Millisecond)
	require.Equal(t, "e", b.Choose(now.Add(510*time.Millisecond), request).Target)
}

// TestEngineIsUsedAgainAfterAStall checks that an engine is used again once its stalled streams
// go on, however long it was suspended for. An engine that only hangs single requests while
// others go on stays suspended.
func TestEngineIsUsedAgainAfterAStall(t *testing.T) {
	for _, stalls := range []bool{true, false} {
		now := time.Unix(1000, 0)
		b := placement.NewBoard("place1")
		b.Configure(route.NewTable(route.Table{
			Version: 1, Routes: []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
			Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 100, TokenCapacity: 10_000_000, TokensPerEvent: 5}}},
		}))
		b.SetTargets([]route.Target{{ID: "e", Service: "model", Slots: 100, Address: netip.MustParseAddrPort("10.0.0.1:80")}})
		request := &placement.Request{Service: "model", LatencyGoal: tightGoal, AnswerTimeLimit: 12 * time.Second, Chain: placement.NewPrefixChain(nil, 10)}
		begin := func() placement.Load {
			c := b.Choose(now, request)
			require.Equal(t, "e", c.Target)
			b.RecordSent(now, request, &c)
			return b.RecordFirstEvent(now, request, c, 10*time.Millisecond)
		}
		first, second := begin(), begin()
		require.Equal(t, first, second)
		now = now.Add(2 * time.Second)
		if !stalls {
			b.RecordEventGap(now.Add(-20*time.Millisecond), "e", 20*time.Millisecond)
		}
		b.RecordEnd(now, request, "e", first, placement.Silent, time.Second)
		require.Empty(t, b.Choose(now, request).Target)
		now = now.Add(20 * time.Millisecond)
		b.RecordEventGap(now, "e", 20*time.Millisecond)
		require.Equal(t, stalls, b.Choose(now, request).Target == "e")
	}
}
