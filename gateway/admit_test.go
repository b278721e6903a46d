package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

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
		require.Equal(t, fasthttp.StatusTooManyRequests, refusal.status)
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

// A team above its share was refused with the same status as when the service is out of order, so its callers
// took the refusal for an outage and turned to other hosts. It gets 429, and an entitled team gets 503.
func TestTeamAboveItsShareIsToldSo(t *testing.T) {
	refusalOf := func(reason placement.Reason, standing placement.Standing) *problem {
		return unplaced(placement.Choice{Reason: reason, Standing: standing, RetryAfter: time.Second})
	}
	for _, standing := range []placement.Standing{placement.AboveEntitledShare, placement.AboveEvenShare} {
		require.Equal(t, overShare("full", time.Second), refusalOf(placement.ReasonFull, standing))
	}
	require.Equal(t, notRun("full", time.Second), refusalOf(placement.ReasonFull, placement.Entitled))
	require.Equal(t, notRun("no-target", time.Second), refusalOf(placement.ReasonNoTarget, placement.AboveEvenShare))
	var response fasthttp.Response
	overShare(reasonQuota, 1500*time.Millisecond).write(&response, "r1")
	require.Equal(t, fasthttp.StatusTooManyRequests, response.StatusCode())
	require.Equal(t, "1.500", string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	require.True(t, response.ConnectionClose())
}
