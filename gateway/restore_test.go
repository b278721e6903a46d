package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/knownred"
	"github.com/cassiachute/cassiachute/platform"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const (
	configApply = 2 * time.Second        // in which an acknowledged change has to be in force
	beyondApply = 500 * time.Millisecond // for which it is then watched whether it stays in force
	lostWrites  = 5                      // transactions that the copies of the tests do not have
	otherRows   = 20                     // rows that are written again before the gateway asks again
)

// status returns the status of a public request.
func (w *testEnv) status(path string) int { return w.do(call{path: path, id: "r"}).status }

// writeOther writes rows that no gateway reads, as other users of the store do.
func (w *testEnv) writeOther(count int) {
	for range count {
		w.putRow(platform.TableOwn, "other", "x")
	}
}

// advance writes rows and waits until the gateway has read the operator's table behind them.
func (w *testEnv) advance() {
	w.writeOther(lostWrites)
	w.putRow(platform.TableOperator, "evacuate/elsewhere", struct{}{})
	w.waitUntil(func() bool { return w.logContains(`"places":["elsewhere"]`) })
}

// restore brings the store back from a copy while it is away for a moment. What written writes is there before any
// gateway asks again.
func (w *testEnv) restore(from standin.Copy, written func()) {
	w.setOutage(true)
	w.store.Restore(from)
	if written != nil {
		written()
	}
	w.setOutage(false)
}

// addRoute writes a configuration with one route more.
func (w *testEnv) addRoute() {
	w.configure(func(d *configDocument) {
		added := d.Routes[0]
		added.Name, added.Prefix = "added", "/added/"
		d.Routes = append(d.Routes, added)
	})
}

// TestAddedRouteIsServedAfterTheStoreComesBackFromACopy guards against a host that goes on from its position in a
// history that is over: it never sees the configuration written below that position, and takes the one that it has
// for the current one.
func TestAddedRouteIsServedAfterTheStoreComesBackFromACopy(t *testing.T) {
	knownred.Skip(t)
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	kept := w.store.Copy()
	w.advance()
	w.restore(kept, func() {
		w.addRoute()
		w.writeOther(otherRows)
	})
	written := time.Now()
	for time.Since(written) < configApply && w.status("/added/x") != fasthttp.StatusOK {
		time.Sleep(20 * time.Millisecond)
	}
	for time.Since(written) < configApply+beyondApply {
		require.Equal(t, fasthttp.StatusOK, w.status("/added/x"))
	}
}

// TestOlderConfigurationOfACopyConfirmsNothing guards against a host that takes its configuration for the current one
// while the store shows an older one: a newer one may have been lost with it. The store can't tell then that a route
// does not exist.
func TestOlderConfigurationOfACopyConfirmsNothing(t *testing.T) {
	knownred.Skip(t)
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	kept := w.store.Copy()
	w.addRoute()
	w.waitUntil(func() bool { return w.status("/added/x") == fasthttp.StatusOK })
	w.restore(kept, nil)
	time.Sleep(configApply)
	for range 5 {
		require.Equal(t, fasthttp.StatusServiceUnavailable, w.status("/unknown/x"))
		require.Equal(t, fasthttp.StatusOK, w.status("/added/x"), "the configuration does not regress")
		time.Sleep(100 * time.Millisecond)
	}
	w.version--
	w.addRoute()
	w.waitUntil(func() bool { return w.status("/unknown/x") == fasthttp.StatusNotFound })
	require.Equal(t, fasthttp.StatusOK, w.status("/added/x"))
}

// TestSameConfigurationInACopyIsNotTheCurrentOneAtOnce guards against a host that takes the configuration which a copy
// of the store shows for the current one, since it is the one in force: one that was acknowledged just before the loss,
// and that the host had not read, is written again only after a while.
func TestSameConfigurationInACopyIsNotTheCurrentOneAtOnce(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	kept := w.store.Copy()
	w.setOutage(true)
	acknowledged := time.Now()
	w.store.Restore(kept)
	w.setOutage(false)
	time.Sleep(configApply)
	for time.Since(acknowledged) < configApply+beyondApply/2 {
		require.Equal(t, fasthttp.StatusServiceUnavailable, w.status("/added/x"))
		time.Sleep(20 * time.Millisecond)
	}
	w.addRoute()
	w.waitUntil(func() bool { return w.status("/added/x") == fasthttp.StatusOK })
	require.Equal(t, fasthttp.StatusNotFound, w.status("/unknown/x"), "written in this era")
}

