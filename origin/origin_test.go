package origin_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/origin"
)

// Guards against a service that is taken to have had one version while another one may have begun streams: it left
// within the window, or the store came back from a copy that may lack it.
func TestOnlyVersionIsClaimedIfNoOtherCanHaveBegunAStream(t *testing.T) {
	at := func(era uint64, now time.Duration) origin.Moment { return origin.Moment{Era: era, Now: now} }
	empty := origin.NewHistory(at(1, 0), false)
	single := empty.Update([]string{"v1"}, at(1, time.Second), true)
	both := single.Update([]string{"v1", "v2"}, at(1, 2*time.Second), true)
	left := both.Update([]string{"v2"}, at(1, 10*time.Second), true)
	doubted := both.Update([]string{"v2"}, at(1, 10*time.Second), false)
	again := left.Update([]string{"v1", "v2"}, at(1, 20*time.Second), true)
	restored := single.Update([]string{"v1"}, at(2, 30*time.Second), true)
	lost := origin.NewHistory(at(2, 30*time.Second), true)
	lost = lost.Update([]string{"v1"}, at(2, 30*time.Second), true)
	window := origin.Window
	long := func(now time.Duration) origin.Moment { return origin.Moment{Era: 1, Now: now, Window: 3 * window} }
	for _, c := range []struct {
		name    string
		history origin.History
		at      origin.Moment
		only    string // empty if there is none
		mixed   bool
	}{
		{"no version yet", empty, at(1, time.Second), "", false},
		{"one version", single, at(1, time.Second), "v1", false},
		{"one version, long after", single, at(1, 10*window), "v1", false},
		{"two versions", both, at(1, 10*window), "", true},
		{"one left", left, at(1, 9*time.Second+window), "", true},
		{"one left long ago", left, at(1, 10*time.Second+window), "v2", false},
		{"one left long ago, longer streams", left.Update([]string{"v2"}, long(9*time.Second+2*window), true), long(9*time.Second + 3*window), "", true},
		{"one left long before longer streams", left, long(10*time.Second + 3*window), "v2", false},
		{"the clock of the store went back", left, at(1, time.Second), "", true},
		{"missing in one list", doubted, at(1, 10*window), "", true},
		{"back in the list", again, at(1, 10*window), "", true},
		{"row of an earlier era", single, at(2, 10*window), "", true},
		{"written again after a restore", restored, at(2, 29*time.Second+window), "", true},
		{"window after the restore is over", restored, at(2, 30*time.Second+window), "v1", false},
		{"row lost by a restore", lost, at(2, 31*time.Second), "", true},
		{"row lost by a restore, window over", lost, at(2, 30*time.Second+window), "v1", false},
	} {
		version, ok := c.history.Only(c.at)
		require.Equal(t, c.only != "", ok, c.name)
		if ok {
			require.Equal(t, c.only, version, c.name)
		}
		require.Equal(t, c.mixed, c.history.Mixed(c.at), c.name)
	}
	require.True(t, both.Names("v2"))
	require.False(t, left.Names("v1"))
	require.False(t, both.Matches([]string{"v1", "v2"}, 2), "the row may be lost in a later era")
	require.False(t, left.Matches([]string{"v1", "v2"}, 1))
	require.True(t, left.Matches([]string{"v2"}, 1))
	require.False(t, both.Matches([]string{"v2"}, 1))
}

// Guards against a version that is dropped from a row for lack of room and then missing in a decision.
func TestHistoryWithTooManyVersionsIsUncertain(t *testing.T) {
	var h origin.History
	var versions []string
	for n := range 100 {
		versions = append(versions, fmt.Sprintf("v%02d", n))
		h = h.Update(versions[n:n+1], origin.Moment{Now: time.Second}, true)
	}
	require.LessOrEqual(t, len(h.Listings), 64)
	require.True(t, h.Names("v99"), "a listed version goes before those that are gone")
	require.True(t, h.Uncertain > time.Second)
}

// Guards against rows that are never written, written without need, or left behind.
func TestRowsAreWrittenWhileAServiceIsMixed(t *testing.T) {
	table, now := origin.NewTable(), time.Now()
	mixed := map[string]bool{}
	isMixed := func(service string) bool { return mixed[service] }
	key := func(n int) origin.Key { return origin.NewKey("model", "team", fmt.Sprint(n)) }
	for n := range 5 {
		table.Add(now, origin.Stream{Key: key(n), Service: "model", Version: "v1"}, false)
	}
	table.End(key(0))
	b := table.Pending(now, 100, isMixed)
	require.Zero(t, b.Len(), "no rows while there is one version")
	mixed["model"] = true
	b = table.Pending(now, 3, isMixed)
	require.Len(t, b.Puts, 3, "no more than a call may hold")
	table.Saved(b)
	b = table.Pending(now, 3, isMixed)
	require.Len(t, b.Puts, 1, "all open streams, but none that ended whole")
	table.Saved(b)
	table.End(key(2))
	b = table.Pending(now, 100, isMixed)
	require.Equal(t, origin.Batch{Removals: []origin.Key{key(2)}}, b)
	table.Saved(b)
	b = table.Pending(now, 100, isMixed)
	require.Zero(t, b.Len())
	table.Forgotten()
	b = table.Pending(now, 100, isMixed)
	require.Len(t, b.Puts, 3, "written again after the store lost them")
	table.Add(now, origin.Stream{Key: key(1), Service: "model", Version: "v2"}, false)
	version, ok := table.Version(now, key(1))
	require.True(t, ok)
	require.Equal(t, "v1", version, "the version that began a stream never changes")
	_, ok = table.Version(now.Add(origin.Window+time.Second), key(1))
	require.False(t, ok)
}

// Guards against memory that grows with the number of streams.
func TestOldestStreamsAreForgotten(t *testing.T) {
	table, now := origin.NewTable(), time.Now()
	const streams = 1<<15 + 10
	for n := range streams {
		table.Add(now, origin.Stream{Key: origin.Key(n + 1)}, false)
	}
	_, ok := table.Version(now, 5)
	require.False(t, ok)
	_, ok = table.Version(now, streams)
	require.True(t, ok)
}

// Guards against streams of other teams or services that are taken for the same.
func TestKeyDependsOnServiceTeamAndAttempt(t *testing.T) {
	keys := map[origin.Key]bool{}
	for _, parts := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"", "a", "bc"}, {"a", "b", "d"}, {"x", "b", "c"}, {"a", "x", "c"}} {
		keys[origin.NewKey(parts[0], parts[1], parts[2])] = true
	}
	require.Len(t, keys, 7)
}

// Guards against a caller that gets the result of a read that began before its call, and against one read per caller.
func TestSharedReadBeginsAfterTheCall(t *testing.T) {
	var begun atomic.Int64
	release := make(chan struct{})
	reads := &origin.Reads[int64]{Read: func() (int64, error) {
		n := begun.Add(1)
		<-release
		return n, nil
	}}
	results := make(chan int64, 10)
	var callers sync.WaitGroup
	callers.Go(func() { value, _ := reads.Get(); results <- value })
	require.Eventually(t, func() bool { return begun.Load() == 1 }, time.Second, time.Millisecond)
	for range 9 {
		callers.Go(func() { value, _ := reads.Get(); results <- value })
	}
	time.Sleep(20 * time.Millisecond) // all of them wait
	close(release)
	callers.Wait()
	close(results)
	later := 0
	for value := range results {
		if value >= 2 {
			later++
		}
	}
	require.Equal(t, 9, later)
	require.LessOrEqual(t, begun.Load(), int64(3))
}
