package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Load: one stream in 50 has a wrong number, in any order. The numbers stay known as consecutive.
func TestNumberingWithstandsFaultyTargets(t *testing.T) {
	for offset := range 50 {
		h := numberingHistory{}
		for n := range 500 {
			h = h.observe(n%50 == offset)
			if n > minNumberedStreams {
				require.Equal(t, numberingConsecutive, h.numbering(), "stream %d of offset %d", n, offset)
			}
		}
	}
}

// Load: a service whose numbers leave gaps, at first or after a new version. Its streams are passed on again after a few.
func TestNumberingFollowsServiceThatLeavesGaps(t *testing.T) {
	h := numberingHistory{}
	require.Equal(t, numberingUnknown, h.numbering())
	for range minNumberedStreams {
		h = h.observe(true)
	}
	require.Equal(t, numberingGapped, h.numbering())
	for range 100 {
		h = h.observe(false)
	}
	require.Equal(t, numberingConsecutive, h.numbering())
	refused := 0
	for ; h.numbering() == numberingConsecutive; refused++ {
		h = h.observe(true)
	}
	require.Less(t, refused, 6)
}

// Services are numbered independently of one another, and only a change is reported.
func TestNumberingIsKeptByService(t *testing.T) {
	tracker := numberingTracker{services: map[string]numberingHistory{}}
	for n := range minNumberedStreams {
		_, changed := tracker.observe("a", false)
		require.Equal(t, n == minNumberedStreams-1, changed)
	}
	require.Equal(t, numberingConsecutive, tracker.of("a"))
	require.Equal(t, numberingUnknown, tracker.of("b"))
}
