package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/warmup"
)

const (
	coldStart  = 3 * time.Second
	coldRate   = 10.0
	entryDelay = 3 * time.Second      // from a restart until the entry says so
	step       = 5 * time.Millisecond // between two requests that look for a target
)

// start is when all tests begin.
var start = time.Unix(1000, 0)

// at returns a time after the start.
func at(after time.Duration) time.Time { return start.Add(after) }

// newLimiter returns the limiter of a target, at a host whose first second of ownership is over.
func newLimiter() *warmup.Limiter {
	l := &warmup.Limiter{}
	l.Configure(coldStart, coldRate)
	l.SetOwned(true)
	l.Allows(at(-time.Minute))
	return l
}

// mostInWindow returns the most requests in any sliding second.
func mostInWindow(sent []time.Time) int {
	most, first := 0, 0
	for i, t := range sent {
		for t.Sub(sent[first]) >= warmup.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// flood sends all that the limiters of several hosts allow, and returns when. Before each step, change may alter them.
func flood(length time.Duration, limiters []*warmup.Limiter, change func(after time.Duration)) []time.Time {
	var sent []time.Time
	for after := time.Duration(0); after < length; after += step {
		change(after)
		for _, l := range limiters {
			if l.Allows(at(after)) {
				l.Record(at(after))
				sent = append(sent, at(after))
			}
		}
	}
	return sent
}

// TestColdTargetGetsItsRate guards against a cold target that gets more than its rate in some second, or nothing at
// all, under a flood.
func TestColdTargetGetsItsRate(t *testing.T) {
	l := newLimiter()
	l.SetCold(at(coldStart), true)
	sent := flood(coldStart, []*warmup.Limiter{l}, func(time.Duration) {})
	require.Equal(t, int(coldRate), mostInWindow(sent))
	require.GreaterOrEqual(t, len(sent), 2*int(coldRate))
}

// TestTargetThatTurnsColdWhileItIsBusy guards against a target that keeps the rate it had in the second in which it
// is heard to be cold.
func TestTargetThatTurnsColdWhileItIsBusy(t *testing.T) {
	l := newLimiter()
	sent := flood(2*time.Second, []*warmup.Limiter{l}, func(after time.Duration) {
		if after == time.Second {
			l.SetCold(at(time.Second+coldStart), false)
		}
	})
	for _, s := range sent {
		require.False(t, s.After(at(time.Second)) && s.Before(at(1900*time.Millisecond)), "the second before was full")
	}
}

// TestOwnersThatFollowEachOther guards against more than the rate in a second where the owner dies, changes often, or is
// suspended while another host takes over.
func TestOwnersThatFollowEachOther(t *testing.T) {
	for _, period := range []time.Duration{200 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint(period), func(t *testing.T) {
			hosts := []*warmup.Limiter{newLimiter(), newLimiter(), newLimiter()}
			owner := 0
			for _, l := range hosts[1:] {
				l.SetOwned(false)
			}
			for _, l := range hosts {
				l.SetCold(at(10*time.Second), true)
			}
			sent := flood(10*time.Second, hosts, func(after time.Duration) {
				if after > 0 && after%period == 0 {
					hosts[owner].SetOwned(false)
					owner = (owner + 1) % len(hosts)
					hosts[owner].SetOwned(true)
				}
			})
			require.LessOrEqual(t, mostInWindow(sent), int(coldRate))
		})
	}
	t.Run("suspended", func(t *testing.T) {
		l := newLimiter()
		l.SetCold(at(time.Minute), true)
		l.Suspend()
		require.False(t, l.Allows(at(0)), "another host may have taken over")
		require.True(t, l.Allows(at(warmup.Window)))
	})
}

// TestTwoOwnersAfterCut guards against more than twice the rate where a cut makes two hosts owners of one target.
func TestTwoOwnersAfterCut(t *testing.T) {
	hosts := []*warmup.Limiter{newLimiter(), newLimiter()}
	for _, l := range hosts {
		l.SetCold(at(5*time.Second), true)
	}
	sent := flood(5*time.Second, hosts, func(time.Duration) {})
	require.LessOrEqual(t, mostInWindow(sent), 2*int(coldRate))
}

// TestHostThatDoesNotOwnSendsNothing guards against hosts that decide alone about a target that is cold or suspected.
func TestHostThatDoesNotOwnSendsNothing(t *testing.T) {
	l := newLimiter()
	l.SetOwned(false)
	require.True(t, l.Allows(at(0)), "warm")
	l.Suspect(at(0), entryDelay)
	require.False(t, l.Allows(at(time.Second)))
	require.False(t, l.Allows(at(coldStart+entryDelay-step)))
	require.True(t, l.Allows(at(coldStart+entryDelay)))
}

// TestSuspicionEnds guards against targets that stay limited although they never started again: a broken connection
// alone does not make a target cold. What may be older than the suspicion proves nothing.
func TestSuspicionEnds(t *testing.T) {
	cases := []struct {
		name       string
		now, ranAt time.Duration
		want       bool
	}{
		{"request sent before the suspicion", time.Second, -time.Second, true},
		{"request sent after it", time.Second, 500 * time.Millisecond, false},
		{"answer that may have been under way", 100 * time.Millisecond, -time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLimiter()
			require.True(t, l.Suspect(at(0), entryDelay))
			require.Equal(t, c.want, l.RecordAlive(at(c.now), at(c.ranAt)))
			require.Equal(t, !c.want, l.Cold(at(c.now)))
			if c.want {
				require.False(t, l.SuspectUntil(at(0), at(time.Minute)), "another host still tells of it")
			}
		})
	}
}

