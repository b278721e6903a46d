package gateway_test

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

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

// A process with work that does not end outlived its grace and was killed in the middle of answers.
func TestProcessWithEndlessWorkEndsWithinItsGrace(t *testing.T) {
	const grace = 1200 * time.Millisecond
	hold := make(chan struct{})
	defer close(hold)
	w := newWorldWith(t, graceOf(grace),
		newScripted(t, "a", "plain", func(*arrival) bool {
			<-hold
			return false
		}),
		newScripted(t, "m", "model", func(a *arrival) bool {
			a.begin()
			a.events(1, 2)
			<-hold
			return false
		}))
	order, stream := w.dial(""), w.dial("")
	ask(t, order, "/order/x", "r1")
	_, err := fmt.Fprint(stream, streamRequest("/stream/x", "r2"))
	require.NoError(t, err)
	w.until(func() bool { return len(w.targets[0].seen()) == 1 && len(w.targets[1].seen()) == 1 })
	w.stop()
	require.Less(t, w.ended(), grace)

	r := readResult(bufio.NewReader(order))
	require.NoError(t, r.err, "an order that its target has is answered")
	require.Equal(t, fasthttp.StatusGatewayTimeout, r.status)
	r = readResult(bufio.NewReader(stream))
	require.Error(t, r.err, "a stream that is cut must not look complete")
	require.Equal(t, wantEvents(2), r.body)
	require.Equal(t, 2, strings.Count(w.logs.String(), `"reason":"stopping"`))
	require.True(t, w.logged(`"event":"stopped"`))
}

func streamRequest(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Key: key1\r\nX-Token-Count: 100,40\r\nContent-Length: 0\r\n\r\n", path, id)
}
