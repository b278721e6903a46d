package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/route"
)

// TestDigestOfTargetsCoversVersion guards against hosts that keep the old version of a target since the digest of
// their list of targets equals that of a list with the new one.
func TestDigestOfTargetsCoversVersion(t *testing.T) {
	list := func(first, second string) []route.Target {
		return []route.Target{{ID: "a", Version: first}, {ID: "b", Version: second}}
	}
	digests := map[uint64]bool{}
	for _, l := range [][]route.Target{list("1", "1"), list("1", "2"), list("2", "1"), list("", "1"), list("1", "")} {
		digests[hashTargets(l)] = true
	}
	require.Len(t, digests, 5)
}
