package placement

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// The number of prompt prefixes remembered is bounded over all targets, and each target has some.
func TestRememberedPrefixesAreBounded(t *testing.T) {
	require.Equal(t, maxChainsPerTarget, chainsPerTarget(0))
	require.Equal(t, maxChainsPerTarget, chainsPerTarget(12))
	for _, targets := range []int{16, 60, 112, 256} {
		require.LessOrEqual(t, targets*chainsPerTarget(targets), maxChainsTotal)
	}
	require.Equal(t, minChainsPerTarget, chainsPerTarget(10_000))
	m := newPrefixCache(maxChainsPerTarget)
	for n := range uint64(maxChainsPerTarget) {
		m.add(Chain{Names: []uint64{n + 1}, Tokens: []int{10}})
	}
	m.resize(minChainsPerTarget)
	require.Zero(t, m.match(Chain{Names: []uint64{1}, Tokens: []int{10}}))
	require.Equal(t, 10, m.match(Chain{Names: []uint64{maxChainsPerTarget}, Tokens: []int{10}}), "the newest are kept")
}

// Very large or negative token counts sent by a caller are bounded. Unbounded counts overflowed and
// gave a negative time in the queue.
func TestLengthOfAPromptIsBounded(t *testing.T) {
	const most = 1 << 26
	for _, tokens := range []int{1 << 24, math.MaxInt / 4, math.MaxInt, -5} {
		parts := make([]Part, 6000)
		for n := range parts {
			parts[n] = Part{ID: uint64(n + 1), Tokens: tokens}
		}
		c := NewChain(parts, tokens)
		require.True(t, slices.IsSorted(c.Tokens))
		require.GreaterOrEqual(t, c.Tokens[0], 0)
		require.GreaterOrEqual(t, c.Total, c.Shared())
		require.LessOrEqual(t, c.Total, most)
		b := NewBoard("place1")
		b.Configure(route.NewTable(route.Table{Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 4, Memory: 1 << 20}}}}))
		b.SetTargets([]route.Target{{ID: "a", Service: "model", Slots: 4, Place: "place1"}})
		a := Ask{Service: "model", Chain: c, Output: 1 << 24, Aim: time.Second, Time: time.Second, Anywhere: true}
		choice := b.Choose(time.Unix(1000, 0), &a)
		require.GreaterOrEqual(t, choice.Expect, time.Duration(0))
		require.GreaterOrEqual(t, choice.Load.Memory, 0)
	}
}
