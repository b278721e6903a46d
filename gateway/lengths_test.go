package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The duration of a stream is estimated from the slowest recent streams of its route and the number of its
// events. Once many quick streams follow, the slow ones no longer count.
func TestDurationEstimateUsesLongestRecentStreams(t *testing.T) {
	tracker := &durationTracker{routes: map[string]routeDurations{}}
	_, ok := tracker.typicalMax("r")
	require.False(t, ok)
	tracker.observe("r", 100*time.Millisecond, 1090*time.Millisecond, 100)
	tracker.observe("r", 200*time.Millisecond, 380*time.Millisecond, 10)
	tracker.observe("r", 20*time.Millisecond, 520*time.Millisecond, 2) // too few events to tell the interval
	for range 9 {
		tracker.observe("r", 20*time.Millisecond, 30*time.Millisecond, 11)
	}
	got, ok := tracker.estimate("r", 100)
	require.True(t, ok)
	require.Greater(t, got, time.Second)
	require.Less(t, got, 2*time.Second)
	typical, _ := tracker.typicalMax("r")
	require.Greater(t, typical, 600*time.Millisecond)
	for range 200 {
		tracker.observe("r", 20*time.Millisecond, 30*time.Millisecond, 11)
	}
	got, _ = tracker.estimate("r", 100)
	require.Less(t, got, 200*time.Millisecond)
	typical, _ = tracker.typicalMax("r")
	require.Less(t, typical, 50*time.Millisecond)
	_, ok = tracker.estimate("r", 0)
	require.False(t, ok)
}
