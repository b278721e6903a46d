package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// Guards against a state that leaves the speeds out and is taken for one that says that all targets are alike, and against
// ratios that a message changes by more than its unit.
func TestSpeedsInMessages(t *testing.T) {
	require.Nil(t, speedsFromMessage(speedMessages(nil)))
	require.NotNil(t, speedsFromMessage(speedMessages([]placement.SharedSpeed{})))
	for _, ratio := range []float64{0.3, 0.7, 1, 1.7, 4, 7.9} {
		got := speedsFromMessage(speedMessages([]placement.SharedSpeed{{Target: "t", Ratio: ratio, Step: -2}}))
		require.Equal(t, "t", got[0].Target)
		require.Equal(t, int8(-2), got[0].Step)
		require.InEpsilon(t, ratio, got[0].Ratio, 0.03)
	}
}
