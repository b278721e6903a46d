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
	manyTargets = 300 // in one list
	listChanges = 60  // lists applied while targets are chosen
)

// newIdleGateway returns a gateway that listens and does not run.
func newIdleGateway(t *testing.T, options ...Option) *Gateway {
	t.Helper()
	loopback.SkipToSharedPort(4)
	s := NewSettings()
	s.Name, s.Place = "host1", "place1"
	s.Listen, s.Ready, s.Peer, s.Store = loopback.Address(), loopback.Address(), loopback.Address(), loopback.Address()
	g, err := New(s, options...)
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, l := range g.listeners {
			l.Close() // fails only if it is closed already
		}
	})
	return g
}

// plainTargetRows returns rows of targets of a plain service whose ids have a prefix.
func plainTargetRows(prefix string, count int) []wire.TargetRow {
	rows := make([]wire.TargetRow, 0, count)
	for n := range count {
		rows = append(rows, wire.TargetRow{Key: fmt.Sprintf("%s%d", prefix, n), Value: fmt.Appendf(nil,
			`{"service":"plain","address":"127.0.0.1:%d","zone":"place1","slots":8,"state":"ready"}`, n+1)})
	}
	return rows
}

// chooseWithAddress returns the target chosen for a request, and whether its address is known at that
// time.
func (c *core) chooseWithAddress(g *Gateway, ask placement.Request) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice := c.board.Choose(time.Now(), &ask)
	_, known := g.address(choice.Target)
	return choice.Target, known
}

// While the list of targets changed, a new target could be chosen before its address was known. It then got
// no requests for half a second, as if it could not be reached.
func TestChosenTargetHasAddress(t *testing.T) {
	g := newIdleGateway(t)
	update := func(n int) {
		g.updateTargets(plainTargetRows(fmt.Sprintf("t%d-", n), manyTargets), time.Duration(n)*time.Second, (*route.Listing).Relay)
	}
	update(1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range listChanges {
			update(n + 2)
		}
	}()
	ask := placement.Request{Service: "plain", LatencyGoal: time.Second, AnswerTimeLimit: time.Second}
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		target, known := g.core.chooseWithAddress(g, ask)
		require.NotEmpty(t, target)
		require.True(t, known, "address of %s", target)
	}
}

// A target that leaves the list before a request is sent to it does not count as failed.
func TestTargetRemovedBeforeSendIsNotCountedAsFailed(t *testing.T) {
	g := newIdleGateway(t)
	g.core.board.SetTargets([]route.Target{{ID: "a", Service: "plain", Slots: 8, Place: "place1"}})
	ex := &exchange{gateway: g, call: platform.Call{}, route: &route.Route{}, service: "plain"}
	ex.ask = placement.Request{Service: "plain", LatencyGoal: time.Second, AnswerTimeLimit: time.Second}
	choice := g.core.board.Choose(time.Now(), &ex.ask)
	require.Equal(t, "a", choice.Target)
	g.core.board.RecordSent(time.Now(), &ex.ask, &choice)
	_, err := ex.send(context.Background(), choice)
	require.ErrorIs(t, err, errUnsent)
	require.Equal(t, "a", g.core.board.Choose(time.Now(), &ex.ask).Target)
}

// An entry with an address of the host itself is ignored, since the host would send requests to itself.
func TestEntryWithOwnAddressIsIgnored(t *testing.T) {
	g := newIdleGateway(t)
	row := func(key, address string) wire.TargetRow {
		return wire.TargetRow{Key: key, Value: fmt.Appendf(nil, `{"service":"plain","address":%q,"zone":"z","slots":1,"state":"ready"}`, address)}
	}
	g.updateTargets([]wire.TargetRow{
		row("own", g.settings.Listen.String()), row("ready", g.settings.Ready.String()), row("peer", g.settings.Peer.String()), row("a", "127.0.0.1:1"),
	}, time.Second, (*route.Listing).Relay)
	require.True(t, g.core.board.AcceptsRequests(time.Now(), "a"))
	for _, key := range []string{"own", "ready", "peer"} {
		require.False(t, g.core.board.AcceptsRequests(time.Now(), key), key)
	}
}

// A list of targets that a host relays to others fits into a message, however long the entries in the store
// are.
func TestRelayedTargetListFitsAMessage(t *testing.T) {
	g := newIdleGateway(t)
	table, err := platform.DecodeConfig([]byte(`{"version":1}`))
	require.NoError(t, err)
	g.applyConfig(table, nil)
	rows := plainTargetRows("t", manyTargets)
	for n := range rows {
		long := fmt.Appendf(nil, `{"more":%q,`, strings.Repeat("x", 60<<10))
		rows[n].Value = append(long, rows[n].Value[1:]...)
	}
	g.updateTargets(rows, time.Second, (*route.Listing).Relay)
	reply := g.reply(&wire.Query{})
	require.Len(t, reply.Targets, manyTargets)
	var frame bytes.Buffer
	require.NoError(t, wire.WriteMessage(&frame, reply))
	require.Less(t, frame.Len(), manyTargets*300)

	other := newIdleGateway(t)
	other.updateTargets(reply.Targets, time.Second, (*route.Listing).Relay)
	require.Equal(t, reply.Digest, other.storeCache.targetsDigest(), "the receiving host has the same list")
}
