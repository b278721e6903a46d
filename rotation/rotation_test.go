package rotation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/rotation"
)

// limit is the lateness from which the hosts of the tests refuse requests.
const limit = 40 * time.Millisecond

// withoutRotation makes the hosts of a simulation never leave the rotation.
func withoutRotation(f *simulation) *simulation {
	for _, h := range f.hosts {
		h.rotation = rotation.NewHost(time.Hour)
	}
	return f
}

// TestCrowdOnOneHostIsServedByOthers guards the fair share of a team whose callers all reach one
// small host: what that host can't serve, others do.
func TestCrowdOnOneHostIsServedByOthers(t *testing.T) {
	alone := withoutRotation(newSimulation(27)).run(20*time.Second, crowdArrivals)
	moved := newSimulation(27).run(20*time.Second, crowdArrivals)
	require.Greater(t, moved.minServed(6*time.Second), 2*alone.minServed(6*time.Second))
}

// TestCrowdLeavesMostHostsInRotation checks that callers that crowd on one host neither keep
// hosts out of rotation for more than an eighth of their time, nor make them leave and come back
// all the time.
func TestCrowdLeavesMostHostsInRotation(t *testing.T) {
	f := newSimulation(27)
	f.run(40*time.Second, crowdArrivals)
	require.Less(t, f.awayShare(), 1.0/8)
	for _, h := range f.hosts {
		require.LessOrEqual(t, h.changes, 8)
	}
}

// TestReturningCrowdIsMovedQuickly guards the fair share of a team after several hosts in turn
// were overloaded by its callers: each stayed away for longer, until no more could leave and one
// kept the callers for seconds.
func TestReturningCrowdIsMovedQuickly(t *testing.T) {
	f := newSimulation(27)
	f.run(60*time.Second, crowdArrivals)
	require.Less(t, f.longestStreak, 4*time.Second)
}

// TestOverloadOfAllHostsKeepsMostInRotation checks that hosts stay in rotation if all of them are
// overloaded, as moving callers helps nobody then.
func TestOverloadOfAllHostsKeepsMostInRotation(t *testing.T) {
	f := newSimulation(27)
	f.run(20*time.Second, func(_ time.Duration, _ int) int { return 3 })
	require.Less(t, f.maxAway, 27/2)
	require.Less(t, f.awayShare(), 1.0/8)
}

// TestSlowHostLeavesAndComesBack checks that the callers of a host that has become slow are
// moved, and that the host comes back after it has recovered.
func TestSlowHostLeavesAndComesBack(t *testing.T) {
	f := newSimulation(9)
	f.hosts[4].slowdown = 10
	f.run(10*time.Second, func(time.Duration, int) int { return 0 })
	require.False(t, f.hosts[4].rotation.Away(), "a host without work is not late")
	f.run(5*time.Second, evenArrivals)
	require.True(t, f.hosts[4].rotation.Away())
	f.hosts[4].slowdown = 1
	f.run(25*time.Second, evenArrivals)
	require.False(t, f.hosts[4].rotation.Away())
}

// TestHostsOfSmallPlacesStay checks that a host of a data centre of two stays in rotation, since
// the other one would get all callers.
func TestHostsOfSmallPlacesStay(t *testing.T) {
	h := rotation.NewHost(limit)
	now := time.Unix(1000, 0)
	for _, place := range []int{0, 1} {
		require.False(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: place, Fleet: 6})))
	}
	require.True(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 2, Fleet: 6})))
}

// TestHostsOfSmallFleetsLeaveOnceTheyRefuse checks that a host that is a large part of its fleet
// stays in rotation while it accepts all requests.
func TestHostsOfSmallFleetsLeaveOnceTheyRefuse(t *testing.T) {
	h := rotation.NewHost(limit)
	now := time.Unix(1000, 0)
	require.False(t, h.Tick(now, limit, others(rotation.OtherHosts{Place: 2, Fleet: 6})))
	require.False(t, h.Tick(now, 2*limit, others(rotation.OtherHosts{Place: 2, Fleet: 6, FleetAway: 1})))
	require.True(t, h.Tick(now, 2*limit, others(rotation.OtherHosts{Place: 2, Fleet: 6})))
}

// TestHostsThatLeftTogetherComeBack checks that of hosts that left at the same moment so many
// come back that no more are away than may be.
func TestHostsThatLeftTogetherComeBack(t *testing.T) {
	h := rotation.NewHost(limit)
	now := time.Unix(1000, 0)
	require.True(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 8, Fleet: 26})))
	require.False(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 8, PlaceAway: 8, Fleet: 26, FleetAway: 8, Ahead: 2})))
	require.True(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 8, PlaceAway: 8, Fleet: 26, FleetAway: 8, Ahead: 3})))
	require.False(t, h.Away())
}

// TestMovedTellsWhenCallersGoElsewhere checks the time after which a refused caller is told to
// come back.
func TestMovedTellsWhenCallersGoElsewhere(t *testing.T) {
	h := rotation.NewHost(limit)
	now := time.Unix(1000, 0)
	require.Zero(t, h.RerouteDelay(now))
	h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 8, Fleet: 26}))
	require.Equal(t, 2*time.Second, h.RerouteDelay(now))
	require.Equal(t, 1500*time.Millisecond, h.RerouteDelay(now.Add(500*time.Millisecond)))
	require.Equal(t, time.Second, h.RerouteDelay(now.Add(1500*time.Millisecond)))
	require.Equal(t, time.Second, h.RerouteDelay(now.Add(3*time.Second)), "a caller that still comes waits for the next check")
}

// others returns a function that returns o.
func others(o rotation.OtherHosts) func() rotation.OtherHosts {
	return func() rotation.OtherHosts { return o }
}

// crowdArrivals is the load of a team whose callers all reach one host.
func crowdArrivals(_ time.Duration, host int) int {
	if host == crowdIndex {
		return 8
	}
	return 0
}

// evenArrivals is a load of half of what each host can serve.
func evenArrivals(at time.Duration, _ int) int { return int(at/step) % 2 }
