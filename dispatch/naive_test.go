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

// testStart is the simulated time at which each test starts.
var testStart = time.Unix(1_700_000_000, 0)

// referenceTicket is a request that waits in a referenceQueue.
type referenceTicket struct {
	id        uint64
	team      uint32
	rank      time.Time // arrival time and penalty of the class: the lowest of a team is granted first
	arrivedAt time.Time
	lastGrant uint64 // value of grantCount at the last grant to the team
}

// referenceQueue grants slots by a plain scan over all tickets. Tests compare the heaps of Shard with it.
type referenceQueue struct {
	policy     string // name of a Policy
	waiting    []referenceTicket
	grantCount uint64            // grants so far
	lastGrants map[uint32]uint64 // value of grantCount at the last grant, by team
	slots      int               // free slots
}

// pick grants a free slot to a ticket and returns it, or false without a free slot or a ticket. Of each
// team the ticket of lowest rank is a candidate, and the policy decides between the candidates.
func (q *referenceQueue) pick() (referenceTicket, bool) {
	if len(q.waiting) == 0 || q.slots == 0 {
		return referenceTicket{}, false
	}
	heads := map[uint32]referenceTicket{}
	for _, ticket := range q.waiting {
		head, ok := heads[ticket.team]
		if !ok || cmp.Or(ticket.rank.Compare(head.rank), cmp.Compare(ticket.id, head.id)) < 0 {
			heads[ticket.team] = ticket
		}
	}
	var list []referenceTicket
	for team, ticket := range heads {
		ticket.lastGrant = q.lastGrants[team]
		list = append(list, ticket)
	}
	slices.SortFunc(list, func(a, b referenceTicket) int {
		if q.policy == "fifo" {
			return cmp.Or(a.arrivedAt.Compare(b.arrivedAt), cmp.Compare(a.lastGrant, b.lastGrant), cmp.Compare(a.team, b.team))
		}
		return cmp.Or(cmp.Compare(a.lastGrant, b.lastGrant), cmp.Compare(a.team, b.team))
	})
	best := list[0]
	q.waiting = slices.DeleteFunc(q.waiting, func(ticket referenceTicket) bool { return ticket.id == best.id })
	q.grantCount++
	q.lastGrants[best.team] = q.grantCount
	q.slots--
	return best, true
}

// newTestShard returns a shard that is ready to grant the slots of some targets, and the numbers of
// the teams.
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

// checkInvariants checks what must hold after each event: no ticket is lost or both waits and has a
// slot, no target runs more requests than it has slots, and no slot is free while a ticket waits.
func checkInvariants(t *rapid.T, s *Shard) {
	running := map[uint32]int{}
	for key, g := range s.grants {
		running[g.target.number]++
		require.Nil(t, s.tickets[key], "ticket waits although it has a slot")
	}
	for number, target := range s.targets {
		require.Equal(t, running[number], target.running)
		require.LessOrEqual(t, target.running, target.slots, "more requests run on a target than it has slots")
	}
	queued := 0
	for _, tm := range s.teams {
		queued += len(tm.queue)
		require.Equal(t, len(tm.queue) > 0, tm.heapIndex >= 0, "a team should be in the heap of waiting teams if and only if it has tickets")
	}
	require.Equal(t, len(s.tickets), queued, "the queues of the teams and the list of tickets differ in length")
	if s.recovered && len(s.tickets) > 0 {
		require.Empty(t, s.free, "slot is free while a ticket waits")
	}
}

// TestGrantOrderMatchesReference guards against errors in the upkeep of a shard's heaps, by which
// tickets are granted in another order than the policy demands.
func TestGrantOrderMatchesReference(t *testing.T) {
	for _, policy := range []Policy{FIFOPolicy(), RoundRobinPolicy()} {
		t.Run(policy.Name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { compareWithReference(t, policy) })
		})
	}
}

// compareWithReference makes tickets arrive and running requests end at random, both in a Shard and in
// a referenceQueue, and checks after each event that both grant the same tickets in the same order.
func compareWithReference(t *rapid.T, policy Policy) {
	const targets, slots = 2, 2
	s, teams := newTestShard(policy, targets, slots, 4)
	reference := &referenceQueue{policy: policy.Name, lastGrants: map[uint32]uint64{}, slots: targets * slots}
	host := netip.MustParseAddrPort("10.0.0.9:1")
	now := testStart
	var running []uint64
	nextID := uint64(0)
	for range rapid.IntRange(1, 150).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "gap")) * time.Millisecond)
		if len(running) > 0 && rapid.Bool().Draw(t, "end") {
			index := rapid.IntRange(0, len(running)-1).Draw(t, "which")
			s.End(now, host, &wire.RequestEnd{ID: running[index], Shard: s.config.Shard, Cost: 10})
			running = slices.Delete(running, index, index+1)
			reference.slots++
		} else {
			nextID++
			team := teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")]
			class := uint8(rapid.IntRange(0, 2).Draw(t, "class"))
			s.Submit(now, host, &wire.Ticket{ID: nextID, Shard: s.config.Shard, Team: team, Urgency: class})
			reference.waiting = append(reference.waiting, referenceTicket{id: nextID, team: team, arrivedAt: now, rank: now.Add(classPenalty(class))})
		}
		s.GrantFreeSlots(now)
		got := grantedIDs(s)
		var want []uint64
		for ticket, ok := reference.pick(); ok; ticket, ok = reference.pick() {
			want = append(want, ticket.id)
		}
		require.Equal(t, want, got)
		running = append(running, got...)
		checkInvariants(t, s)
	}
}

