package publish_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/publish"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

func newPlatform(t *testing.T) (*standin.Platform, *publish.Store) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := standin.New(standin.NewConfig(), l)
	ctx, cancel := context.WithCancel(context.Background())
	done := p.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p, publish.NewStore(platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort()), time.Now)
}

func putTeam(name string) publish.Change {
	return func(set *catalog.Set) error { return set.Put(catalog.Teams, name, []byte(`{}`)) }
}

func TestPublishersAtOnceAllSucceed(t *testing.T) {
	_, store := newPlatform(t)
	const publishers = 4
	var all sync.WaitGroup
	for n := range publishers {
		all.Go(func() {
			_, err := store.Publish(fmt.Sprint("operator", n), putTeam(fmt.Sprint("team", n)))
			require.NoError(t, err)
		})
	}
	all.Wait()
	set, err := store.Newest(catalog.NewSet())
	require.NoError(t, err)
	require.Equal(t, uint64(publishers), set.Revision)
	require.Len(t, set.Teams, publishers)
	entries, err := store.Audit(0, 10)
	require.NoError(t, err)
	require.Len(t, entries, publishers)
	former, err := store.Revision(2)
	require.NoError(t, err)
	require.Len(t, former.Teams, 2)
}

func TestLostReplyIsSettled(t *testing.T) {
	p, store := newPlatform(t)
	_, err := store.Publish("ana", putTeam("first"))
	require.NoError(t, err)
	p.SetFaults(standin.Faults{Lose: 3})
	set, err := store.Publish("ana", putTeam("second"))
	if err != nil {
		require.ErrorIs(t, err, platform.ErrUnavailable)
		p.SetFaults(standin.Faults{})
		set, err = store.Publish("ana", putTeam("second"))
	}
	require.NoError(t, err)
	require.Equal(t, uint64(2), set.Revision)
}

func TestStepsAreReadInPlaceOfSnapshots(t *testing.T) {
	p, store := newPlatform(t)
	first, err := store.Publish("ana", putTeam("first"))
	require.NoError(t, err)
	for n := range 5 {
		_, err = store.Publish("ana", putTeam(fmt.Sprint("team", n)))
		require.NoError(t, err)
	}
	before := p.Counts().Reads
	set, err := store.Newest(first)
	require.NoError(t, err)
	require.Equal(t, uint64(6), set.Revision)
	require.Equal(t, uint64(6), p.Counts().Reads-before)
}
