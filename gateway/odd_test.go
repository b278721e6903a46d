package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
)

const (
	updateTimeout         = time.Minute // reading long entries is slow under the race detector
	requestsPerCheck      = 12          // for each path; all must be served
	longEntryCount        = 150         // together larger than the largest message between hosts
	longEntryBytes        = 60 << 10
	entriesPerTransaction = 10
	duplicateRequests     = 50 // of each kind
	maxMisdirected        = 10 // of 2*duplicateRequests
	readyFields           = `"zone":"place1","slots":8,"state":"ready"`
	modelEntryPrefix      = `{"service":"model","address":"127.0.0.1:1",`
)

// nestedArrays returns JSON arrays nested to a depth.
func nestedArrays(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// invalidEntries returns entries, by key, that another writer may leave in the table of
// targets.
func invalidEntries() map[string]string {
	entry := func(fields string) string { return `{"service":"plain","address":"127.0.0.1:9",` + fields + `}` }
	return map[string]string{
		"":               entry(readyFields),
		"x\r\nX-Other:y": entry(readyFields),
		"nested1":        `{"service":` + nestedArrays(9000) + `}`,
		"nested2":        nestedArrays(20000),
		"nested3":        entry(`"more":` + nestedArrays(32000) + `,` + readyFields),
		"slots1":         entry(`"zone":"place1","slots":2147483648,"state":"ready"`),
		"slots2":         modelEntryPrefix + `"zone":"place1","slots":1099511627776,"state":"ready"}`,
		"slots3":         entry(`"zone":"place1","slots":9223372036854775807,"state":"ready"`),
		"slots4":         entry(`"zone":"place1","slots":1e400,"state":"ready"`),
		"cold1":          entry(`"coldRemainingMs":1e300,` + readyFields),
		"born1":          entry(`"born":9223372036854775807,` + readyFields),
		"born2":          entry(`"born":-9223372036854775808,` + readyFields),
		"port1":          `{"service":"plain","address":"127.0.0.1:0",` + readyFields + `}`,
		"port2":          `{"service":"model","address":"127.0.0.1:99999",` + readyFields + `}`,
		"port3":          `{"service":"model","address":"127.0.0.1:0",` + readyFields + `}`,
		"anyone":         `{"service":"plain","address":"0.0.0.0:9",` + readyFields + `}`,
		"scoped":         `{"service":"plain","address":"[fe80::1%lo]:9",` + readyFields + `}`,
		"nothing":        `null`,
		"bytes":          "\xff\xfe\x00",
		"empty":          ``,
	}
}

// requireServed requires that requests of all kinds are served. Their IDs begin with name.
func (w *testEnv) requireServed(name string) {
	w.t.Helper()
	for n := range requestsPerCheck {
		for _, path := range []string{"/lookup/x", "/order/x", "/stream/x"} {
			r := w.do(call{path: path, key: "key1", id: fmt.Sprintf("%s%d", name, n)})
			require.NoError(w.t, r.err, path)
			require.Equal(w.t, fasthttp.StatusOK, r.status, "%s: %s", path, r.body)
		}
	}
}

// requireReplacementUsed replaces a target by another in the store, and requires that the gateway soon
// sends requests to the new one. They have name as their ID.
func (w *testEnv) requireReplacementUsed(name string, old, next *scriptedTarget) {
	w.t.Helper()
	w.putTarget(next, "ready")
	w.store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableTargets, Key: old.id}}})
	require.Eventually(w.t, func() bool {
		r := w.do(call{path: "/lookup/x", key: "key1", id: name})
		return r.status == fasthttp.StatusOK && r.body == next.id
	}, updateTimeout, 5*time.Millisecond)
}

// plainTarget returns a target of a plain service that answers with its own identity.
func plainTarget(t *testing.T, id string) *scriptedTarget {
	t.Helper()
	return newScriptedTarget(t, id, "plain", func(a *arrival) bool { a.answer(fasthttp.StatusOK, id); return true })
}

// modelTarget returns a target of a model that streams one event.
func modelTarget(t *testing.T, id string) *scriptedTarget {
	t.Helper()
	return newScriptedTarget(t, id, "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		a.end()
		return true
	})
}

