package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/knownred"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/quarantine"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// TestTraitsAreSavedAgainAfterTheStoreComesBackFromACopy guards against hosts that start later and don't know a trait
// that is held, since its row was lost, or hold one that was released, since its row is back.
func TestTraitsAreSavedAgainAfterTheStoreComesBackFromACopy(t *testing.T) {
	knownred.Skip(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := standin.New(standin.NewConfig(), l)
	ctx, cancel := context.WithCancel(context.Background())
	ended := store.Run(ctx)
	g := newIdleGateway(t)
	g.ctx = ctx
	g.client = platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort())
	s := newSavedTraits(g)
	saved := func() int {
		list, err := g.client.HeldTraits() // shows the gateway the era as well
		require.NoError(t, err)
		return len(list)
	}
	require.Zero(t, saved())
	without := store.Copy()
	now := time.Now()
	for n := range 3 {
		at := now.Add(time.Duration(n-3) * time.Second)
		g.applyCrash(now, &quarantine.Report{Target: "a", At: at, SentAt: at.Add(-500 * time.Millisecond), Traits: []quarantine.Trait{7}}, noPeer)
	}
	g.core.toSave[7] = now.Add(-saveDelay)
	s.sync()
	require.Equal(t, 1, saved())
	with := store.Copy()

	store.Restore(without)
	require.Zero(t, saved())
	s.sync()
	require.Equal(t, 1, saved(), "the row was lost")

	g.core.noteForRemoval(7)
	s.sync()
	require.Zero(t, saved())
	store.Restore(with)
	require.Equal(t, 1, saved())
	s.sync()
	require.Zero(t, saved(), "the row is back")
	cancel()
	<-ended
}
