package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/rotation"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

// numberBits is the width of the part of a number that counts, after the start time of the
// process: other hosts may still hold requests of the one before.
const numberBits = 20

// poisonous is the number of crashes after which a request is refused.
const poisonous = 3

// core holds the decisions of the host behind one lock. Nothing is done under the
// lock but deciding.
type core struct {
	settings Settings
	view     atomic.Pointer[route.Table] // configuration in force, nil before the first
	asOf     atomic.Int64                // awake time at which the view was known to be the newest, in ns

	mu         sync.Mutex
	board      *placement.Board
	suspects   *retry.Suspects
	news       map[uint64]uint8 // crashes that the next news tell
	allowances map[string]*retry.Allowance
	exchanges  map[uint64]*exchange
	last       uint64 // number of the newest exchange
	lag        *placement.Lag
	rotation   *rotation.Host
	busy       *busy
	hosts      int // most hosts of the fleet that were heard of at once

	self     uint64 // number of this host
	post     func(to uint64, m wire.Message)
	outbox   []outgoing
	leases   map[uint64]*lease    // asked of or held at other hosts, by number
	guests   map[guestKey]*guest  // requests of other hosts
	tickets  map[uint64]guestKey  // guests that wait here, by their number in the queue
	mute     map[uint64]time.Time // hosts that are not asked until then
	silences map[uint64]int       // enquiries in a row that a host did not answer
	owners   []placement.Host     // other hosts that own engines
	resigned bool                 // this host is too late to own engines
	elected  time.Time            // when they were looked at last
}

func newCore(s Settings) *core {
	return &core{
		settings:   s,
		board:      placement.NewBoard(s.Place),
		suspects:   retry.NewSuspects(),
		news:       map[uint64]uint8{},
		allowances: map[string]*retry.Allowance{},
		exchanges:  map[uint64]*exchange{},
		lag:        placement.NewLag(s.Lag.Or(defaultLag)),
		rotation:   rotation.NewHost(s.Lag.Or(defaultLag)),
		busy:       &busy{},
		hosts:      1,
		post:       func(uint64, wire.Message) {},
		leases:     map[uint64]*lease{},
		guests:     map[guestKey]*guest{},
		tickets:    map[uint64]guestKey{},
		mute:       map[uint64]time.Time{},
		silences:   map[uint64]int{},
	}
}

// reload takes changed settings. Allowances of repeats start anew.
func (c *core) reload(s Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Ratio != c.settings.Ratio || s.Fixed != c.settings.Fixed || s.Window != c.settings.Window {
		c.allowances = map[string]*retry.Allowance{}
	}
	c.lag.SetLimit(s.Lag.Or(defaultLag))
	c.rotation.SetLimit(s.Lag.Or(defaultLag))
	c.settings = s
}

// age returns the time for which a change of the configuration may have gone
// unnoticed.
func (c *core) age() time.Duration { return awake() - time.Duration(c.asOf.Load()) }

// confirm takes a sign that the configuration in force was the newest at an awake
// time.
func (c *core) confirm(at time.Duration) {
	for {
		known := c.asOf.Load()
		if int64(at) <= known || c.asOf.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// allowance returns the allowance of repeats for a service. The caller holds the
// lock.
func (c *core) allowance(service string) *retry.Allowance {
	a := c.allowances[service]
	if a == nil {
		a = retry.NewAllowance(c.settings.Ratio.Or(defaultRatio), c.settings.Fixed.Or(defaultFixed),
			c.settings.Window.Or(defaultWindow))
		c.allowances[service] = a
	}
	return a
}

// register adds a new exchange.
func (c *core) register(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	x.id = c.last
	c.exchanges[x.id] = x
	c.board.Asked(x.arrived, &x.ask)
	c.allowance(x.service).Earn(x.arrived)
}

// leave removes an exchange.
func (c *core) leave(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.exchanges, x.id)
}

// withdraw ends the wait of an exchange. A grant that came meanwhile is given
// back.
func (c *core) withdraw(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.board.Withdraw(x.service, x.id) {
		return
	}
	select {
	case choice := <-x.grants:
		c.board.Ended(time.Now(), &x.ask, choice.Target, choice.Load, placement.Returned, 0)
	default:
	}
}

// spend returns whether a request may be sent once more.
func (c *core) spend(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allowance(service).Spend(time.Now(), c.hosts)
}

// maySpend returns whether a request of a service may be sent once more now.
func (c *core) maySpend(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allowance(service).Left(time.Now(), c.hosts) >= 1
}

// left returns the repeats that are allowed now, by service.
func (c *core) left() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := make(map[string]float64, len(c.allowances))
	for service, a := range c.allowances {
		left[service] = a.Left(time.Now(), c.hosts)
	}
	return left
}

