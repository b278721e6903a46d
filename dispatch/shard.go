// Package dispatch holds the queue of one service in one place and decides
// which waiting request gets which slot.
//
// A Shard is a set of tables (tickets, grants, teams, targets) and systems that
// run over them: expire, lift, pick, place and report. It does no I/O, reads no
// clock and is used by one goroutine.
package dispatch

import (
	"net/netip"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/wire"
)

// Urgencies of a request, the most urgent first.
const (
	ClassUrgent uint8 = 0
	ClassNormal uint8 = 1
	ClassBulk   uint8 = 2
)

// Reasons of a refusal.
const (
	ReasonTeamLimit  uint8 = 1 // the team has too many requests waiting
	ReasonQueueLimit uint8 = 2 // the shard has too many requests waiting
	ReasonNoTarget   uint8 = 3 // no target of the service exists here
	ReasonDeadline   uint8 = 4 // no slot came free before the deadline
	ReasonPoison     uint8 = 5 // the request crashed the targets that ran it
	ReasonLeaving    uint8 = 6 // the host is shutting down
)

const (
	normalPenalty    = 2 * time.Second  // head start of urgent over normal requests
	bulkPenalty      = 30 * time.Second // head start of urgent over bulk requests
	maxHops          = 8
	prefixEntries    = 1 << 16
	retryDelay       = time.Second
	maxRefreshes     = 8                      // teams brought up to date before a grant
	grantAnswer      = time.Second            // within which an entry has a grant
	urgentPreempts   = 8                      // most preemptions under way per shard
	searchPerRow     = 5 * time.Microsecond   // added to searchEvery for each team and slot in use
	searchEvery      = 2 * time.Millisecond   // least time between two searches for a stream to preempt
	creditRequests   = 1.0                    // service that an idle team may have in store, in costliest requests
	owedRequests     = 4.0                    // service that a backlogged team may be owed, in costliest requests
	idleAfter        = 500 * time.Millisecond // a team without tickets for this long was idle
	debtRequests     = 8                      // service that a team may lag behind others, in costliest requests
	staleAfter       = 3 * time.Second
	healTime         = time.Second // for which debts are bounded after a cut has healed
	wholeReportEvery = 40
)

// Key names a ticket: the entry that holds the caller, and its number there.
type Key struct {
	Host netip.AddrPort
	ID   uint64
}

// Out is a message to a host.
type Out struct {
	To      netip.AddrPort
	Message wire.Message
}

// Peer is the owner of the same service's shard in another place.
type Peer struct {
	Place uint32
	Owner netip.AddrPort
}

// Config configures a Shard.
type Config struct {
	Shard       wire.Shard
	Incarnation uint64
	Policy      Policy        // how service is charged and teams are ordered
	Recover     time.Duration // longest wait for entries to tell what they have running
}

// Shard is the queue of one service in one place.
type Shard struct {
	config  Config
	book    *ledger.Book
	service *catalog.ServiceRow
	view    *catalog.View

	tickets map[Key]*ticket
	grants  map[Key]*grant
	teams   map[uint32]*team
	targets map[uint32]*target
	waiting teamHeap
	free    targetHeap
	prefix  *lru.Cache[uint32, uint32]

	started  time.Time
	settled  bool // entries have told what they have running
	expected map[netip.AddrPort]bool
	share    float64
	used     int
	slots    int      // slots of all targets that take work, as of the last tick
	mean     estimate // of all teams
	costly   float64  // cost of the costliest request seen, decaying
	preempts int
	searched time.Time // when a stream to preempt was last searched for
	survey   survey
	longest  float64   // mean duration of the team with work whose requests hold their slots longest
	healed   time.Time // when a place was heard of again after a cut
	turn     uint64

	peers       []Peer
	standby     netip.AddrPort
	sequence    uint64
	reported    time.Time
	reportBytes int  // size of the last report to all receivers
	urgent      bool // a report is due at once
	hurries     float64
	hurriedAt   time.Time
	state       [2]bool
	pushed      map[uint32]int
	pulled      map[pullKey]int
	out         []Out
}

// NewShard returns a Shard that starts from what the book knows of its
// predecessor. The expected hosts are to tell what they have running before
// slots are granted, or Config.Recover passes.
func NewShard(now time.Time, config Config, book *ledger.Book, expected []netip.AddrPort) *Shard {
	prefix, _ := lru.New[uint32, uint32](prefixEntries)
	s := &Shard{
		config:   config,
		book:     book,
		tickets:  map[Key]*ticket{},
		grants:   map[Key]*grant{},
		teams:    map[uint32]*team{},
		targets:  map[uint32]*target{},
		prefix:   prefix,
		started:  now,
		expected: map[netip.AddrPort]bool{},
		share:    1,
		mean:     newEstimate(),
		pushed:   map[uint32]int{},
		pulled:   map[pullKey]int{},
	}
	for _, host := range expected {
		s.expected[host] = true
	}
	return s
}

