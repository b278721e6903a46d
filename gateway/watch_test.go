package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/platform"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const listedTargets = 1200 // more than one answer of the store holds

// Load pattern: a large list of targets of which few change. It is read whole once, and what
// changed after the first of its pages is not missed.
func TestListOfTargetsIsReadOnceAndFed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := standin.New(standin.NewConfig(), l)
	ctx, cancel := context.WithCancel(context.Background())
	ended := store.Run(ctx)
	put := func(rows ...platform.RowItem) { store.Transact(platform.TransactCall{Puts: rows}) }
	row := func(n int, value string) platform.RowItem {
		return platform.RowItem{Table: platform.TableTargets, Key: fmt.Sprintf("t%04d", n), Value: []byte(value)}
	}
	for n := range listedTargets {
		put(row(n, "a"))
	}
	client := platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort())
	w := &watcher{
		gateway: &Gateway{peers: newContacts(netip.MustParseAddrPort("127.0.0.1:1"))}, client: client,
	}
	require.NoError(t, w.list())
	require.Len(t, w.rows, listedTargets)
	whole := store.Counts().Reads

	put(row(7, "b"))
	store.Transact(platform.TransactCall{Drops: []platform.RowItem{{Table: platform.TableTargets, Key: "t0008"}}})
	require.NoError(t, w.list())
	require.Len(t, w.rows, listedTargets-1)
	require.Equal(t, "b", string(w.rows["t0007"].Value))
	require.NoError(t, w.list(), "nothing changed")
	require.LessOrEqual(t, store.Counts().Reads, whole+3)
	require.Positive(t, w.listWait())
	w.failed = true
	require.Zero(t, w.listWait(), "the end of an outage is seen at once")
	cancel()
	<-ended
}
