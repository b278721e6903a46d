package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// While engines are full, nearly all requests of a team that asks for a thousand times its share are
// refused on arrival. Other teams, resumed streams and requests without a team are admitted.
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
	of := func(team string, seed uint64) *arrival {
		ask := placement.Request{Service: "model", Team: team, Seed: seed, Chain: placement.PrefixChain{Total: 1000}}
		return &arrival{ask: ask}
	}
	const tries = 1000
	refused := 0
	for seed := range uint64(tries) {
		p := c.admit(now, of("flood", seed))
		if p == nil {
			continue
		}
		refused++
		require.Equal(t, reasonQuota, p.reason)
		require.Greater(t, p.retryAfter, time.Second)
		require.LessOrEqual(t, p.retryAfter, 3*time.Second)
		goesOn := of("flood", seed)
		goesOn.resumesStream = true
		require.Nil(t, c.admit(now, goesOn))
	}
	require.Greater(t, refused, tries*9/10)
	for seed := range uint64(tries) {
		require.Nil(t, c.admit(now, of("calm", seed)))
		require.Nil(t, c.admit(now, of("", seed)))
	}
}
