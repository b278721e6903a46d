package placement_test

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// Behavior of the simulated callers.
const (
	minRetryDelay  = 50 * time.Millisecond  // shortest wait before a caller retries a refused request
	impatientWait  = 200 * time.Millisecond // time after which an impatient caller whose request is still queued leaves
	impatientEvery = 10                     // one request in this many has an impatient caller
	eventEvery     = 10                     // steps between two events of a stream
)

// callers simulates callers: they retry a refused request once, and impatient ones leave.
type callers struct {
	active   bool
	retries  []retry
	refusals int // requests refused for the first time
}

// retry is a refused request that its caller sends again.
type retry struct {
	dueAt    time.Time
	workload *workload
	request  placement.Request
}

// scheduleRetry schedules the retry of a refused request. Every other caller waits for retryAfter,
// as it was told; the others retry after minRetryDelay.
func (c *callers) scheduleRetry(now time.Time, req *simRequest, retryAfter time.Duration) {
	if !c.active || req.isRetry {
		return
	}
	if c.refusals++; c.refusals%2 == 0 {
		retryAfter = minRetryDelay
	}
	request := placement.Request{
		Service: req.request.Service, Team: req.request.Team, LatencyGoal: req.request.LatencyGoal, MaxOutput: req.request.MaxOutput, Chain: req.request.Chain,
		Seed: req.request.Seed + 1<<32,
	}
	c.retries = append(c.retries, retry{dueAt: now.Add(max(retryAfter, minRetryDelay)), workload: req.workload, request: request})
}

// stepCallers sends the retries that are due, and lets impatient callers leave.
func (s *simulation) stepCallers() {
	c := &s.callers
	due := c.retries
	c.retries = nil
	for _, r := range due {
		if s.now.Before(r.dueAt) {
			c.retries = append(c.retries, r)
			continue
		}
		s.result(r.workload.team).asked++
		s.submit(&simRequest{workload: r.workload, request: r.request, host: r.workload.hosts[s.rng.IntN(len(r.workload.hosts))], arrived: s.now, isRetry: true})
	}
	for host, waiting := range s.waiting {
		for _, id := range slices.Sorted(maps.Keys(waiting)) {
			if req := waiting[id]; id%impatientEvery == 0 && s.now.Sub(req.arrived) >= impatientWait {
				s.boards[host].Withdraw(req.request.Service, id)
				delete(waiting, id)
			}
		}
	}
}

// runWithRetries runs the workloads for a time, with callers that retry or leave. Hosts send each
// state report to the hosts of their own place, and only some to those of other places.
func (s *simulation) runWithRetries(workloads []workload, length time.Duration, places int) {
	s.callers.active = true
	remoteEvery := placement.RemoteStateEvery(len(s.boards))
	steps := int(length / tickStep)
	start := int(s.now.Sub(time.Unix(1000, 0)) / tickStep)
	ids := s.engineIDs()
	for step := start; step < start+steps; step++ {
		s.stepCallers()
		for i := range workloads {
			s.drawArrivals(&workloads[i])
		}
		for _, id := range ids {
			s.stepEngine(id)
			if step%eventEvery == 0 {
				s.deliverEvents(id)
			}
		}
		period := int(s.statePeriod / tickStep)
		for host := range s.boards {
			if turn := step + s.stateOffset*host; turn%period == 0 {
				s.sendStateByPlace(host, places, turn/period%remoteEvery == 0)
			}
			s.grant(host, s.boards[host].ServeQueue(s.now, "model"))
			s.grant(host, s.boards[host].ExpireQueued(s.now))
		}
		if step%50 == 0 {
			for _, b := range s.boards {
				b.Tick(s.now)
			}
		}
		s.now = s.now.Add(tickStep)
	}
}

// deliverEvents delivers an event of each stream of an engine to the host of its caller.
func (s *simulation) deliverEvents(id string) {
	for _, req := range s.engines[id].running {
		s.boards[req.host].RecordEventGap(s.now, id, eventEvery*tickStep)
	}
}

// sendStateByPlace sends the state of a host to the other hosts of its place, or of all places. The
// place of a host is its number modulo places.
func (s *simulation) sendStateByPlace(from, places int, allPlaces bool) {
	state := s.boards[from].State(s.now)
	for to, other := range s.boards {
		if to != from && (allPlaces || to%places == from%places) {
			other.ApplyPeerState(s.now, uint64(from), state)
		}
	}
}

// moveToNextHosts moves the callers of a workload to other hosts.
func (w *workload) moveToNextHosts(hosts int) {
	w.hosts = slices.Clone(w.hosts)
	for n := range w.hosts {
		w.hosts[n] = (w.hosts[n] + 7) % hosts
	}
}

// removeDeadTargets removes the dead engines from the target lists of all hosts.
func (s *simulation) removeDeadTargets() {
	alive := slices.DeleteFunc(slices.Clone(s.targets), func(t route.Target) bool { return s.engines[t.ID] == nil })
	for _, b := range s.boards {
		b.SetTargets(alive)
	}
}

// pauseAndLeave pauses some engines for a time and lets others leave. Each host is told of a pause
// itself; a single host is told of a departure and informs the others.
func (s *simulation) pauseAndLeave(pausing, leaving int, length time.Duration) {
	for n, id := range s.engineIDs()[:pausing+leaving] {
		for host, b := range s.boards {
			switch {
			case n < pausing:
				b.RecordPause(s.now, id, length)
			case host == n%len(s.boards):
				b.RecordLeaving(s.now, id)
			}
		}
	}
}
