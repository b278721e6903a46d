package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cassiachute/cassiachute/route"
)

// TestIncrementalPeerLoadsMatchRecomputedOnes guards against errors in the load that other hosts
// put on each target, which is only updated by differences. After random state reports, hosts that
// fall silent, and changes of the list of targets, it must equal the recomputed sum of the reports.
func TestIncrementalPeerLoadsMatchRecomputedOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoard("place1")
		now := time.Unix(1000, 0)
		id := func(n int) string { return fmt.Sprint("engine", n) }
		t.Repeat(map[string]func(*rapid.T){
			"targets": func(t *rapid.T) {
				var list []route.Target
				for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 5), rapid.ID).Draw(t, "listed") {
					list = append(list, route.Target{ID: id(n), Service: "model"})
				}
				b.SetTargets(list)
			},
			"news": func(t *rapid.T) {
				var state PeerState
				for _, k := range rapid.SliceOfDistinct(rapid.IntRange(0, 5), rapid.ID).Draw(t, "busy") {
					load := Load{Prompt: rapid.IntRange(0, 9).Draw(t, "prompt"), Running: 1, Memory: 5}
					state.Loads = append(state.Loads, TargetLoad{Target: id(k), Load: load})
				}
				b.ApplyPeerState(now, rapid.Uint64Range(0, 3).Draw(t, "from"), state)
			},
			"silence": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, PeerStateLifetime(4)}).Draw(t, "pause"))
				b.Tick(now)
			},
			"": func(t *rapid.T) {
				incremental := map[string]Load{}
				for name, r := range b.targets {
					incremental[name] = r.peerLoad
				}
				b.sumPeerLoads()
				for name, r := range b.targets {
					require.Equal(t, r.peerLoad, incremental[name], name)
				}
			},
		})
	})
}

// TestStateRateOfALargeFleet checks that a host receives as many state reports a second in a large
// fleet as in a medium one, and that a report stays valid until several more should have arrived.
func TestStateRateOfALargeFleet(t *testing.T) {
	require.Equal(t, minStatePeriod, StatePeriod(7))
	for _, hosts := range []int{30, 100, 300, 1000} {
		perSecond := float64(hosts) / StatePeriod(hosts).Seconds()
		require.InDelta(t, 250, perSecond, 1)
		require.GreaterOrEqual(t, PeerStateLifetime(hosts), peerLifetimePeriods*StatePeriod(hosts))
		remotePeriod := time.Duration(RemoteStateEvery(hosts)) * StatePeriod(hosts)
		require.LessOrEqual(t, remotePeriod, max(maxRemoteStatePeriod, StatePeriod(hosts)))
		require.GreaterOrEqual(t, PeerStateLifetime(hosts), remoteLifetimePeriods*remotePeriod)
	}
}
