package operator_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/standin/operator"
)

// Each configuration of a series can be decoded, has a higher version than the previous one and keeps
// the lowest timeouts, which callers rely on.
func TestSuccessiveConfigurationsAreValid(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	minTimeouts := map[string]time.Duration{
		operator.KindStream: operator.MinStreamTimeout * time.Millisecond, operator.KindLookup: operator.MinPlainTimeout * time.Millisecond,
		operator.KindOrder: operator.MinPlainTimeout * time.Millisecond,
	}
	d, sawAddedRoutes := operator.FirstConfig(), false
	for range 300 {
		before := d
		d = d.Next(rng.Uint64())
		require.Greater(t, d.Version, before.Version)
		body, err := json.Marshal(d)
		require.NoError(t, err)
		table, err := platform.DecodeConfig(body)
		require.NoError(t, err)
		require.Len(t, table.Routes, len(d.Routes))
		for n, r := range d.Routes {
			require.GreaterOrEqual(t, table.Routes[n].Timeout, minTimeouts[r.Kind])
		}
		sawAddedRoutes = sawAddedRoutes || len(d.Routes) > 350
	}
	require.True(t, sawAddedRoutes)
	require.Len(t, operator.FirstConfig().Routes, 4)
}

// An invalid entry either can't be decoded or names a target of an unknown service.
func TestInvalidEntriesNameNoKnownTarget(t *testing.T) {
	for n := range uint64(20) {
		target, err := platform.DecodeTarget(platform.Row{Key: "odd", Value: operator.InvalidEntry(n)})
		if err == nil {
			require.NotContains(t, []string{operator.ServiceStream, operator.ServicePlain, operator.ServiceMoved}, target.Service)
		}
	}
}
