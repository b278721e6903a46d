// Package dispatch holds the queue of one service in one place and decides
// which waiting request gets which slot.
//
// A Shard holds the waiting tickets, the grants, the teams and the targets. Each tick updates the
// levels of the teams, grants free slots, moves tickets between places and reports to other owners.
// It does no I/O, reads no clock and is used by one goroutine.
package dispatch

import (
	"net/netip"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/wire"
)

// Urgency classes of a request, the most urgent first. The numbers are sent between hosts.
const (
	ClassUrgent uint8 = 0
	ClassNormal uint8 = 1
	ClassBulk   uint8 = 2
)

// Reasons for which a request is denied. The numbers are sent between hosts.
const (
	ReasonTeamLimit  uint8 = 1 // the team has too many requests waiting
	ReasonQueueLimit uint8 = 2 // the shard has too many requests waiting
	ReasonNoTarget   uint8 = 3 // no target of the service exists here
	ReasonDeadline   uint8 = 4 // no slot came free before the deadline
	ReasonPoison     uint8 = 5 // the request crashed the targets that ran it
	ReasonLeaving    uint8 = 6 // the host is shutting down
)

// Limits of queueing, fairness and preemption.
const (
	normalPenalty           = 2 * time.Second        // lead of urgent over normal requests
	bulkPenalty             = 30 * time.Second       // lead of urgent over bulk requests
	maxHops                 = 8                      // moves of one ticket between places
	prefixCacheSize         = 1 << 16                // prompt blocks whose target is remembered
	retryDelay              = time.Second            // time after which a denied request may be submitted again
	maxRefreshes            = 8                      // teams whose level is recomputed before a grant
	grantDeliveryTime       = time.Second            // a ticket submitted again later than this after its grant has not received the grant
	maxPreemptions          = 8                      // preemptions under way per shard
	victimSearchPerRow      = 5 * time.Microsecond   // added to minVictimSearchInterval for each team and slot in use
	minVictimSearchInterval = 2 * time.Millisecond   // minimum time between two searches for a stream to preempt
	maxIdleCredit           = 1.0                    // service that an idle team may have in store, in requests of the highest cost seen
	maxBackloggedCredit     = 4.0                    // service that a backlogged team may be owed, in requests of the highest cost seen
	idleAfter               = 500 * time.Millisecond // a team without tickets for this long was idle
	maxLagAfterPartition    = 8                      // service that a team may lag behind others after a partition, in requests of the highest cost seen
	staleAfter              = 3 * time.Second        // reports of other places older than this are ignored
	healWindow              = time.Second            // how long lags are limited after a partition has healed
	fullReportEvery         = 40                     // one in so many reports covers all teams
)

// Key identifies a ticket: the host that holds the connection of the caller, and its number
// there.
type Key struct {
	Host netip.AddrPort
	ID   uint64
}

// Outgoing is a message to be sent to a host.
type Outgoing struct {
	To      netip.AddrPort
	Message wire.Message
}

// Peer is the owner of the same service's shard in another place.
type Peer struct {
	Place uint32
	Owner netip.AddrPort
}

// Config holds the parameters of a Shard.
type Config struct {
	Shard           wire.Shard    // service and place
	Incarnation     uint64        // increases each time the shard changes its owner
	Policy          Policy        // how service is charged and teams are ordered
	RecoveryTimeout time.Duration // longest wait for hosts to report their running requests
}

// Shard is the queue of one service in one place and the state of its slots.
type Shard struct {
	config  Config
	book    *ledger.Book // service of all shards of the service
	service *catalog.ServiceRow
	view    *catalog.View

	tickets       map[Key]*ticket
	grants        map[Key]*grant
	teams         map[uint32]*team
	targets       map[uint32]*target
	waiting       teamHeap                   // teams with tickets
	free          targetHeap                 // targets with a free slot
	prefixTargets *lru.Cache[uint32, uint32] // target that last received a prompt block

	started            time.Time
	recovered          bool                    // all hosts have reported their running requests, or Config.RecoveryTimeout has passed
	unsynced           map[netip.AddrPort]bool // hosts that have not yet reported their running requests
	usableShare        float64                 // part of the slots that may be used, 1 outside of partitions
	used               int                     // slots in use
	slots              int                     // slots of all targets that take work, as of the last tick
	meanEstimate       estimate                // over all teams
	maxCost            float64                 // cost of the costliest request seen, decaying
	pendingPreemptions int                     // grants that their hosts were told to cancel
	victimSearchedAt   time.Time               // when a stream to preempt was last searched for
	shareInputs        shareInputs
	maxMeanDuration    float64   // largest mean time in a slot among the teams with work, in seconds
	healedAt           time.Time // when a place was heard of again after a partition
	grantCount         uint64    // grants so far

	peers             []Peer
	standby           netip.AddrPort // host that takes over when this one goes
	sequence          uint64         // number of the last report
	reportedAt        time.Time      // when the last report was sent
	reportBytes       int            // size of the last report to all receivers
	reportDue         bool           // an early report is due
	earlyReportTokens float64        // early reports allowed at tokensUpdatedAt
	tokensUpdatedAt   time.Time
	reportedState     [2]bool           // value of Shard.reportState at the last report
	pushed            map[uint32]int    // tickets pushed to a place since its last report
	pulled            map[placeTeam]int // tickets pulled from a place since its last report, by team
	out               []Outgoing        // messages to be sent
}

