package mesh_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/mesh"
	"github.com/cassiachute/cassiachute/wire"
)

// loopback is the loopback address with port 0, for which the system chooses a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// TestSocketDeliversHostState checks that a state report which one socket sends arrives at another
// with the same content.
func TestSocketDeliversHostState(t *testing.T) {
	received := make(chan *wire.HostState, 1)
	rejected := make(chan error, 1)
	receiver, err := mesh.NewSocket(loopback, mesh.Events{
		HostStateReceived: func(_ netip.AddrPort, report *wire.HostState) { received <- report },
		Rejected:          func(_ netip.AddrPort, err error) { rejected <- err },
	})
	require.NoError(t, err)
	sender, err := mesh.NewSocket(loopback, mesh.Events{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := receiver.Run(ctx)
	state := &wire.HostState{
		Boot: 1, Number: 2, Revision: 3, Place: "p",
		Loads:      []wire.TargetLoad{{Target: "i-1", PromptTokens: 4, Running: 5, MemoryTokens: 6}},
		Demands:    []wire.TeamDemand{{Service: "s", Team: "t", Received: 7, Asked: 8}},
		HeldTraits: []wire.HeldTrait{{Trait: 9, Incidents: 1}},
	}
	require.NoError(t, sender.Send(state, []netip.AddrPort{receiver.Address()}))
	select {
	case got := <-received:
		require.Equal(t, state, got)
	case <-time.After(10 * time.Second):
		t.Fatal("no state report received")
	}
	cancel()
	<-done
}

// TestAsk checks that Ask returns the reply of the host that it queries, and ErrNoAnswer if nothing
// listens at the address.
func TestAsk(t *testing.T) {
	responder, err := mesh.NewResponder(netip.MustParseAddrPort("127.0.0.3:17461"), func(q *wire.Query) *wire.Reply {
		return &wire.Reply{Revision: q.Revision + 1, Age: 5, Configuration: []byte("c")}
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := responder.Run(ctx)
	reply, err := mesh.Ask(ctx, netip.MustParseAddrPort("127.0.0.3:17461"), &wire.Query{Revision: 6}, mesh.QueryTimeout)
	require.NoError(t, err)
	require.Equal(t, uint64(7), reply.Revision)
	require.Equal(t, "c", string(reply.Configuration))
	_, err = mesh.Ask(ctx, netip.MustParseAddrPort("127.0.0.3:1"), &wire.Query{}, mesh.QueryTimeout)
	require.ErrorIs(t, err, mesh.ErrNoAnswer)
	cancel()
	<-done
}

// TestAskEndsWithContext guards against a slow shutdown: a process that was told to stop while it
// queried a silent host went on waiting until the query timed out. Ask must return as soon as its
// context is cancelled.
func TestAskEndsWithContext(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := mesh.Ask(ctx, silent.Addr().(*net.TCPAddr).AddrPort(), &wire.Query{}, time.Minute)
		done <- err
	}()
	conn, err := silent.Accept()
	require.NoError(t, err)
	defer conn.Close()
	cancel()
	select {
	case err := <-done:
		require.ErrorIs(t, err, mesh.ErrNoAnswer)
	case <-time.After(10 * time.Second):
		require.Fail(t, "Ask did not return after its context ended")
	}
}
