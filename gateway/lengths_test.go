package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The longest streams of late count, and a longer one that is announced takes longer.
func TestLengthsAreUpperMarks(t *testing.T) {
	l := &lengths{routes: map[string]length{}}
	_, ok := l.expect("r", 10)
	require.False(t, ok)
	l.learn("r", 100*time.Millisecond, 1100*time.Millisecond, 100)
	l.learn("r", 200*time.Millisecond, 400*time.Millisecond, 10)
	for range 9 {
		l.learn("r", 20*time.Millisecond, 30*time.Millisecond, 10)
	}
	got, ok := l.expect("r", 100)
	require.True(t, ok)
	require.Greater(t, got, time.Second)
	require.Less(t, got, 2*time.Second)
	whole, _ := l.expect("r", 0)
	require.Greater(t, whole, 600*time.Millisecond)
	for range 200 {
		l.learn("r", 20*time.Millisecond, 30*time.Millisecond, 10)
	}
	got, _ = l.expect("r", 100)
	require.Less(t, got, 200*time.Millisecond)
}
