package rotation_test

import (
	"math"
	"time"

	"github.com/cassiachute/cassiachute/rotation"
)

// Parameters of the simulation.
const (
	step            = 10 * time.Millisecond // simulated step; a host needs as long for one request
	arrivalCost     = 0.3                   // fraction of the work for a request that is done when it arrives
	refusalCost     = 0.1                   // work for a refused request, as a fraction of that for a served one
	streamSteps     = 400                   // steps over which the rest of the work for a request is spread
	checkInterval   = time.Second           // interval at which the balancer checks each host
	maxFailedChecks = 2                     // failed checks in a row after which the balancer takes a host out of rotation
	latenessSteps   = 20                    // steps over which the mean lateness is smoothed
	places          = 3                     // data centres of the fleet; only one is simulated
	crowdIndex      = -1                    // stands, instead of an index, for the host that the crowd reaches
)

// simulatedHost is a host with one processor behind a load balancer.
type simulatedHost struct {
	rotation     *rotation.Host
	backlog      float64 // steps of work that wait for the processor
	streams      []int   // requests that began in each of the last steps
	running      int     // sum of streams
	lateSteps    float64 // mean lateness in steps
	slowdown     float64 // factor by which work takes longer
	failedChecks int     // failed checks of the balancer in a row
	changes      int     // times that the host left the rotation or came back
}

// lateness returns the mean lateness of the work of the host.
func (h *simulatedHost) lateness() time.Duration { return time.Duration(h.lateSteps * float64(step)) }

// simulation holds the hosts of one data centre and the state of their load balancer. The crowd is
// the callers of one team, whom the balancer sends to the same host.
type simulation struct {
	hosts         []*simulatedHost
	now           time.Time // start time plus elapsed
	elapsed       time.Duration
	served        []int          // served requests of the crowd in each step
	refused       int            // requests so far
	awaySteps     int            // sum over the hosts of the steps out of rotation
	maxAway       int            // most hosts out of rotation at once
	crowdHost     *simulatedHost // host that the crowd reached last
	streak        time.Duration  // time for which the crowd has reached the same host
	longestStreak time.Duration  // longest streak in which the crowd sent requests
}

// newSimulation returns a simulation of a data centre of idle hosts in rotation.
func newSimulation(count int) *simulation {
	s := &simulation{now: time.Unix(1000, 0)}
	for range count {
		s.hosts = append(s.hosts, &simulatedHost{rotation: rotation.NewHost(maxLateness), slowdown: 1})
	}
	return s
}

// run simulates a span of time. arrivals returns how many requests arrive in a step at a host, or
// come from the crowd if the host is crowdIndex.
func (s *simulation) run(length time.Duration, arrivals func(elapsed time.Duration, host int) int) *simulation {
	for end := s.elapsed + length; s.elapsed < end; s.elapsed += step {
		s.now = s.now.Add(step)
		refusedBefore := s.refused
		for i, h := range s.hosts {
			s.arrive(h, arrivals(s.elapsed, i))
		}
		count := arrivals(s.elapsed, crowdIndex)
		s.sendCrowd(count)
		s.served = append(s.served, count-(s.refused-refusedBefore))
		away := 0
		for i, h := range s.hosts {
			s.tick(i, h)
			if h.rotation.Away() {
				away++
			}
		}
		s.awaySteps += away
		s.maxAway = max(s.maxAway, away)
	}
	return s
}

// sendCrowd gives the requests of a step to the host that the crowd reaches.
func (s *simulation) sendCrowd(count int) {
	h := s.pickCrowdHost()
	if h != s.crowdHost {
		s.crowdHost, s.streak = h, 0
	}
	s.streak += step
	if count > 0 {
		s.longestStreak = max(s.longestStreak, s.streak)
	}
	s.arrive(h, count)
}

// arrive gives requests to a host, which refuses them while it is late.
func (s *simulation) arrive(h *simulatedHost, count int) {
	if len(h.streams) == 0 {
		h.streams = make([]int, 1)
	}
	for range count {
		if h.lateness() > maxLateness {
			h.backlog += refusalCost * h.slowdown
			s.refused++
			continue
		}
		h.backlog += arrivalCost * h.slowdown
		h.streams[0]++
	}
}

// tick lets a host work for a step, and lets the balancer check it once per checkInterval.
func (s *simulation) tick(i int, h *simulatedHost) {
	h.running += h.streams[0]
	h.streams = append([]int{0}, h.streams...)
	if len(h.streams) > streamSteps {
		h.running -= h.streams[streamSteps]
		h.streams = h.streams[:streamSteps]
	}
	h.backlog += (1 - arrivalCost) / streamSteps * float64(h.running) * h.slowdown
	h.backlog = max(0, h.backlog-1)
	h.lateSteps += (h.backlog - h.lateSteps) / latenessSteps
	if h.rotation.Tick(s.now, h.lateness(), func() rotation.OtherHosts { return s.others(i) }) {
		h.changes++
	}
	if (s.elapsed+time.Duration(i)*step)%checkInterval != 0 {
		return
	}
	h.failedChecks++
	if !h.rotation.Away() {
		h.failedChecks = 0
	}
}

// others returns what the host with the index self knows of the others.
func (s *simulation) others(self int) rotation.OtherHosts {
	o := rotation.OtherHosts{Place: len(s.hosts) - 1, Fleet: places*len(s.hosts) - 1}
	for i, h := range s.hosts {
		if i == self || !h.rotation.Away() {
			continue
		}
		o.PlaceAway++
		o.FleetAway++
		if i < self {
			o.Ahead++
		}
	}
	return o
}

// pickCrowdHost returns the host that the callers of the crowd reach: the first in rotation, or
// the first of all if fewer than half of all hosts are in rotation.
func (s *simulation) pickCrowdHost() *simulatedHost {
	var candidates []*simulatedHost
	for _, h := range s.hosts {
		if h.failedChecks < maxFailedChecks {
			candidates = append(candidates, h)
		}
	}
	if 2*len(candidates) < len(s.hosts) {
		candidates = s.hosts
	}
	return candidates[0]
}

// minServed returns the lowest number of requests of the crowd that were served in any time of
// length span.
func (s *simulation) minServed(span time.Duration) int {
	steps := int(span / step)
	fewest := math.MaxInt
	for from := 0; from+steps <= len(s.served); from++ {
		sum := 0
		for _, n := range s.served[from : from+steps] {
			sum += n
		}
		fewest = min(fewest, sum)
	}
	return fewest
}

// awayShare returns the fraction of the time that hosts were out of rotation, averaged over the
// hosts of all data centres. Those that are not simulated count as in rotation.
func (s *simulation) awayShare() float64 {
	return float64(s.awaySteps) / float64(places*len(s.served)*len(s.hosts))
}
