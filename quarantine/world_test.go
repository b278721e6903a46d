package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/quarantine"
)

// Properties of the simulated fleet.
const (
	simDowntime    = 3 * time.Second       // of a target that crashed
	simNoticeTime  = 3 * time.Millisecond  // until a host knows that a target of its requests is gone
	simMinDelay    = time.Millisecond      // of a message between hosts
	simDelayRange  = 3 * time.Millisecond  // by which the delay varies
	simLoss        = 0.01                  // fraction of the messages that are lost
	simMinPrefill  = 80 * time.Millisecond // until the first event of an answer
	simPrefill     = 320 * time.Millisecond
	simStatePeriod = 4 * time.Millisecond   // between two reports of held traits, times the number of hosts
	simStateHosts  = 10                     // that hear one report of held traits
	simMinState    = 50 * time.Millisecond  // between two reports of held traits, at least
	simVouchTime   = 100 * time.Millisecond // until the hosts that know a held trait have told it
	simTimeToCrash = 30 * time.Second       // mean time between two crashes of one target that no request causes
	simFirstParts  = 12                     // shared by many prompts, the first ones by most
	simDocuments   = 400                    // second parts of prompts
	deadlyTrait    = quarantine.Trait(1 << 40)
)

// simSettings describes one simulated day.
type simSettings struct {
	hosts, targets, rate int           // rate: requests a second of the fleet
	length               time.Duration // of the day
	deadly               float64       // fraction of the requests that have a deadly trait, from 5 s on
	deadlyTraits         int           // how many there are, one of them in each such request
	oneDocument          bool          // all these requests share one document, which few others have
	crashEvery           time.Duration // mean time between crashes that no request causes
	groupCrashes         []time.Duration
	contact              time.Duration // after the fifth crash by one trait, at most three more requests with it may be sent
}

// simRequest is a request on its way.
type simRequest struct {
	host     int
	traits   []quarantine.Trait
	deadly   quarantine.Trait // 0 if it is sound
	sentAt   time.Time
	attempts int
	probes   []quarantine.Trait
	cut      bool
}

// simTarget is a target, with the requests that it has not begun to answer.
type simTarget struct {
	name    string
	down    bool
	pending []*simRequest
}

// simEvent is something that happens at a time.
type simEvent struct {
	at     time.Time
	number int // keeps the order of events at one time
	run    func()
}

// simEvents is a heap of events.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simulation is a fleet in virtual time whose hosts know of each other only what messages say.
type simulation struct {
	settings simSettings
	random   *rand.Rand
	now      time.Time
	events   simEvents
	count    int
	tables   []*quarantine.Table
	inFlight []map[*simRequest]bool // by host: not answered yet
	targets  []*simTarget

	crashesBy  map[quarantine.Trait]int // crashes by requests with a trait
	fifthAt    map[quarantine.Trait]time.Time
	afterwards map[quarantine.Trait]int // requests with a trait that were sent later than contact after the fifth crash
	sound      int                      // requests without a deadly trait
	refused    int                      // those of them that were refused or ended for a trait
	related    int                      // sound requests that share the document of the deadly ones, from 12 s on
	relatedBad int                      // those of them that were refused or ended for a trait
}

// newSimulation returns a fleet at the start of its day.
func newSimulation(settings simSettings, seed uint64) *simulation {
	s := &simulation{
		settings: settings, random: rand.New(rand.NewPCG(seed, 41)), now: start,
		crashesBy: map[quarantine.Trait]int{}, fifthAt: map[quarantine.Trait]time.Time{}, afterwards: map[quarantine.Trait]int{},
	}
	for n := range settings.hosts {
		s.tables = append(s.tables, quarantine.NewTable(uint64(n)))
		s.inFlight = append(s.inFlight, map[*simRequest]bool{})
	}
	for n := range settings.targets {
		s.targets = append(s.targets, &simTarget{name: fmt.Sprint("target", n)})
	}
	return s
}

// after schedules a function.
func (s *simulation) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), number: s.count, run: run})
}

// run plays the whole day.
func (s *simulation) run() {
	s.after(0, s.arrive)
	for host := range s.tables {
		s.after(time.Duration(host)*simStatePeriod, func() { s.sendState(host) })
	}
	if s.settings.crashEvery > 0 {
		s.after(s.exponential(s.settings.crashEvery), s.crashAlone)
	}
	for _, at := range s.settings.groupCrashes {
		s.after(at, s.crashGroup)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.Sub(start) > s.settings.length {
			return
		}
		s.now = e.at
		e.run()
	}
}

// sendState lets a host tell some others what it knows of held traits, and again after a while.
func (s *simulation) sendState(host int) {
	s.after(max(simMinState, time.Duration(len(s.tables))*simStatePeriod), func() { s.sendState(host) })
	state := s.tables[host].State()
	if len(state) == 0 {
		return
	}
	for range simStateHosts {
		to := s.tables[s.random.IntN(len(s.tables))]
		s.after(s.delay(), func() {
			for _, status := range state {
				to.Merge(s.now, status)
			}
		})
	}
}

