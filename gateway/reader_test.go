package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// freshFleet returns the status of count hosts that have a fresh configuration.
func freshFleet(count int) []peerStatus {
	var list []peerStatus
	for n := range count {
		list = append(list, peerStatus{address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", n/200, n%200+1)), fresh: true})
	}
	return list
}

// countRoles returns how many hosts of a fleet have each role. The function age returns the age of the
// configuration of host n.
func countRoles(fleet []peerStatus, age func(n int) time.Duration) map[storeRole]int {
	counts := map[storeRole]int{}
	for n, s := range fleet {
		others := append(append([]peerStatus(nil), fleet[:n]...), fleet[n+1:]...)
		counts[storeRoleOf(s.address, age(n), others)]++
	}
	return counts
}

// recentAge is an age function for countRoles: the data of every host is fresh.
func recentAge(int) time.Duration { return time.Second }

// As a fleet grows, the number of hosts that read the store stays small, and all others ask these.
func TestFewHostsOfALargeFleetReadTheStore(t *testing.T) {
	for _, size := range []int{1, 7, smallFleet, 81, 390} {
		counts := countRoles(freshFleet(size), recentAge)
		require.Equal(t, min(size, readerCount(size)), counts[roleReader], size)
		require.Equal(t, max(0, size-readerCount(size)), counts[roleAsker], size)
	}
}

// Readers that are cut off from the store are replaced by other hosts.
func TestReadersCutOffFromStoreAreReplaced(t *testing.T) {
	fleet := freshFleet(81)
	cutOff := map[int]bool{}
	for n, s := range fleet {
		others := append(append([]peerStatus(nil), fleet[:n]...), fleet[n+1:]...)
		cutOff[n] = storeRoleOf(s.address, time.Second, others) == roleReader
	}
	for n := range fleet {
		fleet[n].fresh = !cutOff[n]
	}
	replaced := 0
	for n, s := range fleet {
		others := append(append([]peerStatus(nil), fleet[:n]...), fleet[n+1:]...)
		if !cutOff[n] && storeRoleOf(s.address, time.Second, others) == roleReader {
			replaced++
		}
	}
	require.Equal(t, readerCount(len(fleet)), replaced)
}

// When no host can reach the store, only a few of them, the readers, retry often.
func TestFewHostsRetryDuringOutage(t *testing.T) {
	fleet := freshFleet(81)
	for n := range fleet {
		fleet[n].fresh = false
	}
	counts := countRoles(fleet, func(int) time.Duration { return staleAge })
	require.Equal(t, readerCount(len(fleet)), counts[roleReader])
	require.Equal(t, 81-readerCount(len(fleet)), counts[roleIsolated])
}

// The configuration of a host that reads the store, or asks a reader, never counts as stale between reads:
// its age is at most the duration of two waiting reads.
func TestConfigurationStaysFreshBetweenReads(t *testing.T) {
	require.Less(t, 2*maxFeedWait, staleAge)
	require.Less(t, 2*sharedFeedWait+queryInterval, staleAge)
	require.Less(t, staleAge, maxDenialAge)
}
