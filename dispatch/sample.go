package dispatch

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/wire"
)

// sampleSlots is the number of slots of each target of a Sample.
const sampleSlots = 4

// Sample is a shard with synthetic load, used to measure the cost of its operations.
type Sample struct {
	Shard   *Shard
	now     time.Time      // simulated time
	host    netip.AddrPort // submits all tickets
	next    uint64         // number of the last ticket
	teams   []uint32       // numbers of the teams
	running []uint64       // tickets that hold a slot, oldest first
}

// NewSample returns a Sample with the given numbers of targets, teams and waiting tickets. All
// slots are in use.
func NewSample(targets, teams, waiting int) *Sample {
	set := sampleSet(targets, teams, waiting)
	view := catalog.NewView(set)
	now := time.Unix(1_700_000_000, 0)
	service := view.ServiceNumber("model")
	config := Config{
		Shard: wire.Shard{Service: service, Place: view.PlaceNumber("here")}, Incarnation: 1, Policy: FairPolicy(),
	}
	s := &Sample{
		Shard: NewShard(now, config, ledger.NewBook(), nil), now: now,
		host: netip.MustParseAddrPort("10.0.0.1:1"),
	}
	s.Shard.Configure(now, view)
	for n := range teams {
		s.teams = append(s.teams, view.TeamNumber(sampleTeamName(n)))
	}
	s.Shard.Tick(now)
	for range targets*sampleSlots + waiting {
		s.submit()
	}
	s.Shard.Tick(now)
	s.recordGrants()
	return s
}

// sampleTeamName returns the name of the n-th team.
func sampleTeamName(n int) string { return fmt.Sprintf("team%d", n) }

// sampleSet returns a configuration of one service with the given targets and teams and room for
// the tickets.
func sampleSet(targets, teams, waiting int) *catalog.Set {
	set := catalog.NewSet()
	set.Services["model"] = catalog.Service{Kind: catalog.KindModel, MaxWaiting: 2 * (waiting + 1), MaxWaitingPerTeam: 2 * (waiting + 1)}
	set.Places["here"] = catalog.Place{}
	for n := range teams {
		set.Teams[sampleTeamName(n)] = catalog.Team{}
	}
	for n := range targets {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
		set.Targets[fmt.Sprintf("t%d", n)] = catalog.Target{Service: "model", Place: "here", Address: address, Slots: sampleSlots}
	}
	set.Seal(1)
	return set
}

// submit enters the next ticket; teams and urgencies take turns.
func (s *Sample) submit() {
	s.next++
	team := s.teams[s.next%uint64(len(s.teams))]
	s.Shard.Submit(s.now, s.host, &wire.Ticket{ID: s.next, Shard: s.Shard.config.Shard, Team: team, Urgency: uint8(s.next % 3)})
}

// recordGrants drains the messages of the shard, records the grants among them and returns their
// number.
func (s *Sample) recordGrants() int {
	grants := 0
	for _, o := range s.Shard.Drain() {
		if g, ok := o.Message.(*wire.Grant); ok {
			s.running = append(s.running, g.ID)
			grants++
		}
	}
	return grants
}

// SubmitEndGrant submits a ticket, ends the oldest running request and grants the slot that becomes free.
// It returns the number of grants, which is 1.
func (s *Sample) SubmitEndGrant() int {
	s.now = s.now.Add(time.Millisecond)
	id := s.running[0]
	s.running = s.running[1:]
	s.submit()
	s.Shard.End(s.now, s.host, &wire.RequestEnd{ID: id, Shard: s.Shard.config.Shard, Cost: 100 + id%50, TokenInterval: 1})
	s.Shard.GrantFreeSlots(s.now)
	return s.recordGrants()
}

// Tick advances the time by 50 ms and runs the periodic work of the shard.
func (s *Sample) Tick() {
	s.now = s.now.Add(50 * time.Millisecond)
	s.Shard.Tick(s.now)
	s.recordGrants()
}
