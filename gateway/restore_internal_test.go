package gateway

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/history"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	standin "github.com/cassiachute/cassiachute/standin/platform"
	"github.com/cassiachute/cassiachute/wire"
)

// newStoreWatcher returns a watcher of a gateway that is not running, and the store that it reads.
func newStoreWatcher(t *testing.T) (*watcher, *standin.Platform) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := standin.New(standin.NewConfig(), l)
	ctx, cancel := context.WithCancel(context.Background())
	ended := store.Run(ctx)
	g := newIdleGateway(t)
	g.ctx, g.client = ctx, platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort())
	t.Cleanup(func() {
		g.client.Close()
		cancel()
		<-ended
	})
	return &watcher{gateway: g, client: g.client}, store
}

// putTargets writes entries of targets to a store.
func putTargets(store *standin.Platform, rows []wire.TargetRow) {
	for _, row := range rows {
		store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: platform.TableTargets, Key: row.Key, Value: row.Value}}})
	}
}

// newReader returns a gateway that answers queries of other hosts, with targets that it read in an era of the store.
func newReader(t *testing.T, era uint64, rows []wire.TargetRow) *Gateway {
	t.Helper()
	g := newIdleGateway(t)
	ctx, cancel := context.WithCancel(context.Background())
	g.ctx = ctx
	ended := g.responder.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	require.EqualValues(t, 7, g.takeConfig([]byte(`{"version":7}`), sinceBoot()))
	g.readAgain(era, rows)
	return g
}

// readAgain replaces the targets by those that were read in an era of the store. It waits until other hosts can tell
// the read from the one before, as ages in replies are whole milliseconds.
func (g *Gateway) readAgain(era uint64, rows []wire.TargetRow) {
	time.Sleep(2 * time.Millisecond)
	g.updateEvacuated(nil, history.Position{Era: era, Version: 1})
	g.updateTargets(rows, sinceBoot(), (*route.Listing).Relay)
}

// usedTargets returns the ids of the targets in use.
func (g *Gateway) usedTargets() []string {
	ids := []string{}
	for _, target := range g.storeCache.targets {
		ids = append(ids, target.ID)
	}
	return ids
}

// TestFirstOwnReadAfterARestoreIsNotTakenForTheNewestList guards against a host that had its targets from other hosts
// until the store came back from a copy: it drops those that the copy lacks, and uses those again that had gone.
func TestFirstOwnReadAfterARestoreIsNotTakenForTheNewestList(t *testing.T) {
	for _, afterRelay := range []bool{false, true} {
		t.Run(fmt.Sprintf("after relay=%v", afterRelay), func(t *testing.T) { firstReadOfACopy(t, afterRelay) })
	}
}

// firstReadOfACopy has a gateway read a copy itself for the first time, after a host that read it before told it the list if
// afterRelay is set.
func firstReadOfACopy(t *testing.T, afterRelay bool) {
	w, store := newStoreWatcher(t)
	kept, gone := plainTargetRows("kept", 2), plainTargetRows("gone", 9)[8:]
	putTargets(store, append(kept[:1:1], gone...))
	copied := store.Copy()
	reader := newReader(t, store.Era(), append(kept[:2:2], gone...))
	require.True(t, w.gateway.queryPeer(reader.settings.Peer))
	require.ElementsMatch(t, []string{"kept0", "kept1", "gone8"}, w.gateway.usedTargets())
	reader.readAgain(store.Era(), kept)
	require.True(t, w.gateway.queryPeer(reader.settings.Peer))
	require.ElementsMatch(t, []string{"kept0", "kept1"}, w.gateway.usedTargets(), "before the restore")
	store.Restore(copied)
	if afterRelay {
		reader.readAgain(store.Era(), kept)
		require.True(t, w.gateway.queryPeer(reader.settings.Peer))
	}

	w.pollTargets()
	require.ElementsMatch(t, []string{"kept0", "kept1"}, w.gateway.usedTargets())
}

// TestRestoreThatOtherHostsHaveReadBeforeIsOver guards against a host that reads the store itself long after a restore,
// takes its first list for that of a copy, and goes on using a target that has gone since.
func TestRestoreThatOtherHostsHaveReadBeforeIsOver(t *testing.T) {
	w, store := newStoreWatcher(t)
	const heartbeat = 10 * time.Millisecond
	w.gateway.listing = route.NewListing(heartbeat)
	rows := plainTargetRows("t", 2)
	putTargets(store, rows)
	w.pollTargets()
	store.Restore(store.Copy())
	reader := newReader(t, store.Era(), rows)
	require.True(t, w.gateway.queryPeer(reader.settings.Peer))
	time.Sleep(time.Second) // entries of the copy have lapsed by then
	store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableTargets, Key: "t1"}}})

	for began := time.Now(); w.targetsPosition.Era != store.Era() && time.Since(began) < time.Second; {
		w.pollTargets()
	}
	require.Equal(t, []string{"t0"}, w.gateway.usedTargets())
}

