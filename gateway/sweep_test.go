package gateway

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/origin"
	"github.com/cassiachute/cassiachute/platform"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// Hosts that are killed leave the rows of their streams. They must not stay for good, and none may go that was written
// since the last look.
func TestRowsThatKilledHostsLeftAreRemoved(t *testing.T) {
	g := newIdleGateway(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	standin.New(standin.NewConfig(), l).Run(ctx)
	g.ctx, g.client = ctx, platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort())
	defer g.client.Close()
	put := func(keys ...origin.Key) {
		for _, key := range keys {
			require.NoError(t, g.client.PutOrigins(g.settings.Place, origin.Batch{Puts: []origin.Stream{{Key: key, Version: "v1"}}}))
		}
	}
	left := func() (keys []origin.Key) {
		rows, _, err := g.client.Origins(g.settings.Place, "")
		require.NoError(t, err)
		for _, row := range rows {
			keys = append(keys, row.Key)
		}
		return keys
	}
	w := &originSweep{gateway: g}
	put(1, 2, 3)
	require.Equal(t, sweepPeriod, w.sweep())
	require.Equal(t, []origin.Key{1, 2, 3}, left())
	put(3, 4)
	w.sweep()
	require.Equal(t, []origin.Key{3, 4}, left())
	w.sweep()
	require.Empty(t, left())
	w.sweep()
	reads, _ := g.client.Calls()
	w.sweep()
	after, _ := g.client.Calls()
	require.Equal(t, reads, after, "nothing to look for while no service is mixed")
}

// In a large fleet the batches of all hosts have to stay within the writes that the store takes, in all and for the part of
// a data centre, which handles 200 a second.
func TestBatchesStayWithinTheWritesOfTheStore(t *testing.T) {
	for _, c := range []struct {
		hosts, places int
		limit         float64 // of all writes, per second
	}{{7, 3, 400}, {64, 6, 1200}, {295, 6, 3200}, {390, 16, 3200}} {
		g := newIdleGateway(t)
		g.peers.byAddress = map[netip.AddrPort]*peerState{}
		for n := 1; n < c.hosts; n++ {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
			g.peers.byAddress[address] = &peerState{alive: true, place: "place" + strconv.Itoa(n%c.places+1)}
		}
		rate := 1 / g.batchInterval().Seconds()
		require.Less(t, rate*float64(c.hosts), c.limit/2, "%d hosts", c.hosts)
		require.Less(t, rate*float64(c.hosts/c.places+1), 101.0, "%d hosts", c.hosts)
	}
}
