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
	followLimit  = time.Minute // a read of long entries takes long under the race detector
	oddRequests  = 12          // in a row, all of which are served
	longEntries  = 150         // together more than a message between hosts holds
	longEntry    = 60 << 10    // bytes
	entriesEach  = 10          // in one transaction
	copyRequests = 50
	mostAstray   = 10 // of twice as many
	plainSlots   = `"zone":"place1","slots":8,"state":"ready"`
	modelEntries = `{"service":"model","address":"127.0.0.1:1",`
)

func deep(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddEntries are entries that another writer may leave, by identity.
func oddEntries() map[string]string {
	entry := func(change string) string { return `{"service":"plain","address":"127.0.0.1:9",` + change + `}` }
	return map[string]string{
		"":               entry(plainSlots),
		"x\r\nX-Other:y": entry(plainSlots),
		"nested1":        `{"service":` + deep(9000) + `}`,
		"nested2":        deep(20000),
		"nested3":        entry(`"more":` + deep(32000) + `,` + plainSlots),
		"slots1":         entry(`"zone":"place1","slots":2147483648,"state":"ready"`),
		"slots2":         modelEntries + `"zone":"place1","slots":1099511627776,"state":"ready"}`,
		"slots3":         entry(`"zone":"place1","slots":9223372036854775807,"state":"ready"`),
		"slots4":         entry(`"zone":"place1","slots":1e400,"state":"ready"`),
		"cold1":          entry(`"coldRemainingMs":1e300,` + plainSlots),
		"born1":          entry(`"born":9223372036854775807,` + plainSlots),
		"born2":          entry(`"born":-9223372036854775808,` + plainSlots),
		"port1":          `{"service":"plain","address":"127.0.0.1:0",` + plainSlots + `}`,
		"port2":          `{"service":"model","address":"127.0.0.1:99999",` + plainSlots + `}`,
		"port3":          `{"service":"model","address":"127.0.0.1:0",` + plainSlots + `}`,
		"anyone":         `{"service":"plain","address":"0.0.0.0:9",` + plainSlots + `}`,
		"scoped":         `{"service":"plain","address":"[fe80::1%lo]:9",` + plainSlots + `}`,
		"nothing":        `null`,
		"bytes":          "\xff\xfe\x00",
		"empty":          ``,
	}
}

// sendsOk requires that requests of all kinds are served at once by their targets.
func (w *world) sendsOk(name string) {
	w.t.Helper()
	for n := range oddRequests {
		for _, path := range []string{"/lookup/x", "/order/x", "/stream/x"} {
			r := w.do(call{path: path, key: "key1", id: fmt.Sprintf("%s%d", name, n)})
			require.NoError(w.t, r.err, path)
			require.Equal(w.t, fasthttp.StatusOK, r.status, "%s: %s", path, r.body)
		}
	}
}

// follows requires that a target that is listed now is used soon, and the one before no more.
func (w *world) follows(name string, before, now *scripted) {
	w.t.Helper()
	w.list(now, "ready")
	w.store.Transact(platform.TransactRequest{Drops: []platform.RowItem{{Table: platform.TableTargets, Key: before.id}}})
	require.Eventually(w.t, func() bool {
		r := w.do(call{path: "/lookup/x", key: "key1", id: name})
		return r.status == fasthttp.StatusOK && r.body == now.id
	}, followLimit, 5*time.Millisecond)
}

// plainTarget answers with its own name.
func plainTarget(t *testing.T, id string) *scripted {
	t.Helper()
	return newScripted(t, id, "plain", func(a *arrival) bool { a.answer(fasthttp.StatusOK, id); return true })
}

func modelTarget(t *testing.T, id string) *scripted {
	t.Helper()
	return newScripted(t, id, "model", func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		a.end()
		return true
	})
}

// LOST by one odd entry among those of the replicas: hosts that read the list, and those that hear
// of it, go on to serve and to follow it.
func TestOddEntriesHarmNeitherReadersNorHearers(t *testing.T) {
	first, next, last := plainTarget(t, "a"), plainTarget(t, "b"), plainTarget(t, "c")
	w := newWorld(t, first, modelTarget(t, "m"))
	second, _, _ := w.second(nil)
	second.until(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r"}).status == fasthttp.StatusOK
	})
	for key, value := range oddEntries() {
		w.store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: platform.TableTargets, Key: key, Value: []byte(value)}}})
	}
	w.until(func() bool {
		return strings.Count(w.logs.String(), `"event":"target-unreadable"`) >= len(oddEntries())-1
	})
	w.sendsOk("reader")
	second.sendsOk("hearer")
	w.follows("r1", first, next)
	second.follows("r2", next, last)
	w.sendsOk("reader again")
	second.sendsOk("hearer again")
	for key := range oddEntries() {
		require.LessOrEqual(t, strings.Count(w.logs.String(), fmt.Sprintf(`"target":%q`, key)), 1, "reported once")
	}
	for _, s := range []*scripted{first, next, last} {
		for _, a := range s.seen() {
			require.Equal(t, s.id, a.header("X-Expect-Replica"))
		}
	}
}

// A host that hears of the list lost it for good when its entries together were larger than a
// message between hosts.
func TestLongEntriesReachHostsThatHearOfTheList(t *testing.T) {
	first, next := plainTarget(t, "a"), plainTarget(t, "b")
	w := newWorld(t, first, modelTarget(t, "m"))
	second, _, _ := w.second(nil)
	second.until(func() bool {
		return second.do(call{path: "/stream/x", key: "key1", id: "r"}).status == fasthttp.StatusOK
	})
	for from := 0; from < longEntries; from += entriesEach {
		var rows []platform.RowItem
		for n := from; n < from+entriesEach; n++ {
			value := fmt.Appendf(nil, `{"service":"other","address":"127.0.0.1:%d",%s,"more":"%s"}`, n+1, plainSlots, strings.Repeat("x", longEntry))
			rows = append(rows, platform.RowItem{Table: platform.TableTargets, Key: fmt.Sprintf("long%d", n), Value: value})
		}
		w.store.Transact(platform.TransactRequest{Puts: rows})
	}
	second.follows("r1", first, next)
	second.sendsOk("hearer")
	w.sendsOk("reader")
}

// An entry of another writer with the address of a replica: the replica answers 421 to what is
// meant for the other, and requests are not sent there first time after time.
func TestEntryWithTheAddressOfAnotherIsLeftAlone(t *testing.T) {
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
	sound := newScripted(t, "sound", "plain", answer("sound"))
	w := newWorld(t, sound)
	w.put(platform.TableTargets, "copy", targetRow{Service: "plain", Address: sound.address.String(), Zone: "place1", Slots: 64, State: "ready"})
	w.until(func() bool { return w.logged(`"ready":2`) })
	for n := range copyRequests {
		for _, path := range []string{"/lookup/x", "/order/x"} {
			r := w.do(call{path: path, id: fmt.Sprintf("r%d", n)})
			require.Equal(t, fasthttp.StatusOK, r.status, r.body)
		}
	}
	astray := 0
	for _, a := range sound.seen() {
		if a.header("X-Expect-Replica") == "copy" {
			astray++
		}
	}
	require.LessOrEqual(t, astray, mostAstray, "of %d", 2*copyRequests)
}
