package dispatch

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/fixedseed"
	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/wire"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var traceStart = time.Unix(1_700_000_000, 0)

// naiveTicket is a ticket of the naive version.
type naiveTicket struct {
	id    uint64
	team  uint32
	rank  time.Time
	sent  time.Time
	turns uint64
}

// naive dispatches by a sorted scan over all tickets.
type naive struct {
	policy  string
	waiting []naiveTicket
	turn    uint64
	turns   map[uint32]uint64 // number of the last grant, by team
	slots   int
}

// pick returns the next ticket by a scan: for each team its first ticket by
// rank, and among those the team by the policy.
func (n *naive) pick() (naiveTicket, bool) {
	if len(n.waiting) == 0 || n.slots == 0 {
		return naiveTicket{}, false
	}
	heads := map[uint32]naiveTicket{}
	for _, tk := range n.waiting {
		head, ok := heads[tk.team]
		if !ok || cmp.Or(tk.rank.Compare(head.rank), cmp.Compare(tk.id, head.id)) < 0 {
			heads[tk.team] = tk
		}
	}
	var list []naiveTicket
	for team, tk := range heads {
		tk.turns = n.turns[team]
		list = append(list, tk)
	}
	slices.SortFunc(list, func(a, b naiveTicket) int {
		if n.policy == "fifo" {
			return cmp.Or(a.sent.Compare(b.sent), cmp.Compare(a.turns, b.turns), cmp.Compare(a.team, b.team))
		}
		return cmp.Or(cmp.Compare(a.turns, b.turns), cmp.Compare(a.team, b.team))
	})
	best := list[0]
	n.waiting = slices.DeleteFunc(n.waiting, func(tk naiveTicket) bool { return tk.id == best.id })
	n.turn++
	n.turns[best.team] = n.turn
	n.slots--
	return best, true
}

// traceShard returns a shard of one place with so many targets and teams.
func traceShard(policy Policy, targets, slots, teams int) (*Shard, []uint32) {
	set := catalog.NewSet()
	set.Services["model"] = catalog.Service{Kind: catalog.KindModel, Waiting: 50}
	set.Places["here"] = catalog.Place{}
	for n := range teams {
		set.Teams[fmt.Sprintf("team%d", n)] = catalog.Team{}
	}
	for n := range targets {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(n+1))
		set.Targets[fmt.Sprintf("t%d", n)] = catalog.Target{Service: "model", Place: "here", Address: address, Slots: slots}
	}
	set.Seal(1)
	view := catalog.NewView(set)
	config := Config{
		Shard: wire.Shard{Service: view.ServiceNumber("model"), Place: view.PlaceNumber("here")}, Incarnation: 1, Policy: policy,
	}
	s := NewShard(traceStart, config, ledger.NewBook(), nil)
	s.Configure(traceStart, view)
	s.Tick(traceStart)
	var numbers []uint32
	for n := range teams {
		numbers = append(numbers, view.TeamNumber(fmt.Sprintf("team%d", n)))
	}
	return s, numbers
}

// checkInvariants checks what must hold after each event.
func checkInvariants(t *rapid.T, s *Shard) {
	running := map[uint32]int{}
	for key, g := range s.grants {
		running[g.target.number]++
		require.Nil(t, s.tickets[key], "ticket waits and has a slot")
	}
	for number, target := range s.targets {
		require.Equal(t, running[number], target.running)
		require.LessOrEqual(t, target.running, target.slots, "slots over their limit")
	}
	queued := 0
	for _, row := range s.teams {
		queued += len(row.queue)
		require.Equal(t, len(row.queue) > 0, row.index >= 0, "team with tickets is not among the waiting")
	}
	require.Equal(t, len(s.tickets), queued, "ticket lost")
	if s.settled && len(s.tickets) > 0 {
		require.Empty(t, s.free, "slot idle while a ticket waits")
	}
}

func TestOrderOfGrantsAgainstNaive(t *testing.T) {
	for _, policy := range []Policy{ArrivalPolicy(), TurnPolicy()} {
		t.Run(policy.Name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { compareTrace(t, policy) })
		})
	}
}

