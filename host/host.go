// Package host combines all decisions of one entry host: which hosts are live
// and which shards each owns, which request gets which slot, how much service
// every team has received, which configuration is in force, and which orders
// and requests may run. A shard is the queue of one service in one place.
package host

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/intake"
	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/order"
	"github.com/cassiachute/cassiachute/quarantine"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/roster"
	"github.com/cassiachute/cassiachute/wire"
)

// Seed is a peer that is known from the settings or from the platform's list of
// hosts.
type Seed struct {
	Address netip.AddrPort // address for peers
	Place   string         // name of the place
	Leaving bool           // the host is shutting down
}

// Config configures a Host.
type Config struct {
	Self              netip.AddrPort  // address at which peers reach this host
	Boot              uint64          // start time of the process in Unix milliseconds
	Place             string          // name of this host's place
	Seeds             []Seed          // peers to contact before the platform's list is known
	Policy            dispatch.Policy // order in which tickets get slots
	Standalone        bool            // own every shard, for the requests of this host only; a baseline for comparisons
	HeartbeatInterval time.Duration   // interval between heartbeats
	LivenessTimeout   time.Duration   // silence after which a host no longer counts as live
	PresumeDeadAfter  time.Duration   // time after which a silent host is presumed dead
	RecoveryTimeout   time.Duration   // longest time that a new owner waits for hosts to report their running requests
	PollInterval      time.Duration   // interval between polls of the platform for the configuration
}

// NewConfig returns a Config with the default policy and times.
func NewConfig(self netip.AddrPort, boot uint64, place string) Config {
	return Config{
		Self:              self,
		Boot:              boot,
		Place:             place,
		Policy:            dispatch.FairPolicy(),
		HeartbeatInterval: 500 * time.Millisecond,
		LivenessTimeout:   1500 * time.Millisecond,
		PresumeDeadAfter:  1500 * time.Millisecond,
		RecoveryTimeout:   300 * time.Millisecond,
		PollInterval:      time.Second,
	}
}

// Send is a command to send a message to a peer.
type Send struct {
	To      netip.AddrPort
	Message wire.Message
}

// Commands are the actions that the adapter has to carry out for a Host.
type Commands struct {
	Sends         []Send                 // messages to send
	Connect       []netip.AddrPort       // peers to open sessions with
	Disconnect    []netip.AddrPort       // peers to close sessions with
	Starts        []intake.StartCommand  // requests to send to their targets
	Refusals      []intake.Refusal       // requests to refuse
	Cancels       []intake.CancelCommand // running streams to cancel
	OrderCommits  []order.Commit         // conditional writes of order records
	OrderReads    []order.Read           // reads of order records
	OrderVerdicts []order.Answer         // results of this host's own order operations
	Ready         bool                   // this host can accept callers
	Poll          bool                   // ask the platform for a newer configuration
	View          *catalog.View          // configuration that has come into force, or nil
	Acquired      []wire.Shard           // shards that this host has begun to own
	Released      []wire.Shard           // shards that this host has ceased to own
	Live          []netip.AddrPort       // live hosts of this place if they changed, or else nil
	Traits        []quarantine.Change    // traits that are held from now on or no more
}

// Host is the state of one entry host and makes all its decisions. It is not
// safe for concurrent use.
type Host struct {
	config        Config
	view          *catalog.View
	recentSteps   []catalog.Step // latest configuration changes, oldest first, at most maxSteps
	roster        *roster.Table
	ledgers       map[uint32]*ledger.Book        // by service
	shards        map[wire.Shard]*dispatch.Shard // shards owned here
	owners        map[wire.Shard]netip.AddrPort  // last known owner of each shard
	intake        *intake.Table
	quarantine    *quarantine.Table // what makes targets crash
	orders        *order.Table
	placeHash     uint32                   // hash of the name of this host's place
	links         map[netip.AddrPort]*link // by peer
	retryBudgets  map[uint32]*retry.Budget // by service
	seeds         []Seed                   // peers of the settings and of the platform's list
	localMessages []wire.Message           // messages of this host to itself
	commands      Commands                 // commands since the last Drain

	firstEventAt      time.Time                  // time of the first event
	heartbeatsAt      time.Time                  // when heartbeats were last due
	prunedAt          time.Time                  // when links were last pruned
	rosterSentAt      time.Time                  // when the roster was last sent to other places at its interval
	polledAt          time.Time                  // when a poll of the platform was last requested
	configRequestedAt time.Time                  // when a peer was last asked for its configuration
	eventTime         time.Time                  // time of the event that is being handled
	reportedLive      []netip.AddrPort           // live hosts of this place as last reported in Commands
	servingPlaces     map[uint32]map[uint32]bool // places that have targets, by service
}

