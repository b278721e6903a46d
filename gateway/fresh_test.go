package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/wire"
)

// writerFunc is a function that takes log lines.
type writerFunc func(line []byte)

// Write implements io.Writer.
func (f writerFunc) Write(line []byte) (int, error) {
	f(line)
	return len(line), nil
}

// As soon as a host is ready, callers may send requests to it. It must not refuse them because it does not yet
// know how old its configuration is.
func TestHostThatIsReadyKnowsTheAgeOfItsConfiguration(t *testing.T) {
	var g *Gateway
	var ages []time.Duration
	g = newIdleGateway(t, WithLog(zerolog.New(writerFunc(func([]byte) {
		if g != nil && g.core.table.Load() != nil {
			ages = append(ages, g.core.configAge())
		}
	}))))
	g.takeConfig([]byte(`{"version":1}`), sinceBoot())
	require.NotEmpty(t, ages, "the configuration was put in force without a line in the log")
	for _, age := range ages {
		require.Less(t, age, maxDenialAge)
	}
}

// TestNewerConfigurationOfAnotherHostLeavesTheOwnUnconfirmed guards against a host that denies a route which another
// host already serves, since the store shows it an older configuration.
func TestNewerConfigurationOfAnotherHostLeavesTheOwnUnconfirmed(t *testing.T) {
	g := newIdleGateway(t)
	peer := netip.MustParseAddrPort("127.0.0.1:1")
	g.peers.update(peer, &wire.HostState{Boot: 1, Number: 1, Revision: 5}, time.Now())
	g.takeConfig([]byte(`{"version":4}`), sinceBoot())
	for range 2 {
		require.Greater(t, g.core.configAge(), maxDenialAge)
		g.confirmRevision(4, sinceBoot(), confirmation{})
		g.confirmRevision(4, sinceBoot(), confirmation{peer: peer})
	}
	asked, ok := g.peers.withNewer(g.revision())
	require.True(t, ok)
	require.Equal(t, peer, asked)
	g.takeConfig([]byte(`{"version":5}`), sinceBoot())
	require.Greater(t, g.core.configAge(), maxDenialAge)
	g.confirmRevision(5, sinceBoot(), confirmation{})
	require.Less(t, g.core.configAge(), maxDenialAge)
	_, ok = g.peers.withNewer(g.revision())
	require.False(t, ok)
}
