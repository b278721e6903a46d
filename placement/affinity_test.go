package placement

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// TestRememberedPrefixesAreBounded checks that the number of remembered prompt prefixes of all
// targets together is bounded, that each target keeps a minimum number however many targets there
// are, and that a cache that shrinks keeps the newest prefixes.
func TestRememberedPrefixesAreBounded(t *testing.T) {
	require.Equal(t, maxPrefixesPerTarget, prefixesPerTarget(0))
	require.Equal(t, maxPrefixesPerTarget, prefixesPerTarget(12))
	for _, targets := range []int{16, 60, 112, 256} {
		require.LessOrEqual(t, targets*prefixesPerTarget(targets), maxPrefixesTotal)
	}
	require.Equal(t, minPrefixesPerTarget, prefixesPerTarget(10_000))
	cache := newPrefixCache(maxPrefixesPerTarget)
	for n := range uint64(maxPrefixesPerTarget) {
		cache.add(PrefixChain{Hashes: []uint64{n + 1}, Lengths: []int{10}})
	}
	cache.resize(minPrefixesPerTarget)
	require.Zero(t, cache.match(PrefixChain{Hashes: []uint64{1}, Lengths: []int{10}}))
	require.Equal(t, 10, cache.match(PrefixChain{Hashes: []uint64{maxPrefixesPerTarget}, Lengths: []int{10}}), "the newest are kept")
}

// TestPromptLengthIsBounded guards against token counts of a caller that are negative or so large
// that their sum overflows, which gave a negative time in the queue.
func TestPromptLengthIsBounded(t *testing.T) {
	const maxTokens = 1 << 26
	for _, tokens := range []int{1 << 24, math.MaxInt / 4, math.MaxInt, -5} {
		parts := make([]Part, 6000)
		for n := range parts {
			parts[n] = Part{ID: uint64(n + 1), Tokens: tokens}
		}
		c := NewPrefixChain(parts, tokens)
		require.True(t, slices.IsSorted(c.Lengths))
		require.GreaterOrEqual(t, c.Lengths[0], 0)
		require.GreaterOrEqual(t, c.Total, c.SharedTokens())
		require.LessOrEqual(t, c.Total, maxTokens)
		b := NewBoard("place1")
		b.Configure(route.NewTable(route.Table{Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 4, TokenCapacity: 1 << 20}}}}))
		b.SetTargets([]route.Target{{ID: "a", Service: "model", Slots: 4, Place: "place1"}})
		request := Request{Service: "model", Chain: c, MaxOutput: 1 << 24, LatencyGoal: time.Second, AnswerTimeLimit: time.Second, AnyEngine: true}
		choice := b.Choose(time.Unix(1000, 0), &request)
		require.GreaterOrEqual(t, choice.ExpectedTime, time.Duration(0))
		require.GreaterOrEqual(t, choice.Load.Memory, 0)
	}
}
