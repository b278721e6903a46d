package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/speed"
	"github.com/cassiachute/cassiachute/warmup"
)

// Load is the work at a target, as decided by one host.
type Load struct {
	Prompt  int // prompt tokens of requests without a first event yet
	Running int // number of requests
	Memory  int // tokens of the requests: prompts and expected output
}

// add adds another load.
func (l *Load) add(other Load) {
	l.Prompt += other.Prompt
	l.Running += other.Running
	l.Memory += other.Memory
}

// sub subtracts another load; no value falls below 0.
func (l *Load) sub(other Load) {
	l.Prompt = max(0, l.Prompt-other.Prompt)
	l.Running = max(0, l.Running-other.Running)
	l.Memory = max(0, l.Memory-other.Memory)
}

// targetRecord holds the state of one target.
type targetRecord struct {
	target              route.Target
	key                 uint64 // hash of the target's ID
	region              string // of its data centre, empty if it is not known
	evacuated           bool   // its data centre is evacuated
	owner               uint64 // ID of the host that decides about it
	ownLoad             Load   // from requests that this host decided about
	peerLoad            Load   // from requests that other hosts decided about
	health              health
	warmup              warmup.Limiter
	speed               targetSpeed
	cache               *prefixCache
	meanEventGap        time.Duration // mean interval between events
	lastEvent           time.Time     // time of the last event of any stream
	activeStreams       int           // streams of this host that have had their first event
	suspendedForSilence bool          // the target was suspended while all streams of this host were silent
	pausedUntil         time.Time     // end of the pause during which this host is to send nothing
	peerPauseUntil      time.Time     // end of the latest pause that the target imposed on another host
	fullUntil           time.Time     // until when it counts as full because it paused another host
}

// load returns the work of all hosts at the target.
func (r *targetRecord) load() Load {
	l := r.ownLoad
	l.add(r.peerLoad)
	return l
}

// pool holds the state of one service and its targets.
type pool struct {
	engine           *route.Engine
	prefillModel     *PrefillModel
	answerTime       time.Duration   // mean answer time of a plain service
	speeds           speed.Mean      // of the targets
	knees            speed.Knees     // of the targets
	weighted         bool            // some targets are faster or slower than others by a step
	coldStart        time.Duration   // for which a target is cold after its start
	coldRate         float64         // requests per second that a cold target can take
	targets          []*targetRecord // sorted by target ID
	owned            []*targetRecord // targets that this host decides about
	epoch            uint64          // incremented whenever the list of targets changes
	teams            map[string]*teamUsage
	tightestGoal     time.Duration // tightest latency goal of the routes to the service
	requiredEventGap time.Duration // interval between events with which streams finish in time
	queue            []queuedRequest
	central          centralQueue
	lastServed       time.Time // time of the last pass over the queue
	shares           fairShares
	uncounted        map[string]uncounted // of the teams that ask for more than an even share
}

// Board holds what one host knows of services, targets and teams, and decides about requests.
type Board struct {
	place   string // data centre of this host
	pools   map[string]*pool
	targets map[string]*targetRecord
	peers   map[uint64]*peer
	self    uint64 // ID of this host
	hosts   []Host // hosts that decide, including this one unless it resigned

	departures map[string]Departure // targets that said they are leaving, by ID
	evacuated  []string             // data centres whose targets get no new requests
	regions    map[string]string    // region of each data centre

	heartbeat    time.Duration // interval at which targets renew their entries
	lastRunning  time.Time     // when this host last ran, as far as it was recorded
	resumedAt    time.Time     // when it ran again after the last suspension, zero if there was none
	coldChanges  []ColdChange  // that were not taken yet
	unlistedCold ColdCounts    // decisions about targets that are no longer listed

	lateness     time.Duration // mean lateness of this host
	speedChanges []SpeedChange // that were not taken yet
	speedsSentAt time.Time     // when the last state had the speeds
	stepsChanged bool          // a step of an owned target changed since

	promisedRate float64 // cost units a second that all engines provide together, 0 if unknown
}

