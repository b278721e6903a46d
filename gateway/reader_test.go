package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fleetOf(count int) []sighting {
	var list []sighting
	for n := range count {
		list = append(list, sighting{address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", n/200, n%200+1)), fresh: true})
	}
	return list
}

// count returns how many hosts have each duty.
func count(fleet []sighting, age func(n int) time.Duration) map[duty]int {
	duties := map[duty]int{}
	for n, s := range fleet {
		others := append(append([]sighting(nil), fleet[:n]...), fleet[n+1:]...)
		duties[dutyOf(s.address, age(n), others)]++
	}
	return duties
}

func fresh(int) time.Duration { return time.Second }

// Load pattern: a fleet grows. The store is called by as many hosts as before.
func TestFewHostsOfALargeFleetReadTheStore(t *testing.T) {
	for _, size := range []int{1, 7, smallFleet, 81, 390} {
		duties := count(fleetOf(size), fresh)
		require.Equal(t, min(size, readersOf(size)), duties[reader], size)
		require.Equal(t, max(0, size-readersOf(size)), duties[asker], size)
	}
}

// Failure: the readers are cut off from the store. Others read in their place.
func TestReadersThatAreCutOffAreReplaced(t *testing.T) {
	fleet := fleetOf(81)
	cut := map[int]bool{}
	for n, s := range fleet {
		others := append(append([]sighting(nil), fleet[:n]...), fleet[n+1:]...)
		cut[n] = dutyOf(s.address, time.Second, others) == reader
	}
	for n := range fleet {
		fleet[n].fresh = !cut[n]
	}
	replaced := 0
	for n, s := range fleet {
		others := append(append([]sighting(nil), fleet[:n]...), fleet[n+1:]...)
		if !cut[n] && dutyOf(s.address, time.Second, others) == reader {
			replaced++
		}
	}
	require.Equal(t, readersOf(len(fleet)), replaced)
}

// Failure: nobody reaches the store. A few try often, the others seldom.
func TestOutageIsTriedByFew(t *testing.T) {
	fleet := fleetOf(81)
	for n := range fleet {
		fleet[n].fresh = false
	}
	duties := count(fleet, func(int) time.Duration { return staleAge })
	require.Equal(t, readersOf(len(fleet)), duties[reader])
	require.Equal(t, 81-readersOf(len(fleet)), duties[cutAsker])
}

// A host that reads the store, or asks one that does, knows at every moment that its
// configuration is new: its age is the length of a read that waits, and of the next.
func TestConfigurationIsNewBetweenReads(t *testing.T) {
	require.Less(t, 2*maxFeedWait, staleAge)
	require.Less(t, 2*sharedFeedWait+askEvery, staleAge)
	require.Less(t, staleAge, deniableAge)
}