// first takes the first event of a request.
func (c *core) first(x *exchange, choice placement.Choice, took time.Duration) placement.Load {
	c.mu.Lock()
	defer c.unlockAndSend()
	now := time.Now()
	if choice.Lease != 0 {
		return c.begun(now, x, choice, took)
	}
	left := c.board.First(now, &x.ask, choice, took)
	c.serve(now, x.service)
	return left
}

// gap takes the pause between two events of a stream.
func (c *core) gap(target string, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.Gap(time.Now(), target, pause)
}

// ended takes the end of a request at its target.
func (c *core) ended(x *exchange, choice placement.Choice, left placement.Load, o placement.Outcome, took time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	if choice.Lease != 0 {
		c.returned(now, x, choice, left, o, took)
		return
	}
	c.board.Ended(now, &x.ask, choice.Target, left, o, took)
	c.serve(now, x.service)
}

// serve hands targets to the exchanges that wait for a service. The caller holds
// the lock.
func (c *core) serve(now time.Time, service string) {
	defer c.busy.since(activityServe, time.Now())
	c.deliver(c.board.Serve(now, service))
}

func (c *core) deliver(grants []placement.Grant) {
	for _, g := range grants {
		if x := c.exchanges[g.ID]; x != nil {
			x.grants <- g.Choice
			continue
		}
		c.settle(g)
	}
}

// tick runs what depends on time alone, and again after a period. It returns whether
// the host became or ceased to be short of processor time, and the time by which hosts that
// are not silent were heard of.
func (c *core) tick(now time.Time, period time.Duration) (changed bool, heardBy time.Time) {
	c.mu.Lock()
	defer c.unlockAndSend()
	changed = c.lag.Tick(now)
	c.lag.Next(now, period)
	heardBy = c.silenceCheckTime(now)
	c.board.Tick(heardBy)
	c.expireGuests(now, heardBy)
	for _, service := range c.board.Services() {
		c.serve(now, service)
	}
	c.deliver(c.board.Expire(now))
	return changed, heardBy
}

// learn takes the news of another host. The next tick serves those who wait.
func (c *core) learn(now time.Time, from uint64, n placement.News) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.Learn(now, from, n)
	c.hosts = max(c.hosts, c.board.Peers()+1)
}

// blame counts a crash against a request.
func (c *core) blame(digest uint64) uint8 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.suspects.Count(now, digest) + 1
	c.suspects.Raise(now, digest, count)
	c.news[digest] = count
	return count
}

// suspect takes what another host counted against a request.
func (c *core) suspect(digest uint64, count uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Raise(time.Now(), digest, count)
}

// crashes returns what counts against a request.
func (c *core) crashes(digest uint64) uint8 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Count(time.Now(), digest)
}

// clear forgets what counted against a request that ran to its end.
func (c *core) clear(digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspects.Clear(digest) {
		delete(c.news, digest)
	}
}

// active returns the exchanges that are not over.
func (c *core) active() []*exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*exchange, 0, len(c.exchanges))
	for _, x := range c.exchanges {
		list = append(list, x)
	}
	return list
}
