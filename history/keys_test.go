package history_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/history"
)

// TestKeysOfAnEarlierEraAreKeptForTheGrace guards against keys that are dropped since a copy of the store lacks them,
// and against keys that stay for good once they were removed.
func TestKeysOfAnEarlierEraAreKeptForTheGrace(t *testing.T) {
	const grace = time.Minute
	now := time.Unix(100, 0)
	k := history.NewKeys(grace)
	k.Replace(now, 1, []string{"a", "b", "c", "d"}, []string{"a", "told by a host"})
	require.Equal(t, []string{"a", "b", "c", "d", "told by a host"}, k.All(now))
	k.Replace(now, 1, []string{"a", "b", "c"}, k.All(now))
	k.Set("told by a host", false)
	require.Equal(t, []string{"a", "b", "c"}, k.All(now), "the same era removed it")

	k.Replace(now, 2, []string{"d"}, k.All(now))
	require.Equal(t, []string{"a", "b", "c", "d"}, k.All(now))
	k.Set("a", true)
	k.Set("b", true)
	k.Set("b", false)
	require.Equal(t, []string{"a", "c", "d"}, k.All(now.Add(grace-1)))
	require.Equal(t, []string{"a", "d"}, k.All(now.Add(grace)), "written again, and the grace of c is over")
}

// TestRowWrittenInAnEarlierEraIsDueAgain guards against a row that is written once, and was lost with the era in which it
// was written.
func TestRowWrittenInAnEarlierEraIsDueAgain(t *testing.T) {
	var row history.Written
	require.True(t, row.Due(0))
	row.Done(0)
	require.False(t, row.Due(0))
	require.True(t, row.Due(3))
	row.Done(3)
	require.False(t, row.Due(3))
	require.True(t, row.Due(5))
}
