package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// A team whose callers leave is charged for what its engines read.
func TestWorkOfCallersThatLeftIsReceived(t *testing.T) {
	w := newWorld(1, 4, 1000)
	b := w.boards[0]
	a := placement.Ask{Service: "model", Team: "hasty", Aim: tightAim, Chain: placement.NewChain(nil, 10_000)}
	b.Asked(w.now, &a)
	choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
	b.Sent(w.now, &a, &choice)
	b.Ended(w.now, &a, "engine0", choice.Load, placement.Withdrawn, time.Second)
	b.Asked(w.now, &a)
	b.Asked(w.now, &a)
	w.now = w.now.Add(100 * time.Millisecond)
	require.NotEqual(t, placement.Entitled, b.Standing(w.now, "model", "hasty"))
}

// FAIR for a team whose requests don't reach their engines: what no engine began does
// not count as received.
func TestWorkThatNeverBeganIsNotReceived(t *testing.T) {
	for _, outcome := range []placement.Outcome{placement.Unreached, placement.Rejected, placement.Returned, placement.Silent} {
		w := newWorld(1, 4, 100_000)
		b := w.boards[0]
		for n := range 60 {
			team := "other"
			if n%2 == 0 {
				team = "unlucky"
			}
			a := placement.Ask{
				Service: "model", Team: team, Aim: tightAim, Output: 100,
				Chain: placement.NewChain([]placement.Part{{ID: uint64(n), Tokens: 10_000}}, 10_000),
			}
			b.Asked(w.now, &a)
			choice := placement.Choice{Target: "engine0", Load: placement.Load{Prompt: 10_000, Running: 1}}
			b.Sent(w.now, &a, &choice)
			if team == "unlucky" {
				b.Ended(w.now, &a, "engine0", choice.Load, outcome, time.Second)
			}
		}
		w.now = w.now.Add(100 * time.Millisecond)
		require.Equal(t, placement.Entitled, b.Standing(w.now, "model", "unlucky"), outcome)
		require.NotEqual(t, placement.Entitled, b.Standing(w.now, "model", "other"), outcome)
	}
}