// NewShard returns a Shard that starts from what the book knows of the former owner. No slot is
// granted until the expected hosts have reported their running requests, or Config.RecoveryTimeout has
// passed.
func NewShard(now time.Time, config Config, book *ledger.Book, expected []netip.AddrPort) *Shard {
	prefix, _ := lru.New[uint32, uint32](prefixCacheSize)
	s := &Shard{
		config:        config,
		book:          book,
		tickets:       map[Key]*ticket{},
		grants:        map[Key]*grant{},
		teams:         map[uint32]*team{},
		targets:       map[uint32]*target{},
		prefixTargets: prefix,
		started:       now,
		unsynced:      map[netip.AddrPort]bool{},
		usableShare:   1,
		meanEstimate:  newEstimate(),
		pushed:        map[uint32]int{},
		pulled:        map[placeTeam]int{},
	}
	for _, host := range expected {
		s.unsynced[host] = true
	}
	return s
}

// Incarnation returns the incarnation under which this host owns the shard.
func (s *Shard) Incarnation() uint64 { return s.config.Incarnation }

// Configure applies a new configuration to the targets and the weights of the teams.
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
		t.weight = s.teamWeight(number)
	}
	s.slots = s.capacity()
}

// teamWeight returns the configured weight of a team, or 1 for a team that is not configured.
func (s *Shard) teamWeight(team uint32) float64 {
	if row := s.view.Teams[team]; row != nil {
		return float64(row.Weight)
	}
	return 1
}

// SetPeers sets the owners of the same service in other places, the nearest first, and the host
// that takes over when this one goes.
func (s *Shard) SetPeers(peers []Peer, standby netip.AddrPort) {
	s.peers = peers
	s.standby = standby
}

// SetUsableShare sets the part of the slots that may be used. It is less than 1 while another owner may
// grant the same slots on the other side of a network partition.
func (s *Shard) SetUsableShare(share float64) { s.usableShare = share }

// Slots returns the slots in use and the slots of all targets that take work.
func (s *Shard) Slots() (used, all int) { return s.used, s.slots }

// Waiting returns the number of waiting tickets.
func (s *Shard) Waiting() int { return len(s.tickets) }

// Drain returns the messages to be sent and removes them from the shard.
func (s *Shard) Drain() []Outgoing {
	out := s.out
	s.out = nil
	return out
}

// send queues a message to a host.
func (s *Shard) send(to netip.AddrPort, m wire.Message) {
	s.out = append(s.out, Outgoing{To: to, Message: m})
}

// Tick does the periodic work of the shard.
func (s *Shard) Tick(now time.Time) {
	s.endRecovery(now)
	s.endEjections(now)
	s.slots = s.capacity()
	s.updateShareInputs(now)
	s.updateLevels(now)
	s.GrantFreeSlots(now)
	s.rebalance(now)
	s.report(now)
}

// endRecovery allows grants once all expected hosts have reported their running requests or
// Config.RecoveryTimeout has passed.
func (s *Shard) endRecovery(now time.Time) {
	if !s.recovered && (len(s.unsynced) == 0 || now.Sub(s.started) > s.config.RecoveryTimeout) {
		s.recovered = true
	}
}

// GrantFreeSlots grants free slots to the teams with the lowest level until no ticket waits or no slot is
// free, then preempts streams if that is needed.
func (s *Shard) GrantFreeSlots(now time.Time) {
	if !s.recovered || s.service == nil {
		return
	}
	for len(s.waiting) > 0 && (s.usableShare >= 1 || s.used < s.allowedSlots()) {
		head := s.nextTeam(now).queue[0]
		t := s.chooseTarget(head)
		if t == nil {
			break
		}
		s.grant(now, head, t)
	}
	s.preempt(now)
	s.markReportDue()
}

// nextTeam returns the team to serve next. Levels grow with time while those in the heap are old,
// so the first few are recomputed.
func (s *Shard) nextTeam(now time.Time) *team {
	for range maxRefreshes {
		next := s.waiting[0]
		s.updateLevel(now, next)
		if s.waiting[0] == next {
			return next
		}
	}
	return s.waiting[0]
}

// allowedSlots returns the number of slots that may be in use at usableShare.
func (s *Shard) allowedSlots() int {
	return max(1, int(float64(s.slots)*s.usableShare))
}

// grant gives a slot of a target to a waiting ticket and tells its host.
func (s *Shard) grant(now time.Time, tk *ticket, t *target) {
	tm := tk.team
	s.book.RaiseLevel(uint64(max(0, s.normalizedService(now, tm))))
	s.dequeue(now, tk)
	g := &grant{
		key: tk.key, team: tm, target: t, class: tk.class, grantedAt: now, nonPreemptible: tk.nonPreemptible, suspect: tk.suspect,
	}
	s.addGrant(g)
	s.grantCount++
	tm.lastGrant = s.grantCount
	s.recordPrefix(tk.prefixBlocks, t)
	s.updateLevel(now, tm)
	s.send(tk.key.Host, &wire.Grant{
		ID: tk.key.ID, Shard: s.config.Shard, Incarnation: s.config.Incarnation, Target: t.number,
	})
}

// addGrant enters a grant and counts it for its team and target.
func (s *Shard) addGrant(g *grant) {
	s.grants[g.key] = g
	g.team.running++
	g.team.startSum += g.grantedAt.Sub(s.started).Seconds()
	s.used++
	g.target.running++
	if g.suspect {
		g.target.suspects++
	}
	s.updateFreeHeap(g.target)
}

// removeGrant deletes a grant and frees its slot.
func (s *Shard) removeGrant(g *grant) {
	delete(s.grants, g.key)
	g.team.running--
	g.team.startSum -= g.grantedAt.Sub(s.started).Seconds()
	s.used--
	g.target.running--
	if g.suspect {
		g.target.suspects--
	}
	if g.preempting {
		s.pendingPreemptions--
	}
	s.updateFreeHeap(g.target)
}