// TestStartingHostDoesNotBelieveACopyThatIsOlderThanItsPeers guards against a host that starts while the store shows
// an older configuration than the one that other hosts have in force.
func TestStartingHostDoesNotBelieveACopyThatIsOlderThanItsPeers(t *testing.T) {
	knownred.Skip(t)
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	kept := w.store.Copy()
	w.addRoute()
	w.waitUntil(func() bool { return w.status("/added/x") == fasthttp.StatusOK })
	w.restore(kept, nil)
	second, _, _ := w.startSecond(func(s *gateway.Settings) { s.Store = w.ownSettings.Store })
	began, status := time.Now(), 0
	for ; status != fasthttp.StatusOK && time.Since(began) < waitTimeout; time.Sleep(5 * time.Millisecond) {
		status = second.status("/added/x")
		require.NotEqual(t, fasthttp.StatusNotFound, status)
	}
	require.Less(t, time.Since(began), configApply)
}

// TestHostThatStartedWithoutTheStoreKeepsWhatACopyLacks guards against a host that has all from another host, and drops
// what the store lacks as it reads it for the first time.
func TestHostThatStartedWithoutTheStoreKeepsWhatACopyLacks(t *testing.T) {
	w := newTestEnv(t)
	kept := w.store.Copy()
	w.putTarget(newScriptedTarget(t, "a", "plain", answerOK), "ready")
	w.addRoute()
	w.waitUntil(func() bool { return w.status("/added/x") == fasthttp.StatusOK })
	w.setOutage(true)
	second, _, _ := w.startSecond(func(s *gateway.Settings) { s.Store = w.ownSettings.Store })
	second.waitUntil(func() bool { return second.status("/added/x") == fasthttp.StatusOK })
	w.restore(kept, nil)
	for began := time.Now(); time.Since(began) < configApply; time.Sleep(20 * time.Millisecond) {
		require.Equal(t, fasthttp.StatusOK, second.status("/added/x"))
	}
	require.Equal(t, fasthttp.StatusServiceUnavailable, second.status("/unknown/x"))
}

// TestEvacuationIsObeyedAfterTheStoreComesBackFromACopy guards against an evacuation that is ignored since it was
// written at a version below one that was read before the store came back.
func TestEvacuationIsObeyedAfterTheStoreComesBackFromACopy(t *testing.T) {
	knownred.Skip(t)
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	kept := w.store.Copy()
	w.advance()
	w.writeOther(otherRows)
	w.restore(kept, func() { w.putRow(platform.TableOperator, "evacuate/place1", struct{}{}) })
	time.Sleep(configApply)
	require.Equal(t, fasthttp.StatusServiceUnavailable, w.status("/lookup/x"))
}

// TestEvacuationThatACopyLacksIsKept guards against requests to an evacuated data centre while the operator has not
// written the evacuation again.
func TestEvacuationThatACopyLacksIsKept(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	w.advance()
	kept := w.store.Copy()
	w.putRow(platform.TableOperator, "evacuate/place1", struct{}{})
	w.waitUntil(func() bool { return w.status("/lookup/x") == fasthttp.StatusServiceUnavailable })
	w.restore(kept, nil)
	for began := time.Now(); time.Since(began) < configApply; time.Sleep(50 * time.Millisecond) {
		require.Equal(t, fasthttp.StatusServiceUnavailable, w.status("/lookup/x"))
	}
	w.putRow(platform.TableOperator, "evacuate/place1", struct{}{})
	w.store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableOperator, Key: "evacuate/place1"}}})
	w.waitUntil(func() bool { return w.status("/lookup/x") == fasthttp.StatusOK })
}

// TestTargetThatACopyLacksIsKept guards against refusals while a target has not written its entry again: it is
// missing in a copy that is older than it, however short the store was away.
func TestTargetThatACopyLacksIsKept(t *testing.T) {
	knownred.Skip(t)
	a := newScriptedTarget(t, "a", "plain", answerOK)
	w := newTestEnv(t)
	kept := w.store.Copy()
	w.putTarget(a, "ready")
	w.waitUntil(func() bool { return w.status("/lookup/x") == fasthttp.StatusOK })
	w.advance()
	w.restore(kept, nil)
	for began := time.Now(); time.Since(began) < configApply; time.Sleep(50 * time.Millisecond) {
		require.Equal(t, fasthttp.StatusOK, w.status("/lookup/x"))
	}
}

