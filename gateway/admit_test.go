package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// One team must not crowd out the others. While the only engine is full, the gateway refuses on arrival
// more than nine tenths of the requests of a team whose demand is a thousand times its share. It admits
// requests of another team, requests without a team, and streams that the first team resumes.
func TestRequestsFarAboveTeamShareAreRefused(t *testing.T) {
	c := newCore(Settings{Place: "place1"})
	c.board.Configure(route.NewTable(route.Table{
		Version: 1, Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: 1, TokenCapacity: 1000}}},
	}))
	c.board.SetTargets([]route.Target{{ID: "engine1", Service: "model", Slots: 1, Place: "place1"}})
	demand := func(team string, received, asked float64) placement.ServiceDemand {
		return placement.ServiceDemand{Service: "model", Demand: placement.Demand{Team: team, Received: received, Asked: asked}}
	}
	now := time.Now()
	c.board.ApplyPeerState(now, 7, placement.PeerState{
		Loads:   []placement.TargetLoad{{Target: "engine1", Load: placement.Load{Running: 1}}},
		Demands: []placement.ServiceDemand{demand("flood", 1e6, 1e9), demand("calm", 1e5, 2e5)},
	})
	arrivalOf := func(team string, seed uint64) *arrival {
		request := placement.Request{Service: "model", Team: team, Seed: seed, Chain: placement.PrefixChain{Total: 1000}}
		return &arrival{ask: request}
	}
	const tries = 1000
	refused := 0
	for seed := range uint64(tries) {
		refusal := c.admit(now, arrivalOf("flood", seed))
		if refusal == nil {
			continue
		}
		refused++
		require.Equal(t, reasonQuota, refusal.reason)
		require.Greater(t, refusal.retryAfter, time.Second)
		require.LessOrEqual(t, refusal.retryAfter, 3*time.Second)
		resumed := arrivalOf("flood", seed)
		resumed.resumesStream = true
		require.Nil(t, c.admit(now, resumed))
	}
	require.Greater(t, refused, tries*9/10)
	for seed := range uint64(tries) {
		require.Nil(t, c.admit(now, arrivalOf("calm", seed)))
		require.Nil(t, c.admit(now, arrivalOf("", seed)))
	}
}