// Guards against an invalid entry in the table of targets that stops updates of the whole
// list: gateways that read the store and gateways that ask others keep serving and following
// the list, and report each entry at most once.
func TestInvalidEntriesDoNotStopTargetUpdates(t *testing.T) {
	first, next, last := plainTarget(t, "a"), plainTarget(t, "b"), plainTarget(t, "c")
	w := newTestEnv(t, first, modelTarget(t, "m"))
	second, _, _ := w.startSecond(nil)
	second.waitUntil(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r"}).status == fasthttp.StatusOK
	})
	for key, value := range invalidEntries() {
		w.store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: platform.TableTargets, Key: key, Value: []byte(value)}}})
	}
	w.waitUntil(func() bool {
		return strings.Count(w.logs.String(), `"event":"target-unreadable"`) >= len(invalidEntries())-1
	})
	w.requireServed("reader")
	second.requireServed("asker")
	w.requireReplacementUsed("r1", first, next)
	second.requireReplacementUsed("r2", next, last)
	w.requireServed("reader again")
	second.requireServed("asker again")
	for key := range invalidEntries() {
		require.LessOrEqual(t, strings.Count(w.logs.String(), fmt.Sprintf(`"target":%q`, key)), 1, "reported once")
	}
	for _, s := range []*scriptedTarget{first, next, last} {
		for _, a := range s.received() {
			require.Equal(t, s.id, a.header("X-Expect-Replica"))
		}
	}
}

// A gateway that gets the list of targets from another gateway got no more updates once the entries
// together were larger than the largest message between hosts.
func TestOversizedEntriesStillReachPeers(t *testing.T) {
	first, next := plainTarget(t, "a"), plainTarget(t, "b")
	w := newTestEnv(t, first, modelTarget(t, "m"))
	second, _, _ := w.startSecond(nil)
	second.waitUntil(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r"}).status == fasthttp.StatusOK
	})
	for from := 0; from < longEntryCount; from += entriesPerTransaction {
		var rows []platform.RowItem
		for n := from; n < from+entriesPerTransaction; n++ {
			value := fmt.Appendf(nil, `{"service":"other","address":"127.0.0.1:%d",%s,"more":"%s"}`, n+1, readyFields, strings.Repeat("x", longEntryBytes))
			rows = append(rows, platform.RowItem{Table: platform.TableTargets, Key: fmt.Sprintf("long%d", n), Value: value})
		}
		w.store.Transact(platform.TransactRequest{Puts: rows})
	}
	second.requireReplacementUsed("r1", first, next)
	second.requireServed("asker")
	w.requireServed("reader")
}

// Guards against an entry in the table of targets, left by another writer, that has the address of a
// working target. The target answers 421 to requests that name the other entry, and the gateway must
// soon stop choosing that entry first.
func TestEntryWithDuplicateAddressIsAvoided(t *testing.T) {
	answer := func(id string) func(a *arrival) bool {
		return func(a *arrival) bool {
			if a.header("X-Expect-Replica") == id {
				a.answer(fasthttp.StatusOK, id)
			} else {
				a.answer(fasthttp.StatusMisdirectedRequest, "")
			}
			return true
		}
	}
	working := newScriptedTarget(t, "sound", "plain", answer("sound"))
	w := newTestEnv(t, working)
	w.putRow(platform.TableTargets, "copy", targetRow{Service: "plain", Address: working.address.String(), Zone: "place1", Slots: 64, State: "ready"})
	w.waitUntil(func() bool { return w.logContains(`"ready":2`) })
	for n := range duplicateRequests {
		for _, path := range []string{"/lookup/x", "/order/x"} {
			r := w.do(call{path: path, id: fmt.Sprintf("r%d", n)})
			require.Equal(t, fasthttp.StatusOK, r.status, r.body)
		}
	}
	misdirected := 0
	for _, a := range working.received() {
		if a.header("X-Expect-Replica") == "copy" {
			misdirected++
		}
	}
	require.LessOrEqual(t, misdirected, maxMisdirected, "of %d", 2*duplicateRequests)
}
