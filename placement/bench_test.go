package placement_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// Size of the fleet of the benchmarks.
const (
	largeHosts   = 81
	largeEngines = 112
	largeTeams   = 30
)

// largeBoard returns the board of a host of a large fleet that knows the state of all other hosts,
// and the state reports of these. Each reports its load on a third of the engines.
func largeBoard(now time.Time, engines int) (*placement.Board, []placement.PeerState) {
	b := placement.NewBoard("place1")
	b.Configure(route.NewTable(route.Table{
		Version: 1, Rate: 1_000_000,
		Routes:   []route.Route{{TargetLatency: tightGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 500, TokenCapacity: 10_000_000}}},
	}))
	var targets []route.Target
	for n := range engines {
		targets = append(targets, route.Target{
			ID: fmt.Sprintf("engine-%04d", n), Service: "model", Slots: 500, Place: "place1",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		})
	}
	b.SetTargets(targets)
	var states []placement.PeerState
	for n := range largeHosts - 1 {
		var state placement.PeerState
		for k := n % 3; k < engines; k += 3 {
			state.Loads = append(state.Loads, placement.TargetLoad{
				Target: targets[k].ID, Load: placement.Load{Prompt: 100 * n, Running: 1, Memory: 100},
			})
		}
		for k := range largeTeams {
			state.Demands = append(state.Demands, placement.ServiceDemand{
				Service: "model", Demand: placement.Demand{Team: fmt.Sprintf("team%d", k), Received: 1000, Asked: 2000},
			})
		}
		b.ApplyPeerState(now, uint64(n), state)
		states = append(states, state)
	}
	return b, states
}

// largeFleetRequest returns the nth request of a benchmark. The requests are spread over the teams
// and share 50 prompt prefixes.
func largeFleetRequest(n int) *placement.Request {
	return &placement.Request{
		Service: "model", Team: fmt.Sprintf("team%d", n%largeTeams), LatencyGoal: tightGoal, MaxOutput: 100, AnswerTimeLimit: 10 * time.Second,
		Chain: placement.NewPrefixChain([]placement.Part{{ID: uint64(n % 50), Tokens: 500}, {ID: 1, Tokens: 300}}, 800),
	}
}

// BenchmarkApplyPeerState measures how long the state report of a host of a large fleet takes to
// process.
func BenchmarkApplyPeerState(b *testing.B) {
	now := time.Unix(1000, 0)
	board, states := largeBoard(now, largeEngines)
	b.ReportAllocs()
	for n := range b.N {
		now = now.Add(time.Millisecond)
		board.ApplyPeerState(now, uint64(n%len(states)), states[n%len(states)])
	}
}

// BenchmarkTick measures the periodic work of a board.
func BenchmarkTick(b *testing.B) {
	now := time.Unix(1000, 0)
	board, _ := largeBoard(now, largeEngines)
	b.ReportAllocs()
	for range b.N {
		board.Tick(now)
	}
}

// BenchmarkChoose measures the choice of an engine for a request, by the number of engines.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{12, largeEngines, 250} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			board, _ := largeBoard(now, engines)
			b.ReportAllocs()
			for n := range b.N {
				board.Choose(now, largeFleetRequest(n))
			}
		})
	}
}

// BenchmarkShares measures the choice of an engine when requests arrive so rarely that the shares
// of the teams are computed again for each.
func BenchmarkShares(b *testing.B) {
	now := time.Unix(1000, 0)
	board, _ := largeBoard(now, largeEngines)
	b.ReportAllocs()
	for n := range b.N {
		board.Choose(now.Add(time.Duration(n)*time.Microsecond*10), largeFleetRequest(n))
	}
}

// BenchmarkServeQueue measures a pass over the queue while all engines are full.
func BenchmarkServeQueue(b *testing.B) {
	now := time.Unix(1000, 0)
	board, _ := largeBoard(now, largeEngines)
	flood := placement.PeerState{}
	for n := range largeEngines {
		flood.Loads = append(flood.Loads, placement.TargetLoad{
			Target: fmt.Sprintf("engine-%04d", n), Load: placement.Load{Prompt: 1_000_000, Running: 400},
		})
	}
	board.ApplyPeerState(now, largeHosts, flood)
	for n := range 60 {
		board.Wait(now, uint64(n), largeFleetRequest(n))
	}
	b.ReportAllocs()
	for range b.N {
		now = now.Add(10 * time.Millisecond)
		board.ServeQueue(now, "model")
	}
}

// BenchmarkSpeeds measures the computation of the speeds of engines, which takes place ten times a second, and the choice
// of an engine while one of them is slow.
func BenchmarkSpeeds(b *testing.B) {
	for _, engines := range []int{largeEngines, 4800} {
		now := time.Unix(1000, 0)
		board, _ := largeBoard(now, engines)
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			for n := range engines {
				took := 100 * time.Millisecond
				if n == 0 {
					took *= 3
				}
				board.RecordFirstEvent(now, largeFleetRequest(n), placement.Choice{Target: fmt.Sprintf("engine-%04d", n), QueuedTokens: 5000}, took)
			}
			board.Tick(now)
		}
		b.Run(fmt.Sprint("choose/", engines), func(b *testing.B) {
			for n := range b.N {
				board.Choose(now, largeFleetRequest(n))
			}
		})
		b.Run(fmt.Sprint("compute/", engines), func(b *testing.B) {
			for range b.N {
				now = now.Add(100 * time.Millisecond)
				board.Tick(now)
			}
		})
	}
}
