package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/route"
)

// Load is the work at a target that one host decided about.
type Load struct {
	Prompt  int // prompt tokens whose first event has not come
	Running int // requests
	Memory  int // tokens of the requests: prompts and expected output
}

func (l *Load) add(other Load) {
	l.Prompt += other.Prompt
	l.Running += other.Running
	l.Memory += other.Memory
}

func (l *Load) sub(other Load) {
	l.Prompt = max(0, l.Prompt-other.Prompt)
	l.Running = max(0, l.Running-other.Running)
	l.Memory = max(0, l.Memory-other.Memory)
}

// row is what is known of one target.
type row struct {
	target route.Target
	key    uint64 // hash of the identity
	owner  uint64 // host that decides about it
	own    Load
	peers  Load
	health health
	memory *memory
	gap    time.Duration // mean pause between events
	heard  time.Time     // last event of any stream
	flows  int           // streams of this host that had their first event
	mute   bool          // suspended while all streams of this host were silent
	paused time.Time     // until when it told this host to send it nothing
	told   time.Time     // until when it paused another host, as that told last
	full   time.Time     // until when it counts as full for that
}

// load returns the work of all hosts at the target.
func (r *row) load() Load {
	l := r.own
	l.add(r.peers)
	return l
}

// pool is what is known of one service.
type pool struct {
	engine  *route.Engine
	pace    *Pace
	typical time.Duration // time of an answer of a plain service
	rows    []*row        // ordered by the identity of the target
	owned   []*row        // those that this host decides about
	epoch   uint64        // rises with each change of the rows
	teams   map[string]*teamUse
	tight   time.Duration // tightest aim of the routes to the service
	need    time.Duration // pause between events that streams need to be over in time
	queue   []ticket
	served  time.Time // when it was last decided about the queue
	shares  shares
	pasts   map[string]past // of the teams that ask for more than an even part
}

// Board holds the tables of services, targets and teams.
type Board struct {
	place string
	pools map[string]*pool
	rows  map[string]*row
	peers map[uint64]*peer
	self  uint64 // this host
	hosts []Host // that decide, this one included unless it resigned

	departures map[string]Departure // targets that said that they are leaving

	promised float64 // cost units a second that the engines produce together, 0 if unknown
}

// NewBoard returns a Board of a host in a data centre, without targets.
func NewBoard(place string) *Board {
	return &Board{
		place: place, pools: map[string]*pool{}, rows: map[string]*row{}, peers: map[uint64]*peer{},
		departures: map[string]Departure{},
	}
}

func (b *Board) pool(service string) *pool {
	p := b.pools[service]
	if p == nil {
		p = &pool{pace: NewPace(), typical: typicalAnswer, teams: map[string]*teamUse{}}
		b.pools[service] = p
	}
	return p
}

// Configure takes the services and the aims of their routes.
func (b *Board) Configure(table *route.Table) {
	b.promised = table.Rate
	for _, p := range b.pools {
		p.tight = 0
	}
	for i := range table.Services {
		b.pool(table.Services[i].Name).engine = table.Services[i].Engine
	}
	for i := range table.Routes {
		r := &table.Routes[i]
		for _, s := range r.Shares {
			p := b.pool(s.Service)
			if r.TargetLatency > 0 && (p.tight == 0 || r.TargetLatency < p.tight) {
				p.tight = r.TargetLatency
			}
		}
	}
}

// SetTargets takes the present list of targets. A target that is no longer listed
// takes no new request.
func (b *Board) SetTargets(targets []route.Target) {
	present := map[string]bool{}
	chains := chainsPerTarget(len(targets))
	for _, t := range targets {
		present[t.ID] = true
		r := b.rows[t.ID]
		if r == nil {
			r = &row{key: xxhash.Sum64String(t.ID), health: newHealth(), memory: newMemory(chains)}
			b.rows[t.ID] = r
		}
		r.memory.resize(chains)
		if !r.target.StartedAt.Equal(t.StartedAt) {
			r.memory.forget()
		}
		if !r.target.StartedAt.Equal(t.StartedAt) {
			r.paused, r.full = time.Time{}, time.Time{}
		}
		t.Leaving = t.Leaving || b.departed(&t)
		r.target = t
	}
	for id, r := range b.rows {
		if present[id] {
			continue
		}
		r.target.Leaving = true
		if r.own.Running == 0 {
			delete(b.rows, id)
		}
	}
	b.regroup()
	b.assign()
	b.sum()
}

// regroup orders the targets by service.
func (b *Board) regroup() {
	for _, p := range b.pools {
		p.rows = p.rows[:0]
		p.epoch++
	}
	for _, r := range b.rows {
		p := b.pool(r.target.Service)
		p.rows = append(p.rows, r)
		p.epoch++
	}
	for _, p := range b.pools {
		slices.SortFunc(p.rows, func(a, c *row) int { return cmp.Compare(a.target.ID, c.target.ID) })
	}
}