// grantedIDs drains the outgoing messages of a shard and returns the IDs of the tickets that they grant.
func grantedIDs(s *Shard) []uint64 {
	var list []uint64
	for _, outgoing := range s.Drain() {
		if g, ok := outgoing.Message.(*wire.Grant); ok {
			list = append(list, g.ID)
		}
	}
	return list
}

// serviceRecord records exactly how much service each team has received. A shard can only estimate
// this while requests run.
type serviceRecord struct {
	received map[uint32]float64         // cost of the ended requests, by team
	running  map[uint64]*runningRequest // by request ID
}

// runningRequest is a request that runs on a simulated target.
type runningRequest struct {
	team      uint32
	cost      float64
	startedAt time.Time
}

// slotRate is how fast a simulated slot serves a request, in cost units per second.
const slotRate = 100.0

// servedBy returns how much service the request has received by the given time, in cost units.
func (request *runningRequest) servedBy(now time.Time) float64 {
	return min(request.cost, now.Sub(request.startedAt).Seconds()*slotRate)
}

// TestServiceDifferenceStaysWithinTwoCostliestRequests guards against unfair shares that come from
// costs which the shard learns only when requests end: a team with costly requests could receive more
// service than others. Teams of equal weight always have requests waiting at one shard. For each two
// of them, the difference between the service that they received may vary by no more than twice the
// cost of the costliest request.
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

// maxServiceDrift simulates teams that always have requests waiting, for 20 s after one second of
// warm-up. For each two teams it takes the difference between the service that they received, and how far
// this varies from its minimum to its maximum; it returns the largest such range. Costs are random up to
// the team's entry in maxCosts.
func maxServiceDrift(t *rapid.T, maxCosts []int, seed uint64) float64 {
	s, teams := newTestShard(FairPolicy(), 2, 4, len(maxCosts))
	host := netip.MustParseAddrPort("10.0.0.9:1")
	served := &serviceRecord{received: map[uint32]float64{}, running: map[uint64]*runningRequest{}}
	now := testStart
	nextID, rngState := uint64(0), seed|1
	random := func(maxValue int) int {
		rngState ^= rngState << 13
		rngState ^= rngState >> 7
		rngState ^= rngState << 17
		return 1 + int(rngState%uint64(maxValue))
	}
	minDifference, maxDifference := map[[2]uint32]float64{}, map[[2]uint32]float64{}
	widest := 0.0
	for step := range 2100 {
		now = now.Add(10 * time.Millisecond)
		for _, id := range slices.Sorted(keysOf(served.running)) {
			request := served.running[id]
			if request.servedBy(now) >= request.cost {
				delete(served.running, id)
				served.received[request.team] += request.cost
				s.End(now, host, &wire.RequestEnd{ID: id, Shard: s.config.Shard, Cost: uint64(request.cost)})
			}
		}
		for _, team := range teams {
			for len(s.ensureTeam(team).queue) < 10 {
				nextID++
				s.Submit(now, host, &wire.Ticket{ID: nextID, Shard: s.config.Shard, Team: team, Urgency: ClassNormal, Fixed: true})
			}
		}
		if step%5 == 0 {
			s.Tick(now)
		}
		s.GrantFreeSlots(now)
		for _, outgoing := range s.Drain() {
			if g, ok := outgoing.Message.(*wire.Grant); ok {
				team := s.grants[Key{Host: host, ID: g.ID}].team.number
				served.running[g.ID] = &runningRequest{team: team, cost: float64(random(maxCosts[slices.Index(teams, team)])), startedAt: now}
			}
		}
		checkInvariants(t, s)
		if step < 100 {
			continue
		}
		for i, a := range teams {
			for _, b := range teams[i+1:] {
				pair := [2]uint32{a, b}
				difference := served.total(now, a) - served.total(now, b)
				if step == 100 {
					minDifference[pair], maxDifference[pair] = difference, difference
				}
				minDifference[pair], maxDifference[pair] = min(minDifference[pair], difference), max(maxDifference[pair], difference)
				widest = max(widest, maxDifference[pair]-minDifference[pair])
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
	for _, request := range r.running {
		if request.team == team {
			total += request.servedBy(now)
		}
	}
	return total
}
