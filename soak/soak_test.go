package soak_test

import (
	"context"
	"io"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/knownred"
	"github.com/cassiachute/cassiachute/soak"
)

const (
	hosts      = 3
	length     = 12 * time.Second
	stopLength = 3 * time.Second // of a play whose last stops take some seconds more
)

// play plays a seed in a test, with the gateway of this source.
func play(t *testing.T, seed uint64, faults ...soak.Fault) *soak.Report {
	t.Helper()
	return playFor(t, length, seed, faults...)
}

// playFor plays a seed for a time.
func playFor(t *testing.T, length time.Duration, seed uint64, faults ...soak.Fault) *soak.Report {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	path, err := soak.Build(ctx, t.TempDir())
	require.NoError(t, err)
	r, err := soak.Run(ctx, soak.Draw(seed, hosts, length, faults), path, io.Discard)
	require.NoError(t, err)
	r.Print(os.Stdout)
	return r
}

// requireKept fails a test in which a rule was broken, or in which almost nothing was served.
func requireKept(t *testing.T, r *soak.Report) {
	t.Helper()
	for _, v := range r.Verdicts {
		require.Empty(t, v.Violations, "%s, logs in %s", v.Rule, r.Dir)
	}
	require.Greater(t, r.Served, r.Requests/2)
}

// Gateways end, stand still and read their settings while targets leave, fill up and break off.
func TestSoakOfGateways(t *testing.T) {
	knownred.Skip(t)
	requireKept(t, play(t, 1, soak.FaultBrokenAnswer, soak.FaultTargetFull, soak.FaultBadEntry, soak.FaultConfigChange, soak.FaultTargetDrain,
		soak.FaultGatewayPause, soak.FaultGatewayRestart, soak.FaultSettingsReload))
}

// Gateways are told to stop in turn, one of them again soon after its start, while callers go
// on on their connections, open others, send and read slowly and have long streams.
func TestSoakOfStops(t *testing.T) {
	knownred.Skip(t)
	r := playFor(t, stopLength, 246, soak.FaultGatewayRestart, soak.FaultRollingRestart, soak.FaultConfigChange, soak.FaultSettingsReload)
	requireKept(t, r)
	require.Greater(t, r.Stops, 2*hosts)
	require.Zero(t, r.Killed)
}

// Sound targets stand still beside changes of the configuration.
func TestSoakOfPauses(t *testing.T) {
	knownred.Skip(t)
	requireKept(t, play(t, 3, soak.FaultAnswerPause, soak.FaultConfigChange))
}

// Targets repeat earlier answers and answer a stream that should go on with errors.
func TestSoakOfAnswers(t *testing.T) {
	knownred.Skip(t)
	requireKept(t, play(t, 1, soak.FaultRepeatedAnswer, soak.FaultResumeError))
}

// Targets say that they are leaving or for how long they want no request.
func TestSoakOfNotices(t *testing.T) {
	knownred.Skip(t)
	requireKept(t, play(t, 1, soak.FaultLeavingNotice, soak.FaultRetryAfter, soak.FaultTargetFull, soak.FaultConfigChange))
}

// A seed decides the plan, and each kind of fault has a series of its own.
func TestPlanIsDrawnFromTheSeed(t *testing.T) {
	all := soak.Draw(7, hosts, time.Minute, soak.Faults())
	require.Equal(t, all, soak.Draw(7, hosts, time.Minute, soak.Faults()))
	require.NotEqual(t, all, soak.Draw(8, hosts, time.Minute, soak.Faults()))
	for _, name := range soak.Faults() {
		one := soak.Draw(7, hosts, time.Minute, []soak.Fault{name})
		require.NotEmpty(t, one.Events)
		for _, e := range one.Events {
			require.True(t, slices.Contains(all.Events, e), e)
			require.Less(t, e.At, time.Minute)
		}
	}
}
