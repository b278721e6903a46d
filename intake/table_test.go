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
	former  = netip.MustParseAddrPort("10.0.0.1:1")
	present = netip.MustParseAddrPort("10.0.0.2:1")
	engine  = uint32(7)
)

// sink keeps what a table sends.
type sink struct {
	owner netip.AddrPort
	sent  map[netip.AddrPort][]wire.Message
}

func newTable() (*intake.Table, *sink) {
	s := &sink{owner: present, sent: map[netip.AddrPort][]wire.Message{}}
	return intake.NewTable(intake.Seams{
		Owner: func(wire.Shard) (netip.AddrPort, bool) { return s.owner, true },
		Home:  func(uint32) (uint32, bool) { return shard.Place, true },
		Send:  func(to netip.AddrPort, m wire.Message) { s.sent[to] = append(s.sent[to], m) },
	}, 0), s
}

// known returns the highest incarnation that a host was told in a resync.
func (s *sink) known(host netip.AddrPort) uint64 {
	highest := uint64(0)
	for _, m := range s.sent[host] {
		if r, ok := m.(*wire.Resync); ok {
			highest = max(highest, r.Known)
		}
	}
	return highest
}

// TestOwnerBehindIsToldTheIncarnation has an owner whose incarnation is below one
// that the entry heard of: two hosts took the shard within the same second, and
// what the entry told the new owner came before it took the shard. Its grants are
// of no use until it is told again.
func TestOwnerBehindIsToldTheIncarnation(t *testing.T) {
	table, s := newTable()
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	table.Observe(shard, 20)
	table.Granted(now, present, &wire.Grant{ID: id, Shard: shard, Incarnation: 19, Target: engine})
	starts, _, _ := table.Drain()
	require.Empty(t, starts)
	require.Equal(t, uint64(20), s.known(present))
	table.Granted(now, present, &wire.Grant{ID: id, Shard: shard, Incarnation: 21, Target: engine})
	starts, _, _ = table.Drain()
	require.Len(t, starts, 1)
}

// TestFormerOwnerIsNotToldTheIncarnation has a host grant slots that is no longer
// the owner. It must not be led to act with a newer incarnation.
func TestFormerOwnerIsNotToldTheIncarnation(t *testing.T) {
	table, s := newTable()
	now := time.Unix(1000, 0)
	id := table.Submit(now, intake.Request{Service: shard.Service})
	table.Observe(shard, 20)
	table.Granted(now, former, &wire.Grant{ID: id, Shard: shard, Incarnation: 19, Target: engine})
	starts, _, _ := table.Drain()
	require.Empty(t, starts)
	require.Zero(t, s.known(former))
}
