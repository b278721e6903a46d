package history_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/history"
)

// TestVersionOfAnEarlierEraIsBeforeAllOfALaterOne guards against a version that was given out twice and is taken for
// the newer one.
func TestVersionOfAnEarlierEraIsBeforeAllOfALaterOne(t *testing.T) {
	ordered := []history.Position{{}, {Version: 9}, {Era: 1}, {Era: 1, Version: 90}, {Era: 2, Version: 7}, {Era: 2, Version: 8}}
	for i, p := range ordered {
		for j, other := range ordered {
			want := 0
			if i < j {
				want = -1
			} else if i > j {
				want = 1
			}
			require.Equal(t, want, p.Compare(other), "%v %v", p, other)
		}
	}
}

// TestPackedPositionsKeepTheirOrder guards against hosts that rank what another host read by a packed position wrongly,
// among them those of a release that knows versions only.
func TestPackedPositionsKeepTheirOrder(t *testing.T) {
	ordered := []history.Position{{}, {Version: 9}, {Era: 1}, {Era: 1, Version: 90}, {Era: 2, Version: 7}, {Era: 1<<16 - 1, Version: 1<<48 - 1}}
	for i, p := range ordered {
		require.Equal(t, p, history.Unpack(p.Pack()))
		if i > 0 {
			require.Greater(t, p.Pack(), ordered[i-1].Pack())
		}
	}
	require.EqualValues(t, 9, ordered[1].Pack())
	require.Equal(t, ordered[5].Pack(), history.Position{Era: 1 << 20, Version: 1 << 60}.Pack())
	require.EqualValues(t, 3, history.Unpack(history.Position{Era: 3, Version: 1 << 60}.Pack()).Era)
}

// TestAnswersOfOtherErasAreTold guards against answers that were on their way while the store came back from a copy,
// against returns between two reads, and against answers without an era.
func TestAnswersOfOtherErasAreTold(t *testing.T) {
	var tracker history.Tracker
	for _, step := range []struct {
		era      uint64
		valid    bool
		want     history.Relation
		restores uint64
	}{
		{0, false, history.Unnumbered, 0}, {0, true, history.First, 0}, {0, false, history.Missing, 0},
		{4, true, history.Newer, 1}, {4, true, history.Same, 1}, {0, false, history.Missing, 1},
		{6, true, history.Newer, 2}, {5, true, history.Older, 2}, {4, true, history.Older, 2}, {7, true, history.Newer, 3},
	} {
		require.Equal(t, step.want, tracker.Note(time.Unix(100, 0), step.era, step.valid), "%+v", step)
		require.Equal(t, step.restores, tracker.Restores(), "%+v", step)
	}
	require.EqualValues(t, 7, tracker.Era())
	require.Equal(t, history.Position{Era: 7, Version: 9}, tracker.Resume(history.Position{Era: 7, Version: 9}))
	require.Zero(t, tracker.Resume(history.Position{Era: 6, Version: 9}).Version, "another call saw the new era first")
	require.Zero(t, tracker.Resume(history.Position{Version: 9}).Version, "read before the store numbered its eras")
}

// TestEraIsCorrectedOnceAllAnswersContradictIt guards against a host that does not read the store any more since one
// answer had a wrong era, and against answers that were on their way and count as a correction.
func TestEraIsCorrectedOnceAllAnswersContradictIt(t *testing.T) {
	var tracker history.Tracker
	for _, step := range []struct {
		second int64
		era    uint64
		want   history.Relation
	}{
		{0, 2, history.First}, {1, 1 << 60, history.Implausible}, {1, 2, history.Same}, {9, 1 << 60, history.Implausible}, {10, 2, history.Same},
		{20, 3, history.Newer}, {21, 2, history.Older}, {24, 2, history.Older}, {25, 3, history.Same}, {26, 2, history.Older},
		{30, 2, history.Older}, {30, 0, history.Missing}, {31, 2, history.Newer}, {31, 2, history.Same}, {32, 3, history.Newer},
	} {
		require.Equal(t, step.want, tracker.Note(time.Unix(step.second, 0), step.era, step.era != 0), "%+v", step)
	}
	require.EqualValues(t, 3, tracker.Era())
}
