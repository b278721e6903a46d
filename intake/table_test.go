package intake_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/intake"
	"github.com/cassiachute/cassiachute/wire"
)

// The shard of the tests (the targets of one service in one place), the hosts that grant its slots,
// and one of its targets.
var (
	shard        = wire.Shard{Service: 1, Place: 1}
	formerOwner  = netip.MustParseAddrPort("10.0.0.1:1")
	currentOwner = netip.MustParseAddrPort("10.0.0.2:1")
	targetID     = uint32(7)
)

// tableOutput records the messages that a table sends, and tells the table which host owns a shard.
type tableOutput struct {
	owner       netip.AddrPort                    // of all shards
	unreachable map[uint32]bool                   // places without a reachable owner
	sent        map[netip.AddrPort][]wire.Message // by receiving host
}

// newTable returns an empty table whose shards belong to currentOwner, and the record of what it sends.
func newTable() (*intake.Table, *tableOutput) {
	output := &tableOutput{owner: currentOwner, sent: map[netip.AddrPort][]wire.Message{}}
	return intake.NewTable(intake.Dependencies{
		Owner: func(shard wire.Shard) (netip.AddrPort, bool) { return output.owner, !output.unreachable[shard.Place] },
		Home:  func(uint32) (uint32, bool) { return shard.Place, true },
		Send:  func(to netip.AddrPort, m wire.Message) { output.sent[to] = append(output.sent[to], m) },
	}, 0), output
}

// highestKnown returns the highest incarnation in the resyncs sent to a host, 0 if there are none.
func (output *tableOutput) highestKnown(host netip.AddrPort) uint64 {
	highest := uint64(0)
	for _, m := range output.sent[host] {
		if r, ok := m.(*wire.Resync); ok {
			highest = max(highest, r.Known)
		}
	}
	return highest
}

// TestOwnerWithOldIncarnationIsResynced guards against an owner that goes on granting slots under
// an older incarnation than the entry host has seen, so that the entry host ignores all its grants.
// When two hosts take over a shard within the same second, the entry host's resync may reach the new
// owner before that has taken the shard, and is lost. The first outdated grant must make the entry
// host send another resync.
func TestOwnerWithOldIncarnationIsResynced(t *testing.T) {
	table, output := newTable()
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	table.ObserveIncarnation(shard, 20)
	table.HandleGrant(now, currentOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 19, Target: targetID})
	starts, _, _ := table.TakeCommands()
	require.Empty(t, starts)
	require.Equal(t, uint64(20), output.highestKnown(currentOwner))
	table.HandleGrant(now, currentOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 21, Target: targetID})
	starts, _, _ = table.TakeCommands()
	require.Len(t, starts, 1)
}

// TestFormerOwnerIsNotResynced guards against a resync sent to a host that still grants slots but no
// longer owns the shard: the resync would make it go on granting, under a newer incarnation.
func TestFormerOwnerIsNotResynced(t *testing.T) {
	table, output := newTable()
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	table.ObserveIncarnation(shard, 20)
	table.HandleGrant(now, formerOwner, &wire.Grant{ID: id, Shard: shard, Incarnation: 19, Target: targetID})
	starts, _, _ := table.TakeCommands()
	require.Empty(t, starts)
	require.Zero(t, output.highestKnown(formerOwner))
}

// TestTicketForUnreachablePlaceReturnsHomeWithNoHops guards against tickets that use up
// their allowed moves between places on moves that fail. After a network partition the owners may
// reconnect before the entry host does, and move a ticket to a place that the entry host can't reach.
// Each time the ticket must return to its home shard with a hop count of 0, so that it can still move
// once the place is reachable.
func TestTicketForUnreachablePlaceReturnsHomeWithNoHops(t *testing.T) {
	const unreachablePlace, rounds = 2, 10
	table, output := newTable()
	output.unreachable = map[uint32]bool{unreachablePlace: true}
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	for range rounds {
		table.HandleMoveTicket(now, &wire.MoveTicket{ID: id, Shard: shard, Place: unreachablePlace})
		now = now.Add(time.Second)
		table.Tick(now)
	}
	tickets := output.tickets(currentOwner)
	require.Len(t, tickets, 1+rounds)
	for _, m := range tickets {
		require.Equal(t, shard, m.Shard)
		require.Zero(t, m.Hops)
	}
}

// tickets returns the tickets sent to a host, in order.
func (output *tableOutput) tickets(host netip.AddrPort) []*wire.Ticket {
	var list []*wire.Ticket
	for _, m := range output.sent[host] {
		if ticket, ok := m.(*wire.Ticket); ok {
			list = append(list, ticket)
		}
	}
	return list
}
