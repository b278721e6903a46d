package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The parts remembered for all targets are bounded, and each target has some.
func TestRememberedPartsAreBounded(t *testing.T) {
	require.Equal(t, mostChains, chainsPerTarget(0))
	require.Equal(t, mostChains, chainsPerTarget(12))
	for _, targets := range []int{16, 60, 112, 256} {
		require.LessOrEqual(t, targets*chainsPerTarget(targets), chainsOfAll)
	}
	require.Equal(t, fewestChains, chainsPerTarget(10_000))
	m := newMemory(mostChains)
	for n := range uint64(mostChains) {
		m.keep(Chain{Names: []uint64{n + 1}, Tokens: []int{10}})
	}
	m.resize(fewestChains)
	require.Zero(t, m.held(Chain{Names: []uint64{1}, Tokens: []int{10}}))
	require.Equal(t, 10, m.held(Chain{Names: []uint64{mostChains}, Tokens: []int{10}}), "the newest stay")
}
