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

// startPlatform runs a simulated platform until the test ends, and returns it with a
// Store that uses it.
func startPlatform(t *testing.T) (*standin.Platform, *publish.Store) {
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

// putTeam returns a change that adds a team.
func putTeam(name string) publish.ChangeFunc {
	return func(set *catalog.Set) error { return set.Put(catalog.Teams, name, []byte(`{}`)) }
}

// TestConcurrentPublishersAllSucceed checks that publishers who compete for the head
// row retry until each has its own revision and audit record.
func TestConcurrentPublishersAllSucceed(t *testing.T) {
	_, store := startPlatform(t)
	const publishers = 4
	var wg sync.WaitGroup
	for n := range publishers {
		wg.Go(func() {
			_, err := store.Publish(fmt.Sprint("operator", n), putTeam(fmt.Sprint("team", n)))
			require.NoError(t, err)
		})
	}
	wg.Wait()
	set, err := store.Newest(catalog.NewSet())
	require.NoError(t, err)
	require.Equal(t, uint64(publishers), set.Revision)
	require.Len(t, set.Teams, publishers)
	entries, err := store.Audit(0, 10)
	require.NoError(t, err)
	require.Len(t, entries, publishers)
	former, err := store.ReadRevision(2)
	require.NoError(t, err)
	require.Len(t, former.Teams, 2)
}

// TestPublishAfterLostReply guards against publishing a change twice when the reply
// of the platform to the first write is lost.
func TestPublishAfterLostReply(t *testing.T) {
	p, store := startPlatform(t)
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

// TestNewestReadsStepsInsteadOfSnapshot checks that catching up by five revisions
// takes six reads: the head row and five steps.
func TestNewestReadsStepsInsteadOfSnapshot(t *testing.T) {
	p, store := startPlatform(t)
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

// A store that comes back from a copy gives the revisions after it out again. A change that is published then has to
// reach hosts that have a configuration which the store has lost: they take only higher revisions.
func TestChangeAfterRestoreReachesHostsWithLostRevisions(t *testing.T) {
	p, store := startPlatform(t)
	_, err := store.Publish("ana", putTeam("kept"))
	require.NoError(t, err)
	kept := p.Copy()
	var lost *catalog.Set
	for _, name := range []string{"lost", "more"} {
		lost, err = store.Publish("ana", putTeam(name))
		require.NoError(t, err)
	}
	p.Restore(kept)
	have, err := store.Newest(lost)
	require.NoError(t, err)
	require.Same(t, lost, have, "the lost configuration was acknowledged, and stays in force")

	for _, name := range []string{"next", "last"} {
		published, err := store.Publish("ben", putTeam(name))
		require.NoError(t, err)
		have, err = store.Newest(have)
		require.NoError(t, err)
		require.Equal(t, string(published.Encode()), string(have.Encode()))
	}
	require.Len(t, have.Teams, 3, "kept, next and last")
	require.Greater(t, have.Teams["next"].Number, lost.Teams["more"].Number, "orders and shares are kept by the number of a team")
}
