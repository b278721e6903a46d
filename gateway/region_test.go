package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// TestSlotOutsideAllowedRegionsIsReturned guards against an owner that ignores the allowed regions of a request, as one
// does that runs an older program or has other settings.
func TestSlotOutsideAllowedRegionsIsReturned(t *testing.T) {
	p := newHostPair(1)
	p.asker.board.SetRegions(map[string]string{"place1": "r1"})
	for region, want := range map[string]string{"r1": "engine0", "r2": ""} {
		ex := p.newExchange()
		ex.ask.Regions = []string{region}
		l := &lease{number: 7, host: ownerNumber, ask: &ex.ask, askedAt: sinceBoot(), answers: make(chan ownerAnswer, 2)}
		p.asker.leases[l.number] = l
		p.asker.receiveSlotResponse(ownerNumber, &wire.SlotResponse{Number: l.number, Target: "engine0"})
		choice, problem := ex.awaitOwner(l)
		require.Nil(t, problem)
		require.Equal(t, want, choice.Target, region)
		if want == "" {
			require.Equal(t, placement.ReasonNoTarget, choice.Reason)
			require.Empty(t, p.asker.leases)
		}
		delete(p.asker.leases, l.number)
	}
}
