package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A rolling restart stops each gateway, one of them twice, and its seed determines the order and the delays.
func TestRollStepsCoverAllGateways(t *testing.T) {
	series := map[bool]int{}
	for draw := range uint64(20) {
		e := ScheduledFault{Index: 1, Seed: draw}
		steps := drawRollSteps(e, 3)
		require.Equal(t, steps, drawRollSteps(e, 3))
		again := 0
		for n, s := range steps {
			require.Equal(t, (1+n)%3, s.gateway)
			require.Less(t, s.delay, maxRollDelay)
			series[s.sequential]++
			if s.secondStopDelay > 0 {
				again++
			}
		}
		require.Equal(t, 1, again)
	}
	require.Greater(t, min(series[true], series[false]), 10)
}
