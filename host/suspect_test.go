package host_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/quarantine"
	"github.com/cassiachute/cassiachute/wire"
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

// A host that starts, or that was cut off, saw none of the crashes. It must not send the requests to targets once more.
func TestHostThatStartsIsToldWhatIsHeld(t *testing.T) {
	addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
	known := host.New(host.NewConfig(addresses[0], 1, "place1"))
	traits := []quarantine.Trait{7, 8}
	now := time.Unix(1_700_000_000, 0)
	for range 2 {
		now = now.Add(5 * time.Second)
		known.RecordCrash(now, &quarantine.Report{Target: "engine1", At: now, SentAt: now.Add(-time.Second), Traits: traits})
	}
	require.Positive(t, known.RetryAfterCrash(now, traits))
	known.Drain()

	started := host.New(host.NewConfig(addresses[1], 2, "place1"))
	known.PeerUp(now, addresses[1], 2, true)
	for _, send := range known.Drain().Sends {
		require.Equal(t, addresses[1], send.To)
		if _, ok := send.Message.(*wire.Heartbeat); !ok {
			started.Receive(now, addresses[0], 1, []wire.Message{send.Message})
		}
	}
	for _, trait := range traits {
		require.Positive(t, started.RetryAfterCrash(now, []quarantine.Trait{trait}))
	}
	require.Zero(t, started.RetryAfterCrash(now, []quarantine.Trait{9}))
}

// Operators have to see which requests a host keeps from targets, and until when.
func TestHeldAndReleasedTraitsAreReported(t *testing.T) {
	h := host.New(host.NewConfig(netip.MustParseAddrPort("10.0.0.1:1"), 1, "place1"))
	traits := []quarantine.Trait{7}
	now := time.Unix(1_700_000_000, 0)
	for range 2 {
		now = now.Add(5 * time.Second)
		h.RecordCrash(now, &quarantine.Report{Target: "engine1", At: now, SentAt: now.Add(-time.Second), Traits: traits})
	}
	changes := h.Drain().Traits
	require.Len(t, changes, 1)
	require.True(t, changes[0].Held)
	require.Equal(t, 2, changes[0].Incidents)
	require.Positive(t, changes[0].Hold)
	now = now.Add(changes[0].Hold)
	h.RecordAnswer(now, traits)
	changes = h.Drain().Traits
	require.Len(t, changes, 1)
	require.False(t, changes[0].Held)
	require.Empty(t, h.Drain().Traits)
}
