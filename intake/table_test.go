package intake_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/intake"
	"github.com/cassiachute/cassiachute/wire"
)

// A shard, its owners and a target of it.
var (
	shard        = wire.Shard{Service: 1, Place: 1}
	formerOwner  = netip.MustParseAddrPort("10.0.0.1:1")
	currentOwner = netip.MustParseAddrPort("10.0.0.2:1")
	targetID     = uint32(7)
)

// tableOutput records the messages that a table sends and stands for the owners of shards.
type tableOutput struct {
	owner       netip.AddrPort
	unreachable map[uint32]bool // places without a reachable owner
	sent        map[netip.AddrPort][]wire.Message
}

// newTable returns an empty table and the record of what it sends.
func newTable() (*intake.Table, *tableOutput) {
	s := &tableOutput{owner: currentOwner, sent: map[netip.AddrPort][]wire.Message{}}
	return intake.NewTable(intake.Dependencies{
		Owner: func(shard wire.Shard) (netip.AddrPort, bool) { return s.owner, !s.unreachable[shard.Place] },
		Home:  func(uint32) (uint32, bool) { return shard.Place, true },
		Send:  func(to netip.AddrPort, m wire.Message) { s.sent[to] = append(s.sent[to], m) },
	}, 0), s
}

// highestKnown returns the highest incarnation in the resyncs sent to a host.
func (s *tableOutput) highestKnown(host netip.AddrPort) uint64 {
	highest := uint64(0)
	for _, m := range s.sent[host] {
		if r, ok := m.(*wire.Resync); ok {
			highest = max(highest, r.Known)
		}
	}
	return highest
}

// TestOwnerWithOldIncarnationIsResynced guards against an owner whose grants stay
// stale. When two hosts take a shard within the same second, the entry's resync may
// reach the new owner before it took the shard, and is lost. The first stale grant
// must make the entry send another resync.
func TestOwnerWithOldIncarnationIsResynced(t *testing.T) {
	table, s := newTable()
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	table.ObserveIncarnation(shard, 20)
	table.HandleGrant(now, currentOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 19, Target: targetID})
	starts, _, _ := table.TakeCommands()
	require.Empty(t, starts)
	require.Equal(t, uint64(20), s.highestKnown(currentOwner))
	table.HandleGrant(now, currentOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 21, Target: targetID})
	starts, _, _ = table.TakeCommands()
	require.Len(t, starts, 1)
}

// TestFormerOwnerIsNotResynced checks that a host which grants slots but is no longer
// the owner gets no resync: it would go on with a newer incarnation.
func TestFormerOwnerIsNotResynced(t *testing.T) {
	table, s := newTable()
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	table.ObserveIncarnation(shard, 20)
	table.HandleGrant(now, formerOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 19, Target: targetID})
	starts, _, _ := table.TakeCommands()
	require.Empty(t, starts)
	require.Zero(t, s.highestKnown(formerOwner))
}

// TestTicketForUnreachablePlaceReturnsHomeWithNoHops has an owner move a ticket to a
// place that the entry can't reach, as when the owners reconnect after a network
// partition before the entry does. Each time the ticket must return to its home shard
// with a hop count of 0, so that it can still move once the place is reachable.
func TestTicketForUnreachablePlaceReturnsHomeWithNoHops(t *testing.T) {
	const far, rounds = 2, 10
	table, s := newTable()
	s.unreachable = map[uint32]bool{far: true}
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	for range rounds {
		table.HandleMoveTicket(now, &wire.MoveTicket{ID: id, Shard: shard, Place: far})
		now = now.Add(time.Second)
		table.Tick(now)
	}
	tickets := s.tickets(currentOwner)
	require.Len(t, tickets, 1+rounds)
	for _, m := range tickets {
		require.Equal(t, shard, m.Shard)
		require.Zero(t, m.Hops)
	}
}

// tickets returns the tickets sent to a host.
func (s *tableOutput) tickets(host netip.AddrPort) []*wire.Ticket {
	var list []*wire.Ticket
	for _, m := range s.sent[host] {
		if ticket, ok := m.(*wire.Ticket); ok {
			list = append(list, ticket)
		}
	}
	return list
}
