package dispatch

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/wire"
)

const sampleSlots = 4

// Sample is a shard filled for measurements of its cost.
type Sample struct {
	Shard *Shard
	now   time.Time
	host  netip.AddrPort
	next  uint64
	teams []uint32
	held  []uint64
}

// NewSample returns a shard with so many targets, teams and waiting tickets,
// all of whose slots are in use.
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
		s.teams = append(s.teams, view.TeamNumber(sampleTeam(n)))
	}
	s.Shard.Tick(now)
	for range targets*sampleSlots + waiting {
		s.submit()
	}
	s.Shard.Tick(now)
	s.take()
	return s
}

func sampleTeam(n int) string { return fmt.Sprintf("team%d", n) }

func sampleSet(targets, teams, waiting int) *catalog.Set {
	set := catalog.NewSet()
	set.Services["model"] = catalog.Service{Kind: catalog.KindModel, Queue: 2 * (waiting + 1), Waiting: 2 * (waiting + 1)}
	set.Places["here"] = catalog.Place{}
	for n := range teams {
		set.Teams[sampleTeam(n)] = catalog.Team{}
	}
	for n := range targets {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
		set.Targets[fmt.Sprintf("t%d", n)] = catalog.Target{Service: "model", Place: "here", Address: address, Slots: sampleSlots}
	}
	set.Seal(1)
	return set
}

func (s *Sample) submit() {
	s.next++
	team := s.teams[s.next%uint64(len(s.teams))]
	s.Shard.Submit(s.now, s.host, &wire.Ticket{ID: s.next, Shard: s.Shard.config.Shard, Team: team, Urgency: uint8(s.next % 3)})
}

// take notes the grants that the shard sent.
func (s *Sample) take() int {
	grants := 0
	for _, o := range s.Shard.Drain() {
		if g, ok := o.Message.(*wire.Grant); ok {
			s.held = append(s.held, g.ID)
			grants++
		}
	}
	return grants
}

// Turn ends one request, enters a new ticket and grants the free slot. It
// returns the number of grants, which is 1.
func (s *Sample) Turn() int {
	s.now = s.now.Add(time.Millisecond)
	id := s.held[0]
	s.held = s.held[1:]
	s.submit()
	s.Shard.End(s.now, s.host, &wire.End{ID: id, Shard: s.Shard.config.Shard, Cost: 100 + id%50, TokenInterval: 1})
	s.Shard.Pick(s.now)
	return s.take()
}

// Tick runs the systems that run each tick.
func (s *Sample) Tick() {
	s.now = s.now.Add(50 * time.Millisecond)
	s.Shard.Tick(s.now)
	s.take()
}
