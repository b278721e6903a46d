package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// FAIR for teams beside one whose callers are all at other hosts than the owners of its
// engines: an owner tells what it gave the team, though nobody asked there.
func TestNewsTellWhatGuestsReceived(t *testing.T) {
	w := newSimulation(2, 4, 1000)
	owner := w.boards[0]
	a := placement.Ask{Service: "model", Team: "guest", Guest: true, Aim: tightAim, Chain: placement.NewChain(nil, 10_000)}
	choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
	owner.Sent(w.now, &a, &choice)
	left := owner.First(w.now, &a, choice, tightAim)
	owner.Ended(w.now, &a, "engine0", left, placement.Done, tightAim)
	news := owner.News(w.now)
	require.Len(t, news.Demands, 1)
	require.Equal(t, "guest", news.Demands[0].Demand.Team)
	require.InDelta(t, 10_000, news.Demands[0].Demand.Received, 1)
}
