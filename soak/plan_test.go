package soak_test

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/soak"
)

// planDigests are digests of the plans of five seeds, by kind of fault.
var planDigests = map[soak.FaultKind]string{
	soak.FaultBrokenAnswer:   "cdc955337c25",
	soak.FaultConfigChange:   "c08479a192c9",
	soak.FaultBadEntry:       "27dd206daf07",
	soak.FaultTargetFull:     "1f85654ad4fb",
	soak.FaultSettingsReload: "4a402a3ba563",
	soak.FaultTargetDrain:    "ab5421170da1",
	soak.FaultLeavingNotice:  "ff4991f162a4",
	soak.FaultAnswerPause:    "e49b64667317",
	soak.FaultRepeatedAnswer: "4aac733fdee6",
	soak.FaultResumeError:    "093f726dd1cb",
	soak.FaultRetryAfter:     "3c17348453ef",
	soak.FaultTargetStall:    "32eab328b695",
	soak.FaultGatewayPause:   "fe617c098db2",
	soak.FaultGatewayRestart: "dfbffe2a402a",
	soak.FaultColdRestart:    "7fa6949a07b0",
	soak.FaultEvacuation:     "50f79d50625c",
	soak.FaultStoreRestore:   "60c82ea11704",
}

// A new kind of fault does not change the plans of existing seeds, because each kind keeps its random series.
func TestPlansOfExistingSeedsDoNotChange(t *testing.T) {
	for name, want := range planDigests {
		var text strings.Builder
		for seed := range uint64(5) {
			for _, e := range soak.NewPlan(seed, hostCount, time.Minute, []soak.FaultKind{name}).Faults {
				fmt.Fprintln(&text, e, e.Seed)
			}
		}
		require.Equal(t, want, fmt.Sprintf("%x", sha256.Sum256([]byte(text.String())))[:12], name)
	}
}

// No two kinds of faults draw from the same random series.
func TestFaultKindsHaveDistinctRandomSeries(t *testing.T) {
	seen := map[uint64]soak.FaultKind{}
	for _, name := range soak.FaultKinds() {
		first := soak.NewPlan(1, hostCount, time.Hour, []soak.FaultKind{name}).Faults[0].Seed
		require.Empty(t, seen[first], name)
		seen[first] = name
	}
}
