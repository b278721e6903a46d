package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// TestAgeOfSlotCountsFromItsGrant guards against a host that was suspended, reads the answer of an owner long after it
// came, and takes the slot for a new one: it may be older than warmup.MaxGrantAge.
func TestAgeOfSlotCountsFromItsGrant(t *testing.T) {
	const (
		sinceAsked = 900 * time.Millisecond
		waited     = 400 * time.Millisecond
	)
	p := newHostPair(1)
	ex := p.newExchange()
	l := &lease{number: 7, host: ownerNumber, ask: &ex.ask, askedAt: sinceBoot() - sinceAsked, answers: make(chan ownerAnswer, 2)}
	p.asker.leases[l.number] = l
	p.asker.receiveSlotResponse(ownerNumber, &wire.SlotResponse{Number: l.number, Target: "engine0", Waited: toMillis(waited)})
	choice, problem := ex.awaitOwner(l)
	require.Nil(t, problem)
	require.Equal(t, "engine0", choice.Target)
	require.GreaterOrEqual(t, sinceBoot()-ex.chosenAt, sinceAsked-waited)
}

// TestOwnerTellsHowLongRequestWaited guards against slots that count as old since their requests waited for them.
func TestOwnerTellsHowLongRequestWaited(t *testing.T) {
	const waited = 100 * time.Millisecond
	p := newHostPair(1)
	ex := p.newExchange()
	choice, _ := ex.chooseTarget()
	waiting := p.newExchange()
	p.owner.receiveSlotRequest(askerNumber, &wire.SlotRequest{Number: 99, Service: "model", Target: "engine0", FirstEventLimit: toMillis(waiting.ask.LatencyGoal), MayWait: true})
	r := p.owner.remoteRequests[remoteKey{host: askerNumber, number: 99}]
	require.NotNil(t, r)
	r.askedAt = r.askedAt.Add(-waited)
	p.asker.onEnd(ex, choice, choice.Load, placement.Done, time.Millisecond)
	for _, m := range p.sent {
		if v, ok := m.(*wire.SlotResponse); ok && v.Number == 99 && v.Target != "" {
			require.GreaterOrEqual(t, v.Waited, toMillis(waited))
			return
		}
	}
	require.Fail(t, "the request that waited has no slot")
}
