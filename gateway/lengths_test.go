package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The longest streams of late count, and one that may not be resumed counts by the events announced.
func TestLengthsAreUpperMarks(t *testing.T) {
	l := &lengths{routes: map[string]length{}}
	_, ok := l.usual("r")
	require.False(t, ok)
	l.learn("r", 100*time.Millisecond, 1090*time.Millisecond, 100)
	l.learn("r", 200*time.Millisecond, 380*time.Millisecond, 10)
	l.learn("r", 20*time.Millisecond, 520*time.Millisecond, 2) // one pause tells no pace
	for range 9 {
		l.learn("r", 20*time.Millisecond, 30*time.Millisecond, 11)
	}
	got, ok := l.most("r", 100)
	require.True(t, ok)
	require.Greater(t, got, time.Second)
	require.Less(t, got, 2*time.Second)
	usual, _ := l.usual("r")
	require.Greater(t, usual, 600*time.Millisecond)
	for range 200 {
		l.learn("r", 20*time.Millisecond, 30*time.Millisecond, 11)
	}
	got, _ = l.most("r", 100)
	require.Less(t, got, 200*time.Millisecond)
	usual, _ = l.usual("r")
	require.Less(t, usual, 50*time.Millisecond)
	_, ok = l.most("r", 0)
	require.False(t, ok)
}
