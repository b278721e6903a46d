package rotation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/rotation"
)

// maxLateness is the lateness of its work above which a host of the tests refuses requests.
const maxLateness = 40 * time.Millisecond

// withoutRotation gives the hosts of a simulation a limit of lateness that they never reach, so that
// all of them stay in rotation.
func withoutRotation(s *simulation) *simulation {
	for _, h := range s.hosts {
		h.rotation = rotation.NewHost(time.Hour)
	}
	return s
}

// TestCrowdOnOneHostIsServedByOthers guards against a team that gets little service because the
// load balancer sends all its callers to one host that can't serve them. The host must leave the
// rotation, so that the balancer sends them to others.
func TestCrowdOnOneHostIsServedByOthers(t *testing.T) {
	baseline := withoutRotation(newSimulation(27)).run(20*time.Second, crowdArrivals)
	rotating := newSimulation(27).run(20*time.Second, crowdArrivals)
	require.Greater(t, rotating.minServed(6*time.Second), 2*baseline.minServed(6*time.Second))
}

// TestCrowdLeavesMostHostsInRotation checks that the callers of one team, who all reach the same
// host, neither keep hosts out of rotation for more than an eighth of the time, nor make them leave
// and come back all the time.
func TestCrowdLeavesMostHostsInRotation(t *testing.T) {
	s := newSimulation(27)
	s.run(40*time.Second, crowdArrivals)
	require.Less(t, s.awayShare(), 1.0/8)
	for _, h := range s.hosts {
		require.LessOrEqual(t, h.changes, 8)
	}
}

// TestReturningCrowdIsMovedQuickly guards against a crowd that stays on one overloaded host for
// seconds. The crowd overloaded several hosts in turn, and each stayed out of rotation for longer,
// until so many were out that the next one was not allowed to leave.
func TestReturningCrowdIsMovedQuickly(t *testing.T) {
	s := newSimulation(27)
	s.run(60*time.Second, crowdArrivals)
	require.Less(t, s.longestStreak, 4*time.Second)
}

// TestOverloadOfAllHostsKeepsMostInRotation checks that most hosts stay in rotation if all of them
// are overloaded. Moving callers to other hosts helps nobody then.
func TestOverloadOfAllHostsKeepsMostInRotation(t *testing.T) {
	s := newSimulation(27)
	s.run(20*time.Second, func(_ time.Duration, _ int) int { return 3 })
	require.Less(t, s.maxAway, 27/2)
	require.Less(t, s.awayShare(), 1.0/8)
}

// TestSlowHostLeavesAndComesBack checks that a host that has become slow leaves the rotation, and
// comes back after it has recovered.
func TestSlowHostLeavesAndComesBack(t *testing.T) {
	s := newSimulation(9)
	s.hosts[4].slowdown = 10
	s.run(10*time.Second, func(time.Duration, int) int { return 0 })
	require.False(t, s.hosts[4].rotation.Away(), "a host without work is not late")
	s.run(5*time.Second, evenArrivals)
	require.True(t, s.hosts[4].rotation.Away())
	s.hosts[4].slowdown = 1
	s.run(25*time.Second, evenArrivals)
	require.False(t, s.hosts[4].rotation.Away())
}

// TestHostsOfSmallPlacesStay checks that a host stays in rotation if its data centre has only one
// or two hosts, since the other one would get all callers.
func TestHostsOfSmallPlacesStay(t *testing.T) {
	h := rotation.NewHost(maxLateness)
	now := time.Unix(1000, 0)
	for _, place := range []int{0, 1} {
		require.False(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: place, Fleet: 6})))
	}
	require.True(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 2, Fleet: 6})))
}

// TestHostsOfSmallFleetsLeaveOnceTheyRefuse checks that a host that is a large part of its fleet
// stays in rotation while it still accepts all requests, and while another host is out of rotation.
func TestHostsOfSmallFleetsLeaveOnceTheyRefuse(t *testing.T) {
	h := rotation.NewHost(maxLateness)
	now := time.Unix(1000, 0)
	require.False(t, h.Tick(now, maxLateness, others(rotation.OtherHosts{Place: 2, Fleet: 6})))
	require.False(t, h.Tick(now, 2*maxLateness, others(rotation.OtherHosts{Place: 2, Fleet: 6, FleetAway: 1})))
	require.True(t, h.Tick(now, 2*maxLateness, others(rotation.OtherHosts{Place: 2, Fleet: 6})))
}

// TestHostsThatLeftTogetherComeBack guards against too many hosts out of rotation: hosts that leave
// at the same time do not know of each other yet. A host must come back if enough others have
// priority to stay away.
func TestHostsThatLeftTogetherComeBack(t *testing.T) {
	h := rotation.NewHost(maxLateness)
	now := time.Unix(1000, 0)
	require.True(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 8, Fleet: 26})))
	require.False(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 8, PlaceAway: 8, Fleet: 26, FleetAway: 8, Ahead: 2})))
	require.True(t, h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 8, PlaceAway: 8, Fleet: 26, FleetAway: 8, Ahead: 3})))
	require.False(t, h.Away())
}

// TestMovedTellsWhenCallersGoElsewhere checks the delay after which a refused caller is told to try
// again: the time until the load balancer sends new connections to other hosts.
func TestMovedTellsWhenCallersGoElsewhere(t *testing.T) {
	h := rotation.NewHost(maxLateness)
	now := time.Unix(1000, 0)
	require.Zero(t, h.RerouteDelay(now))
	h.Tick(now, time.Second, others(rotation.OtherHosts{Place: 8, Fleet: 26}))
	require.Equal(t, 2*time.Second, h.RerouteDelay(now))
	require.Equal(t, 1500*time.Millisecond, h.RerouteDelay(now.Add(500*time.Millisecond)))
	require.Equal(t, time.Second, h.RerouteDelay(now.Add(1500*time.Millisecond)))
	require.Equal(t, time.Second, h.RerouteDelay(now.Add(3*time.Second)), "a caller that still comes waits for the next check")
}

// others returns a function for Host.Tick that reports o as the state of the other hosts.
func others(o rotation.OtherHosts) func() rotation.OtherHosts {
	return func() rotation.OtherHosts { return o }
}

// crowdArrivals lets the crowd send eight times as many requests as one host can serve, and nobody
// else send any.
func crowdArrivals(_ time.Duration, host int) int {
	if host == crowdIndex {
		return 8
	}
	return 0
}

// evenArrivals lets each host get half the requests that it can serve.
func evenArrivals(elapsed time.Duration, _ int) int { return int(elapsed/step) % 2 }
