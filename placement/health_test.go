package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
)

// A target that crashed and started again under the ID that it had was avoided for up to four seconds more, and
// preferred less for its failures before, though it is another process that has not failed.
func TestTargetThatStartsAgainIsUsedAtOnce(t *testing.T) {
	for _, service := range []string{"model", "plain"} {
		now := time.Unix(1000, 0)
		b, targets := newBoardWithTargets(service, "a")
		request := smallRequest(service)
		for range 5 { // each suspension is longer than the one before
			b.RecordEnd(now, request, "a", placement.Load{}, placement.Unreachable, 0)
			now = now.Add(4100 * time.Millisecond)
		}
		b.RecordEnd(now, request, "a", placement.Load{}, placement.Unreachable, 0)
		require.Equal(t, placement.ReasonNoTarget, b.Choose(now, request).Reason)
		b.SetTargets(targets)
		require.Equal(t, placement.ReasonNoTarget, b.Choose(now, request).Reason, "the same process")

		targets[0].StartedAt = time.Unix(2000, 0)
		b.SetTargets(targets)
		require.Equal(t, "a", b.Choose(now, request).Target, service)
	}
}
