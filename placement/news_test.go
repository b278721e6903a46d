package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// TestStateIncludesServiceToRemoteTeams lets all callers of a team use other hosts than the
// owner of its engine. The state that the owner reports must include the service to the team,
// though the team asked for nothing there.
func TestStateIncludesServiceToRemoteTeams(t *testing.T) {
	s := newSimulation(2, 4, 1000)
	owner := s.boards[0]
	a := placement.Request{Service: "model", Team: "guest", Remote: true, LatencyGoal: tightGoal, Chain: placement.NewPrefixChain(nil, 10_000)}
	choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
	owner.RecordSent(s.now, &a, &choice)
	remaining := owner.RecordFirstEvent(s.now, &a, choice, tightGoal)
	owner.RecordEnd(s.now, &a, "engine0", remaining, placement.Done, tightGoal)
	state := owner.State(s.now)
	require.Len(t, state.Demands, 1)
	require.Equal(t, "guest", state.Demands[0].Demand.Team)
	require.InDelta(t, 10_000, state.Demands[0].Demand.Received, 1)
}
