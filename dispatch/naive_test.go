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

// TestMain runs the tests of this package with fixed random seeds.
func TestMain(m *testing.M) { fixedseed.Main(m) }

// testStart is the time at which all simulated runs begin.
var testStart = time.Unix(1_700_000_000, 0)

// referenceTicket is a ticket of referenceQueue.
type referenceTicket struct {
	id        uint64
	team      uint32
	rank      time.Time
	arrivedAt time.Time
	lastGrant uint64
}

// referenceQueue is a reference implementation that grants by a sorted scan over all tickets.
type referenceQueue struct {
	policy     string
	waiting    []referenceTicket
	grantCount uint64            // grants so far
	lastGrants map[uint32]uint64 // value of grantCount at the last grant, by team
	slots      int               // free slots
}

// pick scans all tickets and grants a free slot to one of them: it takes the first ticket of each
// team by rank, and of these the one whose team the policy puts first.
func (q *referenceQueue) pick() (referenceTicket, bool) {
	if len(q.waiting) == 0 || q.slots == 0 {
		return referenceTicket{}, false
	}
	heads := map[uint32]referenceTicket{}
	for _, tk := range q.waiting {
		head, ok := heads[tk.team]
		if !ok || cmp.Or(tk.rank.Compare(head.rank), cmp.Compare(tk.id, head.id)) < 0 {
			heads[tk.team] = tk
		}
	}
	var list []referenceTicket
	for team, tk := range heads {
		tk.lastGrant = q.lastGrants[team]
		list = append(list, tk)
	}
	slices.SortFunc(list, func(a, b referenceTicket) int {
		if q.policy == "fifo" {
			return cmp.Or(a.arrivedAt.Compare(b.arrivedAt), cmp.Compare(a.lastGrant, b.lastGrant), cmp.Compare(a.team, b.team))
		}
		return cmp.Or(cmp.Compare(a.lastGrant, b.lastGrant), cmp.Compare(a.team, b.team))
	})
	best := list[0]
	q.waiting = slices.DeleteFunc(q.waiting, func(tk referenceTicket) bool { return tk.id == best.id })
	q.grantCount++
	q.lastGrants[best.team] = q.grantCount
	q.slots--
	return best, true
}

// newTestShard returns a recovered shard of a service in one place, and the numbers of its teams.
func newTestShard(policy Policy, targets, slots, teams int) (*Shard, []uint32) {
	set := catalog.NewSet()
	set.Services["model"] = catalog.Service{Kind: catalog.KindModel, MaxWaitingPerTeam: 50}
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
	s := NewShard(testStart, config, ledger.NewBook(), nil)
	s.Configure(testStart, view)
	s.Tick(testStart)
	var numbers []uint32
	for n := range teams {
		numbers = append(numbers, view.TeamNumber(fmt.Sprintf("team%d", n)))
	}
	return s, numbers
}

// checkInvariants checks what must hold after each event, such as that no slot is idle while a
// ticket waits.
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
	for _, tm := range s.teams {
		queued += len(tm.queue)
		require.Equal(t, len(tm.queue) > 0, tm.heapIndex >= 0, "team with tickets is not among the waiting")
	}
	require.Equal(t, len(s.tickets), queued, "ticket lost")
	if s.recovered && len(s.tickets) > 0 {
		require.Empty(t, s.free, "slot idle while a ticket waits")
	}
}

// TestGrantOrderMatchesReference guards the heaps against granting in another order than a plain
// scan does.
func TestGrantOrderMatchesReference(t *testing.T) {
	for _, policy := range []Policy{FIFOPolicy(), RoundRobinPolicy()} {
		t.Run(policy.Name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { compareWithReference(t, policy) })
		})
	}
}

// compareWithReference runs a random sequence of tickets and ends through a Shard and a
// referenceQueue.
func compareWithReference(t *rapid.T, policy Policy) {
	const targets, slots = 2, 2
	s, teams := newTestShard(policy, targets, slots, 4)
	reference := &referenceQueue{policy: policy.Name, lastGrants: map[uint32]uint64{}, slots: targets * slots}
	host := netip.MustParseAddrPort("10.0.0.9:1")
	now := testStart
	var held []uint64
	next := uint64(0)
	for range rapid.IntRange(1, 150).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "gap")) * time.Millisecond)
		if len(held) > 0 && rapid.Bool().Draw(t, "end") {
			at := rapid.IntRange(0, len(held)-1).Draw(t, "which")
			s.End(now, host, &wire.RequestEnd{ID: held[at], Shard: s.config.Shard, Cost: 10})
			held = slices.Delete(held, at, at+1)
			reference.slots++
		} else {
			next++
			team := teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")]
			class := uint8(rapid.IntRange(0, 2).Draw(t, "class"))
			s.Submit(now, host, &wire.Ticket{ID: next, Shard: s.config.Shard, Team: team, Urgency: class})
			reference.waiting = append(reference.waiting, referenceTicket{id: next, team: team, arrivedAt: now, rank: now.Add(classPenalty(class))})
		}
		s.GrantFreeSlots(now)
		got := grantedIDs(s)
		var want []uint64
		for tk, ok := reference.pick(); ok; tk, ok = reference.pick() {
			want = append(want, tk.id)
		}
		require.Equal(t, want, got)
		held = append(held, got...)
		checkInvariants(t, s)
	}
}