// New returns a Host that has no configuration yet.
func New(config Config) *Host {
	h := &Host{
		config:       config,
		view:         catalog.NewView(catalog.NewSet()),
		ledgers:      map[uint32]*ledger.Book{},
		shards:       map[wire.Shard]*dispatch.Shard{},
		owners:       map[wire.Shard]netip.AddrPort{},
		links:        map[netip.AddrPort]*link{},
		retryBudgets: map[uint32]*retry.Budget{},
		quarantine:   quarantine.NewTable(xxhash.Sum64String(config.Self.String())),
		seeds:        config.Seeds,
		placeHash:    uint32(xxhash.Sum64String(config.Place)),
	}
	h.roster = roster.NewTable(roster.Config{
		Self: config.Self, Boot: config.Boot, SilenceLimit: config.LivenessTimeout, DeathTimeout: config.PresumeDeadAfter,
	})
	h.orders = order.NewTable(h.orderPeers)
	h.intake = intake.NewTable(intake.Dependencies{Owner: h.ownerOf, Home: h.homePlace, Send: h.send}, 0)
	return h
}

// View returns the configuration in force.
func (h *Host) View() *catalog.View { return h.view }

// Drain returns the commands that have accumulated since the last call.
func (h *Host) Drain() Commands {
	h.queueOrderCommands()
	h.deliverPending()
	h.commands.Starts, h.commands.Refusals, h.commands.Cancels = h.intake.TakeCommands()
	h.commands.Ready = h.Ready(h.eventTime)
	commands := h.commands
	h.commands = Commands{}
	return commands
}

// send queues a message for a peer, or for local delivery if it is addressed to
// this host.
func (h *Host) send(to netip.AddrPort, m wire.Message) {
	if to == h.config.Self {
		h.localMessages = append(h.localMessages, m)
		return
	}
	h.linkTo(to).sentAt = h.eventTime
	h.commands.Sends = append(h.commands.Sends, Send{To: to, Message: m})
}

// deliverPending queues the messages that the owned shards have produced and
// handles those addressed to this host itself, until none are left.
func (h *Host) deliverPending() {
	for {
		for _, shard := range h.ownedShards() {
			for _, o := range h.shards[shard].Drain() {
				h.send(o.To, o.Message)
			}
		}
		if len(h.localMessages) == 0 {
			return
		}
		messages := h.localMessages
		h.localMessages = nil
		for _, m := range messages {
			h.handleMessage(h.now(), h.config.Self, m)
		}
	}
}

// Submit queues a caller's request for a slot and returns the number of the
// request.
func (h *Host) Submit(now time.Time, request intake.Request) uint64 {
	h.setTime(now)
	h.retryBudget(request.Service).Earn()
	id := h.intake.Submit(now, request)
	h.deliverPending()
	h.grantSlots(now)
	return id
}

// Begin must be called right before the first byte of a request is sent to its
// target. It returns false if the grant is no longer valid; the request then
// waits for another one.
func (h *Host) Begin(now time.Time, id, grant uint64) bool {
	h.setTime(now)
	return h.intake.Begin(now, id, grant)
}

// Retry releases the slot of a request and queues the request again.
func (h *Host) Retry(now time.Time, id uint64, end wire.RequestEnd) {
	h.setTime(now)
	h.intake.Requeue(now, id, end)
	h.deliverPending()
	h.grantSlots(now)
}

// Finish removes a request, whether it was waiting or running, and releases its
// slot.
func (h *Host) Finish(now time.Time, id uint64, end wire.RequestEnd) {
	h.setTime(now)
	h.intake.Finish(id, end)
	h.deliverPending()
	h.grantSlots(now)
}

// grantSlots grants free slots of the owned shards to their waiting tickets and
// sends the reports that other places need at once.
func (h *Host) grantSlots(now time.Time) {
	for _, shard := range h.ownedShards() {
		s := h.shards[shard]
		if s.Waiting() > 0 {
			s.GrantFreeSlots(now)
		}
		s.ReportEarly(now)
	}
	h.deliverPending()
}

// RequestCounts returns the number of waiting requests and of all requests of this
// host's callers.
func (h *Host) RequestCounts() (waiting, all int) { return h.intake.Count() }

// addressHashBits returns the lowest incarnationHashBits bits of a hash of an
// address. They make it unlikely that two hosts choose the same incarnation.
func addressHashBits(address netip.AddrPort) uint64 {
	f := fnv.New32a()
	f.Write([]byte(address.String()))
	return uint64(f.Sum32() & (1<<incarnationHashBits - 1))
}
