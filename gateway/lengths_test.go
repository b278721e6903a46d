package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The longest recent streams determine the durations, and the estimate depends on the number of events.
func TestDurationEstimateUsesLongestRecentStreams(t *testing.T) {
	l := &durationTracker{routes: map[string]routeDurations{}}
	_, ok := l.typicalMax("r")
	require.False(t, ok)
	l.observe("r", 100*time.Millisecond, 1090*time.Millisecond, 100)
	l.observe("r", 200*time.Millisecond, 380*time.Millisecond, 10)
	l.observe("r", 20*time.Millisecond, 520*time.Millisecond, 2) // too few events to tell the interval
	for range 9 {
		l.observe("r", 20*time.Millisecond, 30*time.Millisecond, 11)
	}
	got, ok := l.estimate("r", 100)
	require.True(t, ok)
	require.Greater(t, got, time.Second)
	require.Less(t, got, 2*time.Second)
	usual, _ := l.typicalMax("r")
	require.Greater(t, usual, 600*time.Millisecond)
	for range 200 {
		l.observe("r", 20*time.Millisecond, 30*time.Millisecond, 11)
	}
	got, _ = l.estimate("r", 100)
	require.Less(t, got, 200*time.Millisecond)
	usual, _ = l.typicalMax("r")
	require.Less(t, usual, 50*time.Millisecond)
	_, ok = l.estimate("r", 0)
	require.False(t, ok)
}
