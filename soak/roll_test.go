package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Gateways are all stopped in turn, one of them twice, and a seed decides how.
func TestStepsOfARoll(t *testing.T) {
	series := map[bool]int{}
	for draw := range uint64(20) {
		e := Event{Who: 1, Draw: draw}
		all := steps(e, 3)
		require.Equal(t, all, steps(e, 3))
		again := 0
		for n, s := range all {
			require.Equal(t, (1+n)%3, s.who)
			require.Less(t, s.gap, rollGap)
			series[s.series]++
			if s.again > 0 {
				again++
			}
		}
		require.Equal(t, 1, again)
	}
	require.Greater(t, min(series[true], series[false]), 10)
}