// grantedIDs drains the messages of a shard and returns the tickets granted among them.
func grantedIDs(s *Shard) []uint64 {
	var list []uint64
	for _, o := range s.Drain() {
		if g, ok := o.Message.(*wire.Grant); ok {
			list = append(list, g.ID)
		}
	}
	return list
}

// serviceRecord knows exactly what each team has received, which a shard can only estimate.
type serviceRecord struct {
	received map[uint32]float64 // by ended requests, by team
	running  map[uint64]*runningRequest
}

// runningRequest is a request that a simulated target works on.
type runningRequest struct {
	team      uint32
	cost      float64
	startedAt time.Time
}

// slotRate is the service that a simulated slot yields, in cost units per second.
const slotRate = 100.0

// servedBy returns the service that the request has received by a time, in cost units.
func (w *runningRequest) servedBy(now time.Time) float64 {
	return min(w.cost, now.Sub(w.startedAt).Seconds()*slotRate)
}

// TestServiceDifferenceStaysWithinTwoCostliestRequests keeps teams of equal weight backlogged
// at one shard with requests whose cost the shard does not know in advance. The difference between
// the service that two teams received may change by no more than the cost of two of the costliest
// requests.
func TestServiceDifferenceStaysWithinTwoCostliestRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := rapid.IntRange(2, 5).Draw(t, "teams")
		maxCosts := make([]int, teams)
		for n := range maxCosts {
			maxCosts[n] = rapid.IntRange(5, 200).Draw(t, "maxCost")
		}
		seed := rapid.Uint64().Draw(t, "seed")
		costliest := float64(slices.Max(maxCosts))
		require.LessOrEqual(t, maxServiceDrift(t, maxCosts, seed), 2*costliest)
	})
}

// maxServiceDrift runs backlogged teams for 20 s after one second of warm-up, and returns the
// widest change of the difference between the service of two teams.
func maxServiceDrift(t *rapid.T, maxCosts []int, seed uint64) float64 {
	s, teams := newTestShard(FairPolicy(), 2, 4, len(maxCosts))
	host := netip.MustParseAddrPort("10.0.0.9:1")
	record := &serviceRecord{received: map[uint32]float64{}, running: map[uint64]*runningRequest{}}
	now := testStart
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
		for _, id := range slices.Sorted(keysOf(record.running)) {
			w := record.running[id]
			if w.servedBy(now) >= w.cost {
				delete(record.running, id)
				record.received[w.team] += w.cost
				s.End(now, host, &wire.RequestEnd{ID: id, Shard: s.config.Shard, Cost: uint64(w.cost)})
			}
		}
		for _, team := range teams {
			for len(s.ensureTeam(team).queue) < 10 {
				next++
				s.Submit(now, host, &wire.Ticket{ID: next, Shard: s.config.Shard, Team: team, Urgency: ClassNormal, Fixed: true})
			}
		}
		if step%5 == 0 {
			s.Tick(now)
		}
		s.GrantFreeSlots(now)
		for _, o := range s.Drain() {
			if g, ok := o.Message.(*wire.Grant); ok {
				team := s.grants[Key{Host: host, ID: g.ID}].team.number
				record.running[g.ID] = &runningRequest{team: team, cost: float64(draw(maxCosts[slices.Index(teams, team)])), startedAt: now}
			}
		}
		checkInvariants(t, s)
		if step < 100 {
			continue
		}
		for i, a := range teams {
			for _, b := range teams[i+1:] {
				pair := [2]uint32{a, b}
				d := record.total(now, a) - record.total(now, b)
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

// keysOf iterates over the keys of a map.
func keysOf[T any](m map[uint64]T) func(yield func(uint64) bool) {
	return func(yield func(uint64) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// total returns the service that a team has received by a time, running requests included.
func (r *serviceRecord) total(now time.Time, team uint32) float64 {
	total := r.received[team]
	for _, w := range r.running {
		if w.team == team {
			total += w.servedBy(now)
		}
	}
	return total
}