// Incarnation returns the incarnation of the owner.
func (s *Shard) Incarnation() uint64 { return s.config.Incarnation }

// Configure takes a new configuration.
func (s *Shard) Configure(now time.Time, view *catalog.View) {
	s.view = view
	s.service = view.Services[s.config.Shard.Service]
	for number, row := range view.Targets {
		if row.Service == s.config.Shard.Service && row.Place == s.config.Shard.Place {
			s.putTarget(now, number, row)
		}
	}
	for number, t := range s.targets {
		if row := view.Targets[number]; row == nil || row.Place != s.config.Shard.Place {
			s.retire(t)
		}
	}
	for number, t := range s.teams {
		t.weight = s.weight(number)
	}
	s.slots = s.capacity()
}

func (s *Shard) weight(team uint32) float64 {
	if row := s.view.Teams[team]; row != nil {
		return float64(row.Weight)
	}
	return 1
}

// SetPeers sets the owners of the same service in other places, the nearest
// first, and the host that takes over when this one goes.
func (s *Shard) SetPeers(peers []Peer, standby netip.AddrPort) {
	s.peers = peers
	s.standby = standby
}

// SetShare sets the part of the slots that may be used.
func (s *Shard) SetShare(share float64) { s.share = share }

// Slots returns the slots in use and all slots of targets that take work.
func (s *Shard) Slots() (used, all int) { return s.used, s.slots }

// Waiting returns the number of waiting tickets.
func (s *Shard) Waiting() int { return len(s.tickets) }

// Drain returns the messages to send and forgets them.
func (s *Shard) Drain() []Out {
	out := s.out
	s.out = nil
	return out
}

func (s *Shard) send(to netip.AddrPort, m wire.Message) {
	s.out = append(s.out, Out{To: to, Message: m})
}

// Tick runs the systems in their order.
func (s *Shard) Tick(now time.Time) {
	s.settle(now)
	s.wake(now)
	s.slots = s.capacity()
	s.takeSurvey(now)
	s.lift(now)
	s.Pick(now)
	s.place(now)
	s.report(now)
}

// settle ends the recovery once all expected entries were heard of.
func (s *Shard) settle(now time.Time) {
	if !s.settled && (len(s.expected) == 0 || now.Sub(s.started) > s.config.Recover) {
		s.settled = true
	}
}

// Pick grants free slots until no ticket waits or no slot is free.
func (s *Shard) Pick(now time.Time) {
	if !s.settled || s.service == nil {
		return
	}
	for len(s.waiting) > 0 && (s.share >= 1 || s.used < s.allowed()) {
		head := s.first(now).queue[0]
		t := s.choose(head)
		if t == nil {
			break
		}
		s.grant(now, head, t)
	}
	s.preempt(now)
	s.notice()
}

// first returns the team to serve next. Levels grow with time, so the first few
// of the heap are brought up to date.
func (s *Shard) first(now time.Time) *team {
	for range maxRefreshes {
		next := s.waiting[0]
		s.refresh(now, next)
		if s.waiting[0] == next {
			return next
		}
	}
	return s.waiting[0]
}

// allowed returns the slots that this host may use.
func (s *Shard) allowed() int {
	return max(1, int(float64(s.slots)*s.share))
}

func (s *Shard) grant(now time.Time, tk *ticket, t *target) {
	row := tk.team
	s.book.Advance(uint64(max(0, s.received(now, row))))
	s.unqueue(now, tk)
	g := &grant{
		key: tk.key, team: row, target: t, class: tk.class, since: now, fixed: tk.fixed, suspect: tk.suspect,
	}
	s.hold(g)
	s.turn++
	row.turn = s.turn
	s.learnPrefix(tk.blocks, t)
	s.refresh(now, row)
	s.send(tk.key.Host, &wire.Grant{
		ID: tk.key.ID, Shard: s.config.Shard, Incarnation: s.config.Incarnation, Target: t.number,
	})
}

// hold enters a grant into the tables.
func (s *Shard) hold(g *grant) {
	s.grants[g.key] = g
	g.team.running++
	g.team.starts += g.since.Sub(s.started).Seconds()
	s.used++
	g.target.running++
	if g.suspect {
		g.target.suspects++
	}
	s.seat(g.target)
}

// drop removes a grant from the tables.
func (s *Shard) drop(g *grant) {
	delete(s.grants, g.key)
	g.team.running--
	g.team.starts -= g.since.Sub(s.started).Seconds()
	s.used--
	g.target.running--
	if g.suspect {
		g.target.suspects--
	}
	if g.preempted {
		s.preempts--
	}
	s.seat(g.target)
}