// exponential returns a random time with a mean.
func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// arrive lets a request arrive at a host.
func (s *simulation) arrive() {
	s.after(s.exponential(time.Second/time.Duration(s.settings.rate)), s.arrive)
	first := quarantine.Trait(1 + min(s.random.IntN(simFirstParts), s.random.IntN(simFirstParts)))
	document := quarantine.Trait(1000 + min(s.random.IntN(simDocuments), s.random.IntN(simDocuments)))
	if s.random.IntN(200) == 0 {
		document = 1000 + simDocuments - 1
	}
	x := &simRequest{host: s.random.IntN(s.settings.hosts)}
	if s.now.Sub(start) > 5*time.Second && s.random.Float64() < s.settings.deadly {
		x.deadly = deadlyTrait + quarantine.Trait(s.random.IntN(s.settings.deadlyTraits))
		if s.settings.oneDocument {
			first, document = 1, 1000+simDocuments-1
		}
	}
	x.traits = []quarantine.Trait{first, document, quarantine.Trait(s.random.Uint64())}
	if x.deadly != 0 {
		x.traits = append(x.traits, x.deadly)
	}
	if x.deadly == 0 {
		s.sound++
		s.related += s.countRelated(x)
	}
	s.send(x)
}

// countRelated returns 1 if a sound request shares the document of the deadly ones and comes once these should be
// known, otherwise 0.
func (s *simulation) countRelated(x *simRequest) int {
	if x.traits[1] == 1000+simDocuments-1 && s.now.Sub(start) > 12*time.Second {
		return 1
	}
	return 0
}

// send sends a request to a target, or refuses it.
func (s *simulation) send(x *simRequest) {
	table := s.tables[x.host]
	d := table.Check(s.now, x.traits)
	if d.Refused {
		s.refuse(x)
		return
	}
	target := s.chooseTarget(x)
	if target == nil {
		return // none is up; this says nothing about traits
	}
	if len(d.Probes) > 0 {
		table.BeginProbe(s.now, d.Probes)
		s.broadcast(x.host, func(t *quarantine.Table) { t.BeginProbe(s.now, d.Probes) })
	}
	x.sentAt, x.probes = s.now, d.Probes
	x.attempts++
	if at, ok := s.fifthAt[x.deadly]; ok && s.now.Sub(at) > s.settings.contact {
		s.afterwards[x.deadly]++
	}
	s.inFlight[x.host][x] = true
	target.pending = append(target.pending, x)
	s.after(simMinPrefill+time.Duration(s.random.Int64N(int64(simPrefill))), func() { s.begin(target, x) })
}

// refuse counts a request that was refused or ended for a trait.
func (s *simulation) refuse(x *simRequest) {
	if x.deadly == 0 {
		s.refused++
		s.relatedBad += s.countRelated(x)
	}
}

// chooseTarget returns the target that hash and chance prefer for a prompt among those that are up.
func (s *simulation) chooseTarget(x *simRequest) *simTarget {
	first := int(x.traits[0]*31+x.traits[1]) + s.random.IntN(2) + 7*x.attempts
	for n := range s.targets {
		if t := s.targets[(first+n)%len(s.targets)]; !t.down {
			return t
		}
	}
	return nil
}

// begin lets a target begin to answer a request, or crash by it.
func (s *simulation) begin(t *simTarget, x *simRequest) {
	if x.cut || t.down || !s.inFlight[x.host][x] {
		return
	}
	if x.deadly != 0 {
		s.crashesBy[x.deadly]++
		if s.crashesBy[x.deadly] == 5 {
			s.fifthAt[x.deadly] = s.now
		}
		s.crash(t)
		return
	}
	delete(s.inFlight[x.host], x)
	t.remove(x)
	cleared, _ := s.tables[x.host].RecordAnswer(s.now, x.traits)
	if len(cleared) > 0 {
		s.broadcast(x.host, func(t *quarantine.Table) { t.RecordAnswer(s.now, cleared) })
	}
}

// remove removes a request from those that the target has not begun to answer.
func (t *simTarget) remove(x *simRequest) {
	for n, other := range t.pending {
		if other == x {
			t.pending = append(t.pending[:n:n], t.pending[n+1:]...)
			return
		}
	}
}

// crash ends a target for a while. The hosts of its requests notice, report and send them again once.
func (s *simulation) crash(t *simTarget) {
	if t.down {
		return
	}
	t.down = true
	pending := t.pending
	t.pending = nil
	s.after(simDowntime, func() { t.down = false })
	for _, x := range pending {
		x.cut = true
		delete(s.inFlight[x.host], x)
		s.after(simNoticeTime+time.Duration(s.random.Int64N(int64(simNoticeTime))), func() { s.notice(t, x) })
	}
}

