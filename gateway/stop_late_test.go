package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/settings"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// graceOf returns a change of the settings that sets the grace.
func graceOf(grace time.Duration) func(s *gateway.Settings) {
	return func(s *gateway.Settings) { s.Grace = settings.Span{Duration: grace} }
}

// ended returns how long the process takes to end, from now on.
func (w *world) ended() time.Duration {
	w.t.Helper()
	began := time.Now()
	require.NoError(w.t, got(w.t, w.done))
	return time.Since(began)
}

// An idle process outlived its grace, since it waited for calls of a store that did not answer.
func TestIdleProcessEndsWithinItsGraceWithoutAStore(t *testing.T) {
	const grace = 1200 * time.Millisecond
	w := newWorldWith(t, graceOf(grace))
	w.store.SetFaults(standin.Faults{Slow: 5000})
	w.until(func() bool { return w.logged(`"event":"store-lost"`) })
	w.stop()
	require.Less(t, w.ended(), grace)
	require.True(t, w.logged(`"event":"stopped"`))
}
