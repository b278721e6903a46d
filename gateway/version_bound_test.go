package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

// setEngineVersion sets the software version of the only engine, as one of the two hosts knows it.
func setEngineVersion(c *core, version string) {
	c.board.SetTargets([]route.Target{{ID: "engine0", Service: "model", Version: version, Slots: 1, Place: "place1"}})
}

// TestOwnerGrantsSlotOnlyAtVersion guards against a stream that goes on at another version because the owner of the engine
// knows another list of targets, or is of an earlier release and knows no versions.
func TestOwnerGrantsSlotOnlyAtVersion(t *testing.T) {
	for _, c := range []struct{ owner, asker, bound, want string }{
		{"1", "1", "1", "engine0"},
		{"", "", "", "engine0"},
		{"2", "1", "1", ""},
		{"1", "2", "1", ""},
		{"1", "2", "2", ""},
		{"1", "", "1", ""},
	} {
		p := newHostPair(1)
		setEngineVersion(p.owner, c.owner)
		setEngineVersion(p.asker, c.asker)
		ex := p.newExchange()
		ex.ask.FixVersion(c.bound)
		began := time.Now()
		choice, problem := ex.chooseTarget()
		require.Equal(t, c.want, choice.Target, "%+v", c)
		require.Equal(t, c.want == "", problem != nil, "%+v", c)
		if c.want == "" {
			require.Empty(t, p.owner.remoteRequests)
			require.Empty(t, p.asker.leases)
			require.Less(t, time.Since(began), time.Second, "nothing waits")
		}
	}
}

// TestSlotAtOtherVersionIsReturned guards against the use of a slot that an owner granted without regard to the version.
func TestSlotAtOtherVersionIsReturned(t *testing.T) {
	p := newHostPair(1)
	setEngineVersion(p.asker, "1")
	ex := p.newExchange()
	ex.ask.FixVersion("1")
	referral, ok := p.asker.board.NextOwner(time.Now(), &ex.ask)
	require.True(t, ok)
	l := &lease{number: 77, host: ownerNumber, ask: &ex.ask, answers: make(chan ownerAnswer, 2)}
	p.asker.leases[l.number] = l
	setEngineVersion(p.asker, "2")
	p.owner.receiveSlotRequest(askerNumber, slotRequestMessage(ex, l.number, &referral))
	require.Empty(t, (<-l.answers).choice.Target)
	require.Contains(t, ex.ask.Excluded, "engine0", "it is not asked for again")
	require.Empty(t, p.asker.leases)
	require.Empty(t, p.owner.remoteRequests)
}

// TestSlotRequestWithoutVersionKeepsItsForm guards against requests that hosts of an earlier release can't decode, as they
// reject a SlotRequest with more fields.
func TestSlotRequestWithoutVersionKeepsItsForm(t *testing.T) {
	for bound, kind := range map[bool]wire.Kind{false: wire.KindSlotRequest, true: wire.KindVersionSlotRequest} {
		p := newHostPair(1)
		ex := p.newExchange()
		if bound {
			ex.ask.FixVersion("")
		}
		_, problem := ex.chooseTarget()
		require.Nil(t, problem)
		require.Equal(t, kind, p.sent[0].Kind())
	}
}

// TestTargetWithNewVersionGetsNoBoundStream guards against a stream that goes on at another version because the entry of
// its target changes between the choice and the send.
func TestTargetWithNewVersionGetsNoBoundStream(t *testing.T) {
	g := newIdleGateway(t)
	update := func(n int, version string) {
		g.updateTargets([]wire.TargetRow{{Key: "a", Value: fmt.Appendf(nil,
			`{"service":"plain","address":"127.0.0.1:1","zone":"place1","version":%q,"slots":1,"state":"ready"}`, version)}}, time.Duration(n)*time.Second, (*route.Listing).Relay)
	}
	update(1, "1")
	x := &exchange{gateway: g, call: platform.Call{}, route: &route.Route{}, service: "plain"}
	x.ask = placement.Request{Service: "plain", LatencyGoal: time.Second, AnswerTimeLimit: time.Second}
	x.ask.FixVersion("1")
	choice := g.core.board.Choose(time.Now(), &x.ask)
	require.Equal(t, "a", choice.Target)
	g.core.board.RecordSent(time.Now(), &x.ask, &choice)
	dialling := &attempt{exchange: x, choice: choice, version: "1"}
	require.False(t, x.versionChanged(dialling))
	update(2, "2")
	require.True(t, x.versionChanged(dialling), "the connection may be to either version")
	a, err := x.send(context.Background(), choice)
	require.ErrorIs(t, err, errUnsent)
	require.Nil(t, a.conn, "it is not connected to")
	require.Equal(t, "a", g.core.board.Choose(time.Now(), &placement.Request{Service: "plain", LatencyGoal: time.Second}).Target, "its slot is free and it does not count as failed")
}