// notice lets a host report that a target crashed before it answered a request.
func (s *simulation) notice(t *simTarget, x *simRequest) {
	report := &quarantine.Report{Target: t.name, At: s.now, SentAt: x.sentAt, Traits: x.traits}
	s.apply(x.host, report)
	for host := range s.tables {
		if host != x.host && s.random.Float64() >= simLoss {
			s.after(s.delay(), func() { s.apply(host, report) })
		}
	}
	s.tables[x.host].EndProbe(x.probes)
	if x.attempts < 2 {
		again := *x
		again.cut = false
		s.send(&again)
	}
}

// apply records a report at a host and ends the requests that it must not send any more.
func (s *simulation) apply(host int, r *quarantine.Report) {
	changes := s.tables[host].RecordCrash(s.now, r)
	for _, c := range changes {
		if !c.Held {
			continue
		}
		s.after(simVouchTime, func() { s.vouch(host) })
		for x := range s.inFlight[host] {
			if s.tables[host].Ends(s.now, c.Trait, x.traits) {
				x.cut = true
				delete(s.inFlight[host], x)
				s.refuse(x)
			}
		}
	}
}

// vouch lets a host tell the others which held traits it knows.
func (s *simulation) vouch(host int) {
	if known := s.tables[host].Vouches(s.now); len(known) > 0 {
		s.broadcast(host, func(t *quarantine.Table) { t.RecordKnown(known) })
	}
}

// delay returns how long a message is on its way.
func (s *simulation) delay() time.Duration {
	return simMinDelay + time.Duration(s.random.Int64N(int64(simDelayRange)))
}

// broadcast delivers a message to the other hosts. Some are lost.
func (s *simulation) broadcast(from int, deliver func(t *quarantine.Table)) {
	for host, table := range s.tables {
		if host != from && s.random.Float64() >= simLoss {
			s.after(s.delay(), func() { deliver(table) })
		}
	}
}

// crashAlone lets one target crash that no request crashes.
func (s *simulation) crashAlone() {
	s.after(s.exponential(s.settings.crashEvery), s.crashAlone)
	s.crash(s.targets[s.random.IntN(len(s.targets))])
}

// crashGroup lets a quarter of the targets crash at one moment.
func (s *simulation) crashGroup() {
	for _, t := range s.targets {
		if s.random.IntN(4) == 0 {
			s.crash(t)
		}
	}
}

// String sums up the day.
func (s *simulation) String() string {
	crashes, afterwards := 0, 0
	for trait, count := range s.crashesBy {
		crashes, afterwards = crashes+count, afterwards+s.afterwards[trait]
	}
	return fmt.Sprintf("%d crashes by %d deadly traits, %d requests long after the fifth; %d of %d sound requests refused, %d of %d with the same document",
		crashes, len(s.crashesBy), afterwards, s.refused, s.sound, s.relatedBad, s.related)
}

// simFleets are fleets of the sizes that run today.
var simFleets = []simSettings{
	{hosts: 7, targets: 9, rate: 270, contact: 3 * time.Second},
	{hosts: 81, targets: 112, rate: 1000, contact: 4 * time.Second},
	{hosts: 295, targets: 204, rate: 1000, contact: 5 * time.Second},
}

// name describes the settings of a day.
func (s simSettings) name() string {
	return fmt.Sprintf("%d hosts, share %v, %d traits", s.hosts, s.deadly, s.deadlyTraits)
}

// Requests with a deadly part, at low and high shares, with one or several such parts, beside targets that crash
// by themselves. Five crashes are allowed by one part, and three more requests once all hosts can know.
func TestDeadlyTraitsStopCrashingTargets(t *testing.T) {
	for _, fleet := range simFleets {
		for _, share := range []float64{0.002, 0.02, 0.1} {
			for _, traits := range []int{1, 3} {
				day := fleet
				day.length, day.crashEvery = 40*time.Second, 6*time.Second
				day.deadly, day.deadlyTraits, day.oneDocument = share, traits, traits == 1
				t.Run(day.name(), func(t *testing.T) {
					t.Parallel()
					s := newSimulation(day, 7)
					s.run()
					t.Log(s)
					for trait := range s.crashesBy {
						require.LessOrEqual(t, s.afterwards[trait], 3)
					}
					require.Less(t, 100*s.refused, s.sound, "of the sound requests, fewer than 1 in 100 may be refused")
					require.Less(t, 2*s.relatedBad, s.related, "half of those that share parts with the deadly ones have to be served")
				})
			}
		}
	}
}

// Each target crashes every half minute by itself, and some crash in groups, one of them right after another. This
// condemns no sound trait for long: of the requests, fewer than 1 in 100 may be refused.
func TestCrashesWithoutDeadlyTraitsCondemnNobody(t *testing.T) {
	for _, fleet := range simFleets {
		day := fleet
		day.length, day.crashEvery = 20*time.Second, simTimeToCrash/time.Duration(day.targets)
		day.groupCrashes = []time.Duration{8 * time.Second, 11 * time.Second, 11200 * time.Millisecond}
		t.Run(day.name(), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(day, 7)
			s.run()
			t.Log(s)
			require.Less(t, 100*s.refused, s.sound)
		})
	}
}
