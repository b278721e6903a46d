package placement_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// Guards against requests that a lastingly slow engine can't answer in time and that could wait for another, and against
// refusals of those that can't wait.
func TestRequestsWaitForEnginesInTime(t *testing.T) {
	b, owned := speedBoard(1)
	slow := owned[0]
	now := observe(b, time.Unix(1000, 0), slow, 3, 0)
	ask := func(noWait bool, gap time.Duration) *placement.Request {
		a := homeRequest(1)
		for _, e := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
			if e != slow {
				a.Excluded = append(a.Excluded, e)
			}
		}
		a.LatencyGoal, a.AnyEngine, a.NoWait = tightGoal, true, noWait
		a.MaxOutput, a.AnswerTimeLimit = 10, tightGoal+10*gap
		return a
	}
	for range 500 {
		b.RecordEventGap(now, slow, 60*time.Millisecond)
	}
	waiting := ask(false, 40*time.Millisecond)
	require.Equal(t, placement.ReasonFull, b.Choose(now, waiting).Reason)
	require.Equal(t, slow, b.Choose(now, ask(true, 40*time.Millisecond)).Target)
	require.Equal(t, slow, b.Choose(now, ask(false, 80*time.Millisecond)).Target)

	require.True(t, b.Wait(now, 1, waiting))
	require.Empty(t, b.ServeQueue(now, "model"))
	grants := b.ExpireQueued(now.Add(b.MaxWait(waiting)))
	require.True(t, slices.ContainsFunc(grants, func(g placement.Grant) bool { return g.Choice.Target == slow }))
}
