package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// TestStateIncludesServiceToRemoteTeams guards against service that is not counted because the
// callers of a team use other hosts than the owner of the engine. The owner must report it, though
// the team asked for nothing at the owner itself.
func TestStateIncludesServiceToRemoteTeams(t *testing.T) {
	s := newSimulation(2, 4, 1000)
	owner := s.boards[0]
	request := placement.Request{Service: "model", Team: "guest", Remote: true, LatencyGoal: tightGoal, Chain: placement.NewPrefixChain(nil, 10_000)}
	choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
	owner.RecordSent(s.now, &request, &choice)
	remaining := owner.RecordFirstEvent(s.now, &request, choice, tightGoal)
	owner.RecordEnd(s.now, &request, "engine0", remaining, placement.Done, tightGoal)
	state := owner.State(s.now)
	require.Len(t, state.Demands, 1)
	require.Equal(t, "guest", state.Demands[0].Demand.Team)
	require.InDelta(t, 10_000, state.Demands[0].Demand.Received, 1)
}
