package intake_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/intake"
	"github.com/cassiachute/cassiachute/wire"
)

var (
	shard   = wire.Shard{Service: 1, Place: 1}
	formerOwner  = netip.MustParseAddrPort("10.0.0.1:1")
	currentOwner = netip.MustParseAddrPort("10.0.0.2:1")
	targetID  = uint32(7)
)

// tableOutput keeps what a table sends.
type tableOutput struct {
	owner netip.AddrPort
	unreachable   map[uint32]bool // places that the entry can't reach
	sent  map[netip.AddrPort][]wire.Message
}

func newTable() (*intake.Table, *tableOutput) {
	s := &tableOutput{owner: currentOwner, sent: map[netip.AddrPort][]wire.Message{}}
	return intake.NewTable(intake.Seams{
		Owner: func(shard wire.Shard) (netip.AddrPort, bool) { return s.owner, !s.unreachable[shard.Place] },
		Home:  func(uint32) (uint32, bool) { return shard.Place, true },
		Send:  func(to netip.AddrPort, m wire.Message) { s.sent[to] = append(s.sent[to], m) },
	}, 0), s
}

// highestKnown returns the highest incarnation that a host was told in a resync.
func (s *tableOutput) highestKnown(host netip.AddrPort) uint64 {
	highest := uint64(0)
	for _, m := range s.sent[host] {
		if r, ok := m.(*wire.Resync); ok {
			highest = max(highest, r.Known)
		}
	}
	return highest
}

// TestOwnerWithOldIncarnationIsResynced has an owner whose incarnation is below one
// that the entry heard of: two hosts took the shard within the same second, and
// what the entry told the new owner came before it took the shard. Its grants are
// of no use until it is told again.
func TestOwnerWithOldIncarnationIsResynced(t *testing.T) {
	table, s := newTable()
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	table.Observe(shard, 20)
	table.Granted(now, currentOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 19, Target: targetID})
	starts, _, _ := table.Drain()
	require.Empty(t, starts)
	require.Equal(t, uint64(20), s.highestKnown(currentOwner))
	table.Granted(now, currentOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 21, Target: targetID})
	starts, _, _ = table.Drain()
	require.Len(t, starts, 1)
}

// TestFormerOwnerIsNotResynced has a host grant slots that is no longer
// the owner. It must not be led to act with a newer incarnation.
func TestFormerOwnerIsNotResynced(t *testing.T) {
	table, s := newTable()
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	table.Observe(shard, 20)
	table.Granted(now, formerOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 19, Target: targetID})
	starts, _, _ := table.Drain()
	require.Empty(t, starts)
	require.Zero(t, s.highestKnown(formerOwner))
}

// TestTicketForUnreachablePlaceReturnsHomeWithNoHops has the owner of a shard move a ticket
// to a place that the entry can't reach yet, as after a cut that the owners overcame
// before the entry did. The ticket goes home each time, and may move as often as at
// first once the entry reaches the place.
func TestTicketForUnreachablePlaceReturnsHomeWithNoHops(t *testing.T) {
	const far, rounds = 2, 10
	table, s := newTable()
	s.unreachable = map[uint32]bool{far: true}
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	for range rounds {
		table.Moved(now, &wire.Move{ID: id, Shard: shard, Place: far})
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

// tickets returns the tickets that a host was sent.
func (s *tableOutput) tickets(host netip.AddrPort) []*wire.Ticket {
	var list []*wire.Ticket
	for _, m := range s.sent[host] {
		if ticket, ok := m.(*wire.Ticket); ok {
			list = append(list, ticket)
		}
	}
	return list
}