// TestTargetThatLeftIsNotUsedAgainAfterTheStoreComesBackFromACopy guards against requests to a target that was leaving
// or gone when the store went away, and that the copy shows as ready.
func TestTargetThatLeftIsNotUsedAgainAfterTheStoreComesBackFromACopy(t *testing.T) {
	for name, leave := range map[string]func(w *testEnv, s *scriptedTarget){
		"leaving": func(w *testEnv, s *scriptedTarget) {
			w.putTarget(s, "draining")
			w.waitUntil(func() bool { return w.logContains(`"leaving":1`) })
		},
		"gone": func(w *testEnv, s *scriptedTarget) {
			w.store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableTargets, Key: s.id}}})
			w.waitUntil(func() bool { return w.logContains(`"ready":1`) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t)
			a, b := newScriptedTarget(t, "a", "plain", answerOK), newScriptedTarget(t, "b", "plain", answerOK)
			w := newTestEnv(t, a, b)
			w.waitUntil(func() bool { return w.logContains(`"ready":2`) })
			kept := w.store.Copy()
			leave(w, a)
			time.Sleep(100 * time.Millisecond)
			before := len(a.received())
			w.restore(kept, nil)
			for began := time.Now(); time.Since(began) < configApply; time.Sleep(20 * time.Millisecond) {
				require.Equal(t, fasthttp.StatusOK, w.status("/lookup/x"))
			}
			require.Equal(t, before, len(a.received()), "requests to a target that left")
		})
	}
}

// TestRowOfAHostIsWrittenAgainAfterTheStoreComesBackFromACopy guards against a host that hosts which start later don't
// find, since its row was lost and is written only once.
func TestRowOfAHostIsWrittenAgainAfterTheStoreComesBackFromACopy(t *testing.T) {
	knownred.Skip(t)
	l, storeAddress := listen(t)
	store := standin.New(standin.NewConfig(), l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store.Run(ctx)
	empty := store.Copy()
	w := &testEnv{t: t, store: store, client: platform.NewClient(storeAddress), logs: &logBuffer{}}
	w.configure(nil)
	g, err := gateway.New(w.settings("host1", storeAddress), gateway.WithLog(zerolog.New(w.logs)))
	require.NoError(t, err)
	runCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- g.Run(runCtx) }()
	listed := func() bool {
		hosts, err := w.client.Hosts()
		return err == nil && len(hosts) == 1
	}
	w.waitUntil(listed)
	w.restore(empty, func() {
		w.version--
		w.configure(nil)
	})
	require.Eventually(t, listed, 2*configApply, 50*time.Millisecond)
	stop()
	require.NoError(t, <-done)
}

// TestRouteWhoseConfigurationWasLostUnreadIsNotDenied guards against 404 for a route that was acknowledged right before the
// store came back from a copy: no gateway has read its configuration, and all take the one in the copy for the current one.
func TestRouteWhoseConfigurationWasLostUnreadIsNotDenied(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", answerOK))
	second, _, _ := w.startSecond(nil)
	w.waitUntil(func() bool { return second.status("/lookup/x") == fasthttp.StatusOK })
	kept := w.store.Copy()
	w.setOutage(true)
	w.addRoute()
	w.store.Restore(kept)
	w.setOutage(false)
	w.waitUntil(func() bool { return w.logContains(`"event":"store-era","era":2`) })
	time.Sleep(configApply) // the second gateway learns of the era from the first one
	for began := time.Now(); time.Since(began) < configApply; time.Sleep(50 * time.Millisecond) {
		for _, env := range []*testEnv{w, second} {
			require.Equal(t, fasthttp.StatusServiceUnavailable, env.status("/added/x"))
			require.Equal(t, fasthttp.StatusOK, env.status("/lookup/x"))
		}
	}
	w.version--
	w.addRoute()
	for _, env := range []*testEnv{w, second} {
		w.waitUntil(func() bool { return env.status("/added/x") == fasthttp.StatusOK })
		w.waitUntil(func() bool { return env.status("/unknown/x") == fasthttp.StatusNotFound })
	}
}
