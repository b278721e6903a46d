package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

// cachedPart identifies a part of a prompt that the engines have already processed and cached.
const cachedPart = 77

// A slot request with more identifiers of prompt parts than token counts crashed the host that received it.
// Such a request must be refused.
func TestSlotRequestWithInconsistentPromptIsRefused(t *testing.T) {
	p := newHostPair(4)
	for _, c := range []*core{p.owner, p.asker} {
		c.board.SetTargets(twoEngines())
	}
	valid := wire.Prompt{Parts: []uint64{cachedPart}, PartTokens: []uint32{5000}, TotalTokens: 6000}
	for _, target := range []string{"engine0", "engine1"} {
		p.owner.receivePromptPlaced(&wire.PromptPlaced{Target: target, Prompt: valid})
	}
	for n, malformed := range []wire.Prompt{
		{Parts: []uint64{1, 2, cachedPart}, PartTokens: []uint32{5000}, TotalTokens: 6000},
		{Parts: []uint64{cachedPart}, TotalTokens: 6000},
		{PartTokens: []uint32{1 << 31, 7}, TotalTokens: 1},
		{Parts: []uint64{cachedPart}, PartTokens: []uint32{1<<32 - 1}, TotalTokens: 0},
	} {
		p.sent = nil
		require.NotPanics(t, func() {
			p.owner.receiveSlotRequest(askerNumber, &wire.SlotRequest{
				Number: uint64(n + 1), Service: "model", Target: "engine0", Prompt: malformed, FirstEventLimit: toMillis(time.Second), MayWait: true,
			})
			p.owner.receivePromptPlaced(&wire.PromptPlaced{Target: "engine0", Prompt: malformed})
		})
		require.Equal(t, []string{""}, targetsOf(p.sent), "a malformed request got a slot")
		p.owner.mu.Lock()
		require.Empty(t, p.owner.remoteRequests)
		p.owner.mu.Unlock()
	}
	p.sent = nil
	p.owner.receiveSlotRequest(askerNumber, &wire.SlotRequest{Number: 9, Service: "model", Target: "engine0", Prompt: valid, FirstEventLimit: toMillis(time.Second), AnyEngine: true})
	require.NotEqual(t, []string{""}, targetsOf(p.sent), "a valid request got no slot")
}

// A slot request for a service that is not configured is refused and creates no state.
func TestSlotRequestForUnknownServiceIsRefused(t *testing.T) {
	p := newHostPair(4)
	p.owner.receiveSlotRequest(askerNumber, &wire.SlotRequest{Number: 1, Service: "odd", Target: "engine0", FirstEventLimit: toMillis(time.Second)})
	require.Equal(t, []string{""}, targetsOf(p.sent))
	require.False(t, p.owner.board.HasService("odd"))
}

// twoEngines returns two engines of the service that newHostPair configures.
func twoEngines() []route.Target {
	return []route.Target{
		{ID: "engine0", Service: "model", Slots: 4, Place: "place1"}, {ID: "engine1", Service: "model", Slots: 4, Place: "place1"},
	}
}

// targetsOf returns the targets of the slot responses among messages.
func targetsOf(messages []wire.Message) []string {
	var list []string
	for _, m := range messages {
		if v, ok := m.(*wire.SlotResponse); ok {
			list = append(list, v.Target)
		}
	}
	return list
}
