// Package host composes all decisions of one entry host: which hosts are live
// and own what, which request gets which slot, what every team has received,
// which configuration is in force, and which orders and requests may run.
//
// A Host does no I/O, starts no goroutine and reads no clock. An adapter feeds
// it events with the time and carries out the commands that Drain returns.
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
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/roster"
	"github.com/cassiachute/cassiachute/wire"
)

// Seed is a peer that the settings or the platform's list name.
type Seed struct {
	Address netip.AddrPort
	Place   string
	Leaving bool
}

// Config configures a Host.
type Config struct {
	Self    netip.AddrPort // address for peers
	Boot    uint64         // start time of the process in Unix milliseconds
	Place   string         // name of the place
	Seeds   []Seed         // peers to try before the platform's list is known
	Policy  dispatch.Policy
	Alone   bool          // own every shard for this host's requests only: a baseline
	Beat    time.Duration // time between heartbeats
	Dead    time.Duration // silence after which a host is not live
	Doubt   time.Duration // time after which a silent host is taken for dead
	Recover time.Duration // longest wait of a new owner for what entries have running
	Poll    time.Duration // time between polls of the platform for the configuration
}

// NewConfig returns a Config with the defaults.
func NewConfig(self netip.AddrPort, boot uint64, place string) Config {
	return Config{
		Self:    self,
		Boot:    boot,
		Place:   place,
		Policy:  dispatch.FairPolicy(),
		Beat:    500 * time.Millisecond,
		Dead:    1500 * time.Millisecond,
		Doubt:   1500 * time.Millisecond,
		Recover: 300 * time.Millisecond,
		Poll:    time.Second,
	}
}

// Send is the command to send a message to a peer.
type Send struct {
	To      netip.AddrPort
	Message wire.Message
}

// Commands are what an adapter has to carry out.
type Commands struct {
	Sends    []Send
	Connect  []netip.AddrPort // peers to open sessions with
	Forget   []netip.AddrPort // peers to close sessions with
	Starts   []intake.StartCommand
	Refusals []intake.Refusal
	Cancels  []intake.CancelCommand
	Commits  []order.Commit
	Reads    []order.Read
	Verdicts []order.Answer
	Ready    bool             // this host can take callers
	Poll     bool             // ask the platform for a newer configuration
	View     *catalog.View    // configuration that came into force, or nil
	Taken    []wire.Shard     // shards that this host owns from now on
	Given    []wire.Shard     // shards that it owns no more
	Live     []netip.AddrPort // live hosts of this place, if they changed
}

// Host is the decisions of one entry host.
type Host struct {
	config    Config
	view      *catalog.View
	steps     []catalog.Step // recent changes of the configuration, oldest first
	roster    *roster.Table
	books     map[uint32]*ledger.Book
	shards    map[wire.Shard]*dispatch.Shard
	owners    map[wire.Shard]netip.AddrPort
	intake    *intake.Table
	suspect   *retry.Suspects
	orders    *order.Table
	placeHash uint32 // of the name of this host's place
	links     map[netip.AddrPort]*link
	budgets   map[uint32]*retry.Budget
	seeds     []Seed
	local     []wire.Message // messages to this host itself
	out       Commands

	began  time.Time // first event
	beaten time.Time
	forgot time.Time
	told   time.Time
	polled time.Time
	asked  time.Time
	clock  time.Time                  // time of the event that is being handled
	live   []netip.AddrPort           // live hosts of this place that were told last
	served map[uint32]map[uint32]bool // places that have targets, by service
}

// New returns a Host that knows no configuration yet.
func New(config Config) *Host {
	h := &Host{
		config:    config,
		view:      catalog.NewView(catalog.NewSet()),
		books:     map[uint32]*ledger.Book{},
		shards:    map[wire.Shard]*dispatch.Shard{},
		owners:    map[wire.Shard]netip.AddrPort{},
		links:     map[netip.AddrPort]*link{},
		budgets:   map[uint32]*retry.Budget{},
		suspect:   retry.NewSuspects(),
		seeds:     config.Seeds,
		placeHash: uint32(xxhash.Sum64String(config.Place)),
	}
	h.roster = roster.NewTable(roster.Config{
		Self: config.Self, Boot: config.Boot, Dead: config.Dead, Doubt: config.Doubt,
	})
	h.orders = order.NewTable(h.orderPeers)
	h.intake = intake.NewTable(intake.Dependencies{Owner: h.ownerOf, Home: h.home, Send: h.send}, 0)
	return h
}

// View returns the configuration in force.
func (h *Host) View() *catalog.View { return h.view }

// Drain returns the commands since the last call.
func (h *Host) Drain() Commands {
	h.drainOrders()
	h.settle()
	h.out.Starts, h.out.Refusals, h.out.Cancels = h.intake.TakeCommands()
	h.out.Ready = h.Ready(h.clock)
	out := h.out
	h.out = Commands{}
	return out
}

// send queues a message for a host, or for this one.
func (h *Host) send(to netip.AddrPort, m wire.Message) {
	if to == h.config.Self {
		h.local = append(h.local, m)
		return
	}
	h.link(to).sent = h.clock
	h.out.Sends = append(h.out.Sends, Send{To: to, Message: m})
}

// settle hands over the messages of the shards and those to this host itself.
func (h *Host) settle() {
	for {
		for _, shard := range h.ownShards() {
			for _, o := range h.shards[shard].Drain() {
				h.send(o.To, o.Message)
			}
		}
		if len(h.local) == 0 {
			return
		}
		messages := h.local
		h.local = nil
		for _, m := range messages {
			h.receive(h.now(), h.config.Self, m)
		}
	}
}

// Submit enters a caller's request and returns its number.
func (h *Host) Submit(now time.Time, request intake.Request) uint64 {
	h.tickAt(now)
	h.budget(request.Service).Earn()
	id := h.intake.Submit(now, request)
	h.settle()
	h.pick(now)
	return id
}

// Begin is called right before the first byte of a request goes to its target.
// It returns false if the grant is no longer good; the request waits again.
func (h *Host) Begin(now time.Time, id, grant uint64) bool {
	h.tickAt(now)
	return h.intake.Begin(now, id, grant)
}

// Retry ends a request's use of its slot and queues it again.
func (h *Host) Retry(now time.Time, id uint64, end wire.End) {
	h.tickAt(now)
	h.intake.Requeue(now, id, end)
	h.settle()
	h.pick(now)
}

// Finish ends a request, whether it waited or ran.
func (h *Host) Finish(now time.Time, id uint64, end wire.End) {
	h.tickAt(now)
	h.intake.Finish(id, end)
	h.settle()
	h.pick(now)
}

// pick grants free slots of the shards that have waiting tickets.
func (h *Host) pick(now time.Time) {
	for _, shard := range h.ownShards() {
		s := h.shards[shard]
		if s.Waiting() > 0 {
			s.Pick(now)
		}
		s.Hurry(now)
	}
	h.settle()
}

// Waiting returns the number of waiting requests and of all requests of this
// host's callers.
func (h *Host) Waiting() (waiting, all int) { return h.intake.Count() }

// hashBits returns a few bits that tell hosts apart.
func hashBits(address netip.AddrPort) uint64 {
	f := fnv.New32a()
	f.Write([]byte(address.String()))
	return uint64(f.Sum32() & (1<<incarnationHashBits - 1))
}
