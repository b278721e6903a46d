package host_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/quarantine"
)

// forgottenAfter is longer than a host remembers a single crash.
const forgottenAfter = 11 * time.Minute

// A single crash says little about a request, and nothing any more after a long time. Two crashes that are hours
// apart are no reason to refuse it.
func TestCrashOfLongAgoIsForgotten(t *testing.T) {
	h := host.New(host.NewConfig(netip.MustParseAddrPort("10.0.0.1:1"), 1, "place1"))
	traits := []quarantine.Trait{7}
	now := time.Unix(1_700_000_000, 0)
	crash := func() bool {
		return h.RecordCrash(now, &quarantine.Report{Target: "engine1", At: now, SentAt: now.Add(-time.Second), Traits: traits})
	}
	require.False(t, crash())
	require.True(t, h.IsSuspected(traits))
	now = now.Add(forgottenAfter)
	h.Tick(now)
	require.False(t, h.IsSuspected(traits))
	require.False(t, crash())
	now = now.Add(time.Minute)
	require.True(t, crash(), "crashes a minute apart count together")
}