// compareTrace runs a random trace through both versions.
func compareTrace(t *rapid.T, policy Policy) {
	const targets, slots = 2, 2
	s, teams := traceShard(policy, targets, slots, 4)
	n := &naive{policy: policy.Name, turns: map[uint32]uint64{}, slots: targets * slots}
	host := netip.MustParseAddrPort("10.0.0.9:1")
	now := traceStart
	var held []uint64
	next := uint64(0)
	for range rapid.IntRange(1, 150).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "gap")) * time.Millisecond)
		if len(held) > 0 && rapid.Bool().Draw(t, "end") {
			at := rapid.IntRange(0, len(held)-1).Draw(t, "which")
			s.End(now, host, &wire.End{ID: held[at], Shard: s.config.Shard, Cost: 10})
			held = slices.Delete(held, at, at+1)
			n.slots++
		} else {
			next++
			team := teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")]
			class := uint8(rapid.IntRange(0, 2).Draw(t, "class"))
			s.Submit(now, host, &wire.Ticket{ID: next, Shard: s.config.Shard, Team: team, Urgency: class})
			n.waiting = append(n.waiting, naiveTicket{id: next, team: team, sent: now, rank: now.Add(penalty(class))})
		}
		s.Pick(now)
		got := granted(s)
		var want []uint64
		for tk, ok := n.pick(); ok; tk, ok = n.pick() {
			want = append(want, tk.id)
		}
		require.Equal(t, want, got)
		held = append(held, got...)
		checkInvariants(t, s)
	}
}

// granted returns the tickets granted since the last call.
func granted(s *Shard) []uint64 {
	var list []uint64
	for _, o := range s.Drain() {
		if g, ok := o.Message.(*wire.Grant); ok {
			list = append(list, g.ID)
		}
	}
	return list
}

// exact knows exactly what each team has received.
type exact struct {
	received map[uint32]float64
	running  map[uint64]*work
}

// work is a running request.
type work struct {
	team  uint32
	cost  float64
	since time.Time
}

const workSpeed = 100.0 // cost units a second

func (w *work) done(now time.Time) float64 {
	return min(w.cost, now.Sub(w.since).Seconds()*workSpeed)
}

// TestFairnessBoundAgainstExactKnowledge keeps teams backlogged with requests of
// unknown length at one shard. By exact knowledge, the difference of service of
// two teams may change by no more than the stated two costliest requests.
func TestFairnessBoundAgainstExactKnowledge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := rapid.IntRange(2, 5).Draw(t, "teams")
		longest := make([]int, teams)
		for n := range longest {
			longest[n] = rapid.IntRange(5, 200).Draw(t, "longest")
		}
		seed := rapid.Uint64().Draw(t, "seed")
		costliest := float64(slices.Max(longest))
		require.LessOrEqual(t, backlogSpread(t, longest, seed), 2*costliest)
	})
}

// backlogSpread runs backlogged teams for 20 s after a second of learning, and
// returns the widest change of the difference of service between two teams.
func backlogSpread(t *rapid.T, longest []int, seed uint64) float64 {
	s, teams := traceShard(FairPolicy(), 2, 4, len(longest))
	host := netip.MustParseAddrPort("10.0.0.9:1")
	x := &exact{received: map[uint32]float64{}, running: map[uint64]*work{}}
	now := traceStart
	next, state := uint64(0), seed|1
	draw := func(limit int) int {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		return 1 + int(state%uint64(limit))
	}
	low, high := map[[2]uint32]float64{}, map[[2]uint32]float64{}
	widest := 0.0
	for step := range 2100 {
		now = now.Add(10 * time.Millisecond)
		for _, id := range slices.Sorted(keysOf(x.running)) {
			w := x.running[id]
			if w.done(now) >= w.cost {
				delete(x.running, id)
				x.received[w.team] += w.cost
				s.End(now, host, &wire.End{ID: id, Shard: s.config.Shard, Cost: uint64(w.cost)})
			}
		}
		for _, team := range teams {
			for len(s.team(team).queue) < 10 {
				next++
				s.Submit(now, host, &wire.Ticket{ID: next, Shard: s.config.Shard, Team: team, Urgency: ClassNormal, Fixed: true})
			}
		}
		if step%5 == 0 {
			s.Tick(now)
		}
		s.Pick(now)
		for _, o := range s.Drain() {
			if g, ok := o.Message.(*wire.Grant); ok {
				team := s.grants[Key{Host: host, ID: g.ID}].team.number
				x.running[g.ID] = &work{team: team, cost: float64(draw(longest[slices.Index(teams, team)])), since: now}
			}
		}
		checkInvariants(t, s)
		if step < 100 {
			continue
		}
		for i, a := range teams {
			for _, b := range teams[i+1:] {
				pair := [2]uint32{a, b}
				d := x.total(now, a) - x.total(now, b)
				if step == 100 {
					low[pair], high[pair] = d, d
				}
				low[pair], high[pair] = min(low[pair], d), max(high[pair], d)
				widest = max(widest, high[pair]-low[pair])
			}
		}
	}
	return widest
}

func keysOf[T any](m map[uint64]T) func(yield func(uint64) bool) {
	return func(yield func(uint64) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

func (x *exact) total(now time.Time, team uint32) float64 {
	total := x.received[team]
	for _, w := range x.running {
		if w.team == team {
			total += w.done(now)
		}
	}
	return total
}