// TestEntryThatIsRenewedKeepsEndOfColdPeriod guards against a cold period that never ends since each renewed entry is
// heard later than the one before, and against one that a new process does not begin.
func TestEntryThatIsRenewedKeepsEndOfColdPeriod(t *testing.T) {
	l := newLimiter()
	require.True(t, l.SetCold(at(3*time.Second), true))
	require.False(t, l.SetCold(at(3300*time.Millisecond), false))
	require.False(t, l.Cold(at(3*time.Second)))
	require.False(t, l.SetCold(at(2800*time.Millisecond), false))
	require.False(t, l.Cold(at(2800*time.Millisecond)))
	require.True(t, l.SetCold(at(6*time.Second), false), "cold again")
	require.True(t, l.Cold(at(5*time.Second)))
	l.SetCold(time.Time{}, false)
	require.False(t, l.Cold(at(5*time.Second)))
}

// TestWarmTargetReturnsToAllSlots guards against a target that gets all its prompts back at once, and one that does not
// get them: it has all slots a second after it became warm.
func TestWarmTargetReturnsToAllSlots(t *testing.T) {
	l := newLimiter()
	l.SetCold(at(coldStart), true)
	last := 0
	for after := coldStart; after <= coldStart+warmup.RampTime; after += step {
		slots := l.Slots(at(after), 24)
		require.GreaterOrEqual(t, slots, last)
		last = slots
	}
	require.Equal(t, 6, l.Slots(at(coldStart), 24))
	require.Equal(t, 24, last)
}

// TestServiceWithoutColdStartIsNotLimited guards against limits where the configuration names no cold start.
func TestServiceWithoutColdStartIsNotLimited(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(0, coldRate)
	l.SetCold(at(time.Minute), true)
	require.False(t, l.Suspect(at(0), entryDelay))
	require.True(t, l.Allows(at(0)))
	require.Equal(t, 24, l.Slots(at(0), 24))
}

// TestRateBelowOnePerSecond guards against a rate of less than one request per second, which made the limiter read
// beyond its list of grants, and against one that is rounded up to a request per second.
func TestRateBelowOnePerSecond(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(coldStart, 0.5)
	l.SetOwned(true)
	l.Allows(at(-time.Minute))
	l.SetCold(at(time.Minute), true)
	sent := flood(9*time.Second, []*warmup.Limiter{l}, func(time.Duration) {})
	require.Len(t, sent, 5)
	for range 100 {
		l.Record(at(10 * time.Second))
	}
	require.False(t, l.Allows(at(11*time.Second)))
}

// TestEntryDoesNotEndSuspicion guards against an entry that was written before the target became unreachable and is
// read after it. It tells nothing of the process that has started since.
func TestEntryDoesNotEndSuspicion(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		l := newLimiter()
		l.Suspect(at(0), entryDelay)
		l.SetCold(at(time.Second), restarted)
		require.True(t, l.Cold(at(entryDelay+coldStart-step)), "restarted: %v", restarted)
		l.SetCold(time.Time{}, false)
		require.True(t, l.Cold(at(entryDelay+coldStart-step)), "restarted: %v", restarted)
		require.False(t, l.Cold(at(entryDelay+coldStart)))
	}
}

// TestAnswerProvesNothingOfLaterSuspicion guards against an answer that may be older than the last time the target was
// unreachable, where it was suspected before that.
func TestAnswerProvesNothingOfLaterSuspicion(t *testing.T) {
	l := newLimiter()
	l.Suspect(at(0), entryDelay)
	l.Suspect(at(2*time.Second), entryDelay)
	require.False(t, l.RecordAlive(at(2100*time.Millisecond), at(-time.Second)))
	require.True(t, l.RecordAlive(at(2500*time.Millisecond), at(-time.Second)))
}

// TestAnswerDoesNotWarmTargetOfPlaceTakenBack guards against an answer of a stream that ran through the evacuation of
// its data centre. It shows that the target did not start again, but the target may be cold without that.
func TestAnswerDoesNotWarmTargetOfPlaceTakenBack(t *testing.T) {
	l := newLimiter()
	require.True(t, l.ReturnToUse(at(0)))
	require.False(t, l.RecordAlive(at(time.Second), at(-time.Second)))
	require.True(t, l.Cold(at(coldStart-step)))
	require.False(t, l.Cold(at(coldStart)))
}

// TestEntryThatSaysWarmBeginsRamp guards against a target that gets all its slots at once where its entry says that it
// is warm before the end of the cold period as this host counts it, or during the ramp.
func TestEntryThatSaysWarmBeginsRamp(t *testing.T) {
	l := newLimiter()
	l.SetCold(at(coldStart), true)
	require.True(t, l.Cold(at(2*time.Second)))
	l.SetCold(time.Time{}, false)
	require.False(t, l.Cold(at(2*time.Second)))
	require.Equal(t, 6, l.Slots(at(2*time.Second), 24))
	require.Less(t, l.Slots(at(2500*time.Millisecond), 24), 24)
	require.Equal(t, 24, l.Slots(at(3*time.Second), 24))

	l.SetCold(at(6*time.Second), false)
	require.Equal(t, 6, l.Slots(at(6*time.Second), 24))
	l.SetCold(time.Time{}, false)
	require.Less(t, l.Slots(at(6500*time.Millisecond), 24), 24)
}