// NewBoard returns a Board without targets for a host in a data centre.
func NewBoard(place string) *Board {
	return &Board{
		place: place, pools: map[string]*pool{}, targets: map[string]*targetRecord{}, peers: map[uint64]*peer{},
		departures: map[string]Departure{},
	}
}

// pool returns the pool of a service and creates it if needed.
func (b *Board) pool(service string) *pool {
	p := b.pools[service]
	if p == nil {
		p = &pool{prefillModel: NewPrefillModel(), answerTime: initialAnswerTime, teams: map[string]*teamUsage{}}
		b.pools[service] = p
	}
	return p
}

// Configure sets the services and the latency goals of their routes.
func (b *Board) Configure(table *route.Table) {
	b.promisedRate = table.Rate
	for _, p := range b.pools {
		p.tightestGoal = 0
	}
	for i := range table.Services {
		s := &table.Services[i]
		p := b.pool(s.Name)
		p.engine, p.coldStart, p.coldRate = s.Engine, s.ColdStart, s.ColdRate
	}
	for i := range table.Routes {
		r := &table.Routes[i]
		for _, s := range r.Shares {
			p := b.pool(s.Service)
			if r.TargetLatency > 0 && (p.tightestGoal == 0 || r.TargetLatency < p.tightestGoal) {
				p.tightestGoal = r.TargetLatency
			}
		}
	}
	for _, r := range b.targets {
		b.configureCold(r)
	}
	b.assignOwners()
}

// restarted forgets what is known of an earlier process of the target: its cached prompts, its pauses and its
// failures. Its load stays until the requests of this host have ended.
func (r *targetRecord) restarted() {
	r.cache.clear()
	r.pausedUntil, r.fullUntil = time.Time{}, time.Time{}
	r.health, r.suspendedForSilence = newHealth(), false
	r.speed = targetSpeed{}
}

// SetTargets replaces the list of targets. A target that is no longer listed gets no new requests;
// its record is kept until its requests of this host have ended. After a restart, the target starts
// as a new one.
func (b *Board) SetTargets(targets []route.Target) {
	present := map[string]bool{}
	var turnedCold []*targetRecord
	prefixes := prefixesPerTarget(len(targets))
	for _, t := range targets {
		present[t.ID] = true
		r := b.targets[t.ID]
		if r == nil {
			r = &targetRecord{key: xxhash.Sum64String(t.ID), health: newHealth(), cache: newPrefixCache(prefixes)}
			b.targets[t.ID] = r
		}
		r.cache.resize(prefixes)
		restarted := !r.target.StartedAt.Equal(t.StartedAt)
		if restarted {
			r.restarted()
		}
		t.Leaving = t.Leaving || b.departed(&t)
		coldBefore := r.target.ColdUntil
		r.target = t
		if b.updateCold(r, coldBefore, restarted) {
			turnedCold = append(turnedCold, r)
		}
		r.region, r.evacuated = b.regions[t.Place], b.isEvacuated(t.Place)
	}
	for id, r := range b.targets {
		if present[id] {
			continue
		}
		r.target.Leaving = true
		if r.ownLoad.Running == 0 {
			b.unlistedCold.addDecisions(r)
			delete(b.targets, id)
		}
	}
	b.groupTargets()
	b.assignOwners()
	b.sumPeerLoads()
	for _, r := range turnedCold {
		b.recordColdChange(r, warmup.ReasonEntry)
	}
}

// groupTargets sorts the targets into the pools of their services.
func (b *Board) groupTargets() {
	for _, p := range b.pools {
		p.targets = p.targets[:0]
		p.epoch++
	}
	for _, r := range b.targets {
		p := b.pool(r.target.Service)
		p.targets = append(p.targets, r)
		p.epoch++
	}
	for _, p := range b.pools {
		slices.SortFunc(p.targets, func(a, c *targetRecord) int { return cmp.Compare(a.target.ID, c.target.ID) })
	}
}
