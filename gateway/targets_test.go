package gateway

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/standin/loopback"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	manyTargets = 300 // of one list
	listChanges = 60
)

// newIdle returns a gateway that listens and does not run.
func newIdle(t *testing.T) *Gateway {
	t.Helper()
	loopback.Together(4)
	s := NewSettings()
	s.Name, s.Place = "host1", "place1"
	s.Listen, s.Ready, s.Peer, s.Store = loopback.Address(), loopback.Address(), loopback.Address(), loopback.Address()
	g, err := New(s)
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, l := range g.listeners {
			l.Close() // one that was closed before is closed
		}
	})
	return g
}

// listOf returns entries of targets of a plain service whose identities have a prefix.
func listOf(prefix string, count int) []wire.TargetRow {
	rows := make([]wire.TargetRow, 0, count)
	for n := range count {
		rows = append(rows, wire.TargetRow{Key: fmt.Sprintf("%s%d", prefix, n), Value: fmt.Appendf(nil,
			`{"service":"plain","address":"127.0.0.1:%d","zone":"place1","slots":8,"state":"ready"}`, n+1)})
	}
	return rows
}

// choose returns the target for a request, and whether it has an address at the same moment.
func (c *core) choose(g *Gateway, ask placement.Ask) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice := c.board.Choose(time.Now(), &ask)
	_, known := g.address(choice.Target)
	return choice.Target, known
}

// LOST beside a change of the list: a new target was chosen before its address was known, and then
// left alone for half a second as if it could not be reached.
func TestTargetThatIsChosenHasAnAddress(t *testing.T) {
	g := newIdle(t)
	take := func(n int) {
		g.takeTargets(listOf(fmt.Sprintf("t%d-", n), manyTargets), time.Duration(n)*time.Second, (*route.Listing).Relay)
	}
	take(1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range listChanges {
			take(n + 2)
		}
	}()
	ask := placement.Ask{Service: "plain", Aim: time.Second, Time: time.Second}
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		target, known := g.core.choose(g, ask)
		require.NotEmpty(t, target)
		require.True(t, known, "address of %s", target)
	}
}

// A request whose target left the list before it was sent tells nothing of the target.
func TestTargetWithoutAnAddressIsNotBlamed(t *testing.T) {
	g := newIdle(t)
	g.core.board.SetTargets([]route.Target{{ID: "a", Service: "plain", Slots: 8, Place: "place1"}})
	x := &exchange{gateway: g, call: platform.Call{}, route: &route.Route{}, service: "plain"}
	x.ask = placement.Ask{Service: "plain", Aim: time.Second, Time: time.Second}
	choice := g.core.board.Choose(time.Now(), &x.ask)
	require.Equal(t, "a", choice.Target)
	g.core.board.Sent(time.Now(), &x.ask, &choice)
	_, err := x.start(context.Background(), choice)
	require.ErrorIs(t, err, errUnsent)
	require.Equal(t, "a", g.core.board.Choose(time.Now(), &x.ask).Target)
}

// An entry with the address of the host that reads it would send it its own requests.
func TestEntryWithTheOwnAddressNamesNoTarget(t *testing.T) {
	g := newIdle(t)
	row := func(key, address string) wire.TargetRow {
		return wire.TargetRow{Key: key, Value: fmt.Appendf(nil, `{"service":"plain","address":%q,"zone":"z","slots":1,"state":"ready"}`, address)}
	}
	g.takeTargets([]wire.TargetRow{
		row("own", g.settings.Listen.String()), row("ready", g.settings.Ready.String()), row("peer", g.settings.Peer.String()), row("a", "127.0.0.1:1"),
	}, time.Second, (*route.Listing).Relay)
	require.True(t, g.core.board.Serves(time.Now(), "a"))
	for _, key := range []string{"own", "ready", "peer"} {
		require.False(t, g.core.board.Serves(time.Now(), key), key)
	}
}

// What a host passes on fits a message between hosts, however long the entries are that others wrote.
func TestListThatIsPassedOnFitsAMessage(t *testing.T) {
	g := newIdle(t)
	table, err := platform.DecodeConfig([]byte(`{"version":1}`))
	require.NoError(t, err)
	g.applyConfig(table, nil)
	rows := listOf("t", manyTargets)
	for n := range rows {
		long := fmt.Appendf(nil, `{"more":%q,`, strings.Repeat("x", 60<<10))
		rows[n].Value = append(long, rows[n].Value[1:]...)
	}
	g.takeTargets(rows, time.Second, (*route.Listing).Relay)
	reply := g.reply(&wire.Query{})
	require.Len(t, reply.Targets, manyTargets)
	var frame bytes.Buffer
	require.NoError(t, wire.WriteMessage(&frame, reply))
	require.Less(t, frame.Len(), manyTargets*300)

	other := newIdle(t)
	other.takeTargets(reply.Targets, time.Second, (*route.Listing).Relay)
	require.Equal(t, reply.Digest, other.storeCache.targetsDigest(), "the host that hears knows the same")
}
