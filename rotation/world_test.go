package rotation_test

import (
	"math"
	"time"

	"github.com/cassiachute/cassiachute/rotation"
)

// Parameters of the simulation.
const (
	step            = 10 * time.Millisecond // time that a host needs for one request
	arrivalCost     = 0.3                   // part of the work for a request that is done when it arrives
	refusalCost     = 0.1                   // work for a refused request, as a part of that for a served one
	streamSteps     = 400                   // over which the rest of the work for a request is spread
	checkEvery      = time.Second           // interval at which the balancer checks each host
	maxFailedChecks = 2                     // in a row that take a host out of rotation
	latenessSteps   = 20                    // over which the mean lateness is smoothed
	places          = 3                     // data centres of the fleet; only one is simulated
	crowdIndex      = -1                    // stands for the host that the callers of the crowd reach
)

// simulatedHost is a host with one processor behind a load balancer.
type simulatedHost struct {
	rotation     *rotation.Host
	backlog      float64 // steps of work that wait for the processor
	streams      []int   // requests that began in each of the last steps
	running      int     // sum of streams
	lateSteps    float64 // mean lateness in steps
	slowdown     float64 // factor by which work takes longer
	failedChecks int     // in a row
	changes      int     // times that the host left the rotation or came back
}

// lateness returns the mean lateness of the work of the host.
func (m *simulatedHost) lateness() time.Duration { return time.Duration(m.lateSteps * float64(step)) }

// simulation holds the hosts of one data centre and the state of their load balancer.
type simulation struct {
	hosts         []*simulatedHost
	now           time.Time // start time plus elapsed
	elapsed       time.Duration
	served        []int          // requests of the crowd in each step
	refused       int            // requests so far
	awaySteps     int            // sum over the hosts of the steps out of rotation
	maxAway       int            // most hosts out of rotation at once
	crowdHost     *simulatedHost // host that the crowd reached last
	streak        time.Duration  // for which the crowd has reached the same host
	longestStreak time.Duration  // longest one in which requests arrived
}

// newSimulation returns a simulation of a data centre of idle hosts in rotation.
func newSimulation(count int) *simulation {
	f := &simulation{now: time.Unix(1000, 0)}
	for range count {
		f.hosts = append(f.hosts, &simulatedHost{rotation: rotation.NewHost(limit), slowdown: 1})
	}
	return f
}

// run simulates a span of time. arrivals returns the requests that arrive in a step at a host, or
// from the crowd if the host is crowdIndex.
func (f *simulation) run(length time.Duration, arrivals func(at time.Duration, host int) int) *simulation {
	for end := f.elapsed + length; f.elapsed < end; f.elapsed += step {
		f.now = f.now.Add(step)
		refusedBefore := f.refused
		for i, m := range f.hosts {
			f.arrive(m, arrivals(f.elapsed, i))
		}
		count := arrivals(f.elapsed, crowdIndex)
		f.sendCrowd(count)
		f.served = append(f.served, count-(f.refused-refusedBefore))
		away := 0
		for i, m := range f.hosts {
			f.tick(i, m)
			if m.rotation.Away() {
				away++
			}
		}
		f.awaySteps += away
		f.maxAway = max(f.maxAway, away)
	}
	return f
}

// sendCrowd gives the requests of a step to the host that the crowd reaches.
func (f *simulation) sendCrowd(count int) {
	m := f.pickCrowdHost()
	if m != f.crowdHost {
		f.crowdHost, f.streak = m, 0
	}
	f.streak += step
	if count > 0 {
		f.longestStreak = max(f.longestStreak, f.streak)
	}
	f.arrive(m, count)
}

// arrive gives requests to a host, which refuses them while it is late.
func (f *simulation) arrive(m *simulatedHost, count int) {
	if len(m.streams) == 0 {
		m.streams = make([]int, 1)
	}
	for range count {
		if m.lateness() > limit {
			m.backlog += refusalCost * m.slowdown
			f.refused++
			continue
		}
		m.backlog += arrivalCost * m.slowdown
		m.streams[0]++
	}
}

// tick lets a host work for a step, and the balancer check it once per checkEvery.
func (f *simulation) tick(i int, m *simulatedHost) {
	m.running += m.streams[0]
	m.streams = append([]int{0}, m.streams...)
	if len(m.streams) > streamSteps {
		m.running -= m.streams[streamSteps]
		m.streams = m.streams[:streamSteps]
	}
	m.backlog += (1 - arrivalCost) / streamSteps * float64(m.running) * m.slowdown
	m.backlog = max(0, m.backlog-1)
	m.lateSteps += (m.backlog - m.lateSteps) / latenessSteps
	if m.rotation.Tick(f.now, m.lateness(), func() rotation.OtherHosts { return f.others(i) }) {
		m.changes++
	}
	if (f.elapsed+time.Duration(i)*step)%checkEvery != 0 {
		return
	}
	m.failedChecks++
	if !m.rotation.Away() {
		m.failedChecks = 0
	}
}

// others returns what a host knows of the others.
func (f *simulation) others(self int) rotation.OtherHosts {
	o := rotation.OtherHosts{Place: len(f.hosts) - 1, Fleet: places*len(f.hosts) - 1}
	for i, m := range f.hosts {
		if i == self || !m.rotation.Away() {
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
// the first of all if fewer than half of them are in rotation.
func (f *simulation) pickCrowdHost() *simulatedHost {
	var candidates []*simulatedHost
	for _, m := range f.hosts {
		if m.failedChecks < maxFailedChecks {
			candidates = append(candidates, m)
		}
	}
	if 2*len(candidates) < len(f.hosts) {
		candidates = f.hosts
	}
	return candidates[0]
}

// minServed returns the lowest number of requests of the crowd that were served in any span of a
// length.
func (f *simulation) minServed(span time.Duration) int {
	steps := int(span / step)
	fewest := math.MaxInt
	for from := 0; from+steps <= len(f.served); from++ {
		sum := 0
		for _, n := range f.served[from : from+steps] {
			sum += n
		}
		fewest = min(fewest, sum)
	}
	return fewest
}

// awayShare returns the part of the time of all hosts of the three data centres in which hosts
// were out of rotation.
func (f *simulation) awayShare() float64 {
	return float64(f.awaySteps) / float64(places*len(f.served)*len(f.hosts))
}
