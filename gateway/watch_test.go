package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/history"
	"github.com/cassiachute/cassiachute/platform"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const listedTargets = 1200 // more than fit into one page of the store

// A large list of targets of which few change is read whole once and followed by feeds. Changes made after
// the first page was read are not missed.
func TestTargetListIsReadOnceThenFollowed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := standin.New(standin.NewConfig(), l)
	ctx, cancel := context.WithCancel(context.Background())
	ended := store.Run(ctx)
	put := func(rows ...platform.RowItem) { store.Transact(platform.TransactRequest{Puts: rows}) }
	row := func(n int, value string) platform.RowItem {
		return platform.RowItem{Table: platform.TableTargets, Key: fmt.Sprintf("t%04d", n), Value: []byte(value)}
	}
	for n := range listedTargets {
		put(row(n, "a"))
	}
	client := platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort())
	w := &watcher{
		gateway: &Gateway{peers: newPeerTable(netip.MustParseAddrPort("127.0.0.1:1"))}, client: client,
	}
	require.NoError(t, w.refreshTargets())
	require.Len(t, w.rows, listedTargets)
	fullReads := store.Counts().Reads

	put(row(7, "b"))
	store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableTargets, Key: "t0008"}}})
	require.NoError(t, w.refreshTargets())
	require.Len(t, w.rows, listedTargets-1)
	require.Equal(t, "b", string(w.rows["t0007"].Value))
	require.NoError(t, w.refreshTargets(), "nothing changed")
	require.LessOrEqual(t, store.Counts().Reads, fullReads+3)
	require.Positive(t, w.targetsFeedWait())
	w.targetsFailed = true
	require.Zero(t, w.targetsFeedWait(), "the first feed after a failure does not wait")
	cancel()
	<-ended
}

// A feed of changes whose answer can't be parsed returned the same answer at each retry, so that the list of
// targets was no longer updated. After such a feed, the whole list must be read again.
func TestTargetListIsReloadedAfterUnreadableFeed(t *testing.T) {
	for _, invalid := range []string{"{", `{"rows":7,"ver":9}`, strings.Repeat(" ", 17<<20)} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == platform.PathFeed {
				ctx.SetBodyString(invalid)
				return
			}
			ctx.SetBodyString(`{"rows":[{"key":"a","value":"e30=","ver":3}],"ver":9}`)
		}}
		served := make(chan error, 1)
		go func() { served <- server.Serve(l) }()
		w := &watcher{
			gateway: &Gateway{peers: newPeerTable(netip.MustParseAddrPort("127.0.0.1:1"))},
			client:  platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort()),
		}
		require.NoError(t, w.refreshTargets())
		require.Error(t, w.refreshTargets(), "the feed")
		w.rows = nil
		require.NoError(t, w.refreshTargets(), "the list is read whole")
		require.Len(t, w.rows, 1)
		l.Close()
		require.NoError(t, <-served)
	}
}

// A feed with more changes than could arrive within the timeout failed at each retry, so that the list of
// targets was no longer updated. After repeated failures, the whole list must be read again.
func TestTargetListIsReloadedAfterFailedFeeds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	status := fasthttp.StatusServiceUnavailable
	server := fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == platform.PathFeed {
			ctx.SetStatusCode(status)
			return
		}
		ctx.SetBodyString(`{"rows":[{"key":"a","value":"e30=","ver":3}],"ver":9}`)
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	w := &watcher{
		gateway: &Gateway{peers: newPeerTable(netip.MustParseAddrPort("127.0.0.1:1"))},
		client:  platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort()),
	}
	require.NoError(t, w.refreshTargets())
	for range 2 * maxFeedFailures {
		require.ErrorIs(t, w.refreshTargets(), platform.ErrBusy, "a busy store does not count as a failed feed")
	}
	status = fasthttp.StatusInternalServerError
	for range maxFeedFailures {
		require.ErrorIs(t, w.refreshTargets(), platform.ErrUnavailable)
	}
	require.NoError(t, w.refreshTargets(), "the list is read whole")
	l.Close()
	require.NoError(t, <-served)
}

// TestHostThatMissedARestoreDoesNotTellEvacuations guards against evacuations of an era that is over, told by a host that
// has not read the store since, at a version above those that were given out again.
func TestHostThatMissedARestoreDoesNotTellEvacuations(t *testing.T) {
	g := newIdleGateway(t)
	g.updateEvacuated([]string{"old"}, history.Position{Era: 1, Version: 90})
	g.updateEvacuated([]string{"new"}, history.Position{Era: 2, Version: 7})
	g.updateEvacuated([]string{"old"}, history.Position{Era: 1, Version: 91})
	g.updateEvacuated([]string{"old"}, history.Position{Version: 92})
	require.Equal(t, []string{"new"}, g.storeCache.evacuatedPlaces())
}