// TestFirstConfigurationThatAPeerHasANewerOneOfIsNotCurrent guards against 404 at a host that starts while the store
// shows a copy, and that knows from a state report that another host has a newer configuration.
func TestFirstConfigurationThatAPeerHasANewerOneOfIsNotCurrent(t *testing.T) {
	g := newIdleGateway(t)
	peer := netip.MustParseAddrPort("127.0.0.1:1")
	_, first := g.peers.update(peer, &wire.HostState{Boot: 1, Number: 1, Revision: 8}, time.Now())
	require.True(t, first)
	require.EqualValues(t, 7, g.takeConfig([]byte(`{"version":7}`), sinceBoot()))
	require.NotNil(t, g.core.table.Load())
	require.Greater(t, g.core.configAge(), maxDenialAge)
}

// TestIsolatedHostReadsSeldomWhileTheStoreShowsAnOlderConfiguration guards against all hosts of a large fleet reading the
// store all the time, and exceeding its rate limits, until the operator has written a lost configuration again.
func TestIsolatedHostReadsSeldomWhileTheStoreShowsAnOlderConfiguration(t *testing.T) {
	w, store := newStoreWatcher(t)
	store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: platform.TableOperator, Key: platform.KeyConfig, Value: []byte(`{"version":7}`)}}})
	g := w.gateway
	require.EqualValues(t, 8, g.takeConfig([]byte(`{"version":8}`), sinceBoot()-time.Minute))
	for port := uint16(1); g.peers.count() < 3*smallFleet; port++ {
		peer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), port)
		if hostRank(peer) < hostRank(g.settings.Peer) {
			g.peers.update(peer, &wire.HostState{Boot: 1, Number: 1, Revision: 8, Age: ageMillis(time.Minute)}, time.Now())
		}
	}
	require.Equal(t, roleIsolated, g.storeRole())

	const period = 3 * time.Second
	ctx, stop := context.WithTimeout(g.ctx, period)
	defer stop()
	for _, done := range []<-chan struct{}{runLoop(ctx, w.pollConfig), runLoop(ctx, w.pollTargets)} {
		<-done
	}
	require.Equal(t, roleIsolated, g.storeRole())
	require.LessOrEqual(t, store.Counts().Reads, uint64(2*(1+period/indirectRetryDelay)))
}

// TestHostThatBeginsToReadTheStoreKeepsTheTargetsThatItWasTold guards against a host without any target when it takes
// over the reads of the store, until it has read which versions the store names. The host that told it the list had
// used these targets already.
func TestHostThatBeginsToReadTheStoreKeepsTheTargetsThatItWasTold(t *testing.T) {
	w, store := newStoreWatcher(t)
	rows := plainTargetRows("t", 2)
	putTargets(store, rows)
	reader := newReader(t, store.Era(), rows)
	require.True(t, w.gateway.queryPeer(reader.settings.Peer))
	store.SetFaults(standin.Faults{Lose: 1000}) // what this host writes stays unknown to it
	w.pollTargets()
	require.ElementsMatch(t, []string{"t0", "t1"}, w.gateway.usedTargets())
}

// TestConfigurationThatArrivedDamagedIsReadAgain guards against one answer with a damaged row of the configuration, after
// which the position is behind it: the host never has that configuration, and confirms none until the next one.
func TestConfigurationThatArrivedDamagedIsReadAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	page := func(ver int, config string) string {
		return fmt.Sprintf(`{"rows":[{"table":"op","key":"config","value":%q,"ver":%d}],"ver":%d}`, base64.StdEncoding.EncodeToString([]byte(config)), ver, ver)
	}
	answers := []string{page(1, `{"version":7}`), page(2, `{`), page(2, `{"version":8}`)}
	server := fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Store-Era", "1")
		body := answers[0]
		if len(answers) > 1 && string(ctx.Path()) == platform.PathFeed {
			body, answers = answers[1], answers[2:]
		} else if string(ctx.Path()) == platform.PathFeed {
			body = `{"rows":[],"ver":2}`
		}
		ctx.SetBodyString(body)
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	g := newIdleGateway(t)
	g.ctx, g.client = t.Context(), platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort())
	w := &watcher{gateway: g, client: g.client}
	for range 3 {
		w.pollConfig()
	}
	require.EqualValues(t, 8, g.revision())
	require.Less(t, g.core.configAge(), time.Second)
	g.client.Close()
	l.Close()
	require.NoError(t, <-served)
}
