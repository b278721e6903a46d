package placement_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cassiachute/cassiachute/fixedseed"
	"github.com/cassiachute/cassiachute/placement"
)

// TestMain runs the tests of this package with fixed random seeds.
func TestMain(m *testing.M) { fixedseed.Main(m) }

// ExampleMaxMinShare shows the most that one of three teams may get of a capacity of 110.
func ExampleMaxMinShare() {
	demands := []placement.Demand{{Team: "small", Asked: 10}, {Team: "large", Asked: 500}, {Team: "larger", Asked: 900}}
	fmt.Println(placement.MaxMinShare(demands, 110))
	// Output: 50
}

// TestMaxMinShareAllocatesTheCapacity checks that the teams together get the whole capacity if each
// gets what it asks for, but at most the level that MaxMinShare returns. If there is enough for
// all, the level is infinite.
func TestMaxMinShareAllocatesTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1e6).Draw(t, "capacity")
		asked := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 20).Draw(t, "asked")
		demands := make([]placement.Demand, 0, len(asked))
		total := 0.0
		for _, a := range asked {
			demands = append(demands, placement.Demand{Asked: a})
			total += a
		}
		level := placement.MaxMinShare(demands, capacity)
		if math.IsInf(level, 1) {
			require.LessOrEqual(t, total, capacity*(1+1e-9))
			return
		}
		given := 0.0
		for _, d := range demands {
			given += math.Min(d.Asked, level)
		}
		require.InEpsilon(t, capacity, given, 1e-6)
	})
}
