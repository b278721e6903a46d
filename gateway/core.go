package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/quarantine"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/rotation"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

// sequenceBits is the width of the sequence number in the low bits of a request number. The
// bits above it hold the start time of the process, so that numbers differ from those of an
// earlier process of this host, whose requests other hosts may still hold.
const sequenceBits = 20

// core holds the routing state of the host and makes all decisions under one lock. No I/O
// happens under the lock: messages to other hosts are queued and sent after it is released.
type core struct {
	settings   Settings
	table      atomic.Pointer[route.Table] // configuration in force, nil before the first
	configAsOf atomic.Int64                // time since boot, in ns, at which the table was last known to be current
	copyUntil  atomic.Int64                // time since boot, in ns, until which the store may lack the newest configuration

	heldTraits atomic.Int64 // traits that are held in quarantine

	mu         sync.Mutex
	board      *placement.Board
	quarantine *quarantine.Table
	answered   []uint64                       // suspected traits that requests of this host were answered with, to be told to the other hosts
	released   []quarantine.Change            // what changed by these answers, to be logged
	toSave     map[quarantine.Trait]time.Time // traits that are held since a time and that the store is to be told of
	toRemove   map[quarantine.Trait]bool      // traits that were saved and are not held any more
	allowances map[string]*retry.Allowance    // retry allowances by service
	exchanges  map[uint64]*exchange           // requests in progress, by number
	lastNumber uint64                         // number given out last, to an exchange, a lease or a queued remote request
	lag        *placement.LagDetector
	rotation   *rotation.Host
	times      *activityTimes
	peakHosts  int // most hosts of the fleet that were alive at once

	self            uint64                          // number of this host
	post            func(to uint64, m wire.Message) // sends a message to another host
	outbox          []outgoing                      // messages to send when the lock is released
	leases          map[uint64]*lease               // slots requested from or held at other hosts, by number
	remoteRequests  map[remoteKey]*remoteRequest    // requests of other hosts that wait for or hold a slot here
	remoteByQueueID map[uint64]remoteKey            // remote requests that wait here, by number in the queue
	backoffUntil    map[uint64]time.Time            // owners that are not asked until a time, by host
	missedReplies   map[uint64]int                  // consecutive slot requests that a host did not answer
	owners          []placement.Host                // other hosts that own engines, that is, assign their slots; as of lastElection
	ownsNone        bool                            // this host owns no engines because it is overloaded
	lastElection    time.Time                       // when the owners were last updated
}

// newCore returns a core without a configuration, targets or other hosts.
func newCore(s Settings) *core {
	return &core{
		settings:        s,
		board:           placement.NewBoard(s.Place),
		quarantine:      quarantine.NewTable(xxhash.Sum64String(s.Peer.String())),
		toSave:          map[quarantine.Trait]time.Time{},
		toRemove:        map[quarantine.Trait]bool{},
		allowances:      map[string]*retry.Allowance{},
		exchanges:       map[uint64]*exchange{},
		lag:             placement.NewLagDetector(s.MaxLag.Or(defaultLag)),
		rotation:        rotation.NewHost(s.MaxLag.Or(defaultLag)),
		times:           &activityTimes{},
		peakHosts:       1,
		post:            func(uint64, wire.Message) {},
		leases:          map[uint64]*lease{},
		remoteRequests:  map[remoteKey]*remoteRequest{},
		remoteByQueueID: map[uint64]remoteKey{},
		backoffUntil:    map[uint64]time.Time{},
		missedReplies:   map[uint64]int{},
	}
}

// reload applies changed settings. If the retry settings changed, all retry allowances start
// from scratch.
func (c *core) reload(s Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.RetryRatio != c.settings.RetryRatio || s.FixedRetries != c.settings.FixedRetries || s.RetryWindow != c.settings.RetryWindow {
		c.allowances = map[string]*retry.Allowance{}
	}
	c.lag.SetLimit(s.MaxLag.Or(defaultLag))
	c.rotation.SetLimit(s.MaxLag.Or(defaultLag))
	c.settings = s
}

// configAge returns the time since the configuration was last known to be current.
func (c *core) configAge() time.Duration { return sinceBoot() - time.Duration(c.configAsOf.Load()) }

// confirmConfig records that the configuration in force was current at a time since boot.
func (c *core) confirmConfig(at time.Duration) {
	for {
		known := c.configAsOf.Load()
		if int64(at) <= known || c.configAsOf.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// allowance returns the retry allowance of a service and creates it if needed. The caller
// holds the lock.
func (c *core) allowance(service string) *retry.Allowance {
	a := c.allowances[service]
	if a == nil {
		a = retry.NewAllowance(c.settings.RetryRatio.Or(defaultRatio), c.settings.FixedRetries.Or(defaultFixed),
			c.settings.RetryWindow.Or(defaultWindow))
		c.allowances[service] = a
	}
	return a
}

// register adds a new exchange and gives it a number. It counts toward the demand of its team
// and earns its service a part of a retry.
func (c *core) register(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	x.id = c.lastNumber
	c.exchanges[x.id] = x
	c.board.RecordAdmitted(x.arrived, &x.ask)
	c.allowance(x.service).Earn(x.arrived)
}

// unregister removes an exchange that is over.
func (c *core) unregister(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.exchanges, x.id)
}

// cancelWait removes an exchange from the queue of its service. If it was granted a slot in
// the meantime, the slot is returned.
func (c *core) cancelWait(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.board.Withdraw(x.service, x.id) {
		return
	}
	select {
	case choice := <-x.grants:
		c.board.RecordEnd(time.Now(), &x.ask, choice.Target, choice.Load, placement.NotSent, 0)
	default:
	}
}

// spendRetry takes one retry from the allowance of a service. It returns false if none is
// left.
func (c *core) spendRetry(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allowance(service).Spend(time.Now(), c.peakHosts)
}

// canRetry returns whether the allowance of a service has a retry left.
func (c *core) canRetry(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allowance(service).Remaining(time.Now(), c.peakHosts) >= 1
}

// retriesLeft returns the retries that are allowed now, by service.
func (c *core) retriesLeft() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := make(map[string]float64, len(c.allowances))
	for service, a := range c.allowances {
		left[service] = a.Remaining(time.Now(), c.peakHosts)
	}
	return left
}

// onFirstEvent records that the first event of a request came after some time and gives the
// capacity that this frees to waiting requests. It returns the load that remains at the
// target.
func (c *core) onFirstEvent(x *exchange, choice placement.Choice, took time.Duration) placement.Load {
	c.mu.Lock()
	defer c.unlockAndSend()
	now := time.Now()
	c.recordAnswer(now, x)
	if choice.SlotID != 0 {
		return c.onLeaseFirstEvent(now, x, choice, took)
	}
	left := c.board.RecordFirstEvent(now, &x.ask, choice, took)
	c.serveWaiting(now, x.service)
	return left
}

// onEventGap records the pause between two events of a stream.
func (c *core) onEventGap(target string, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.RecordEventGap(time.Now(), target, pause)
}

// onEnd records how a request ended at its target. The load that it still held there, left, is
// free again and goes to waiting requests.
func (c *core) onEnd(x *exchange, choice placement.Choice, left placement.Load, o placement.Outcome, took time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.unlockAndSend()
	if choice.SlotID != 0 {
		c.onLeaseEnd(now, x, choice, left, o, took)
		return
	}
	c.board.RecordEnd(now, &x.ask, choice.Target, left, o, took)
	c.serveWaiting(now, x.service)
}

// serveWaiting assigns targets to the requests that wait for a service. The caller holds the
// lock.
func (c *core) serveWaiting(now time.Time, service string) {
	defer c.times.addSince(activityServe, time.Now())
	c.deliverGrants(c.board.ServeQueue(now, service))
}

// deliverGrants passes decisions on to the requests that waited for them, whether they belong
// to callers of this host or of another one. The caller holds the lock.
func (c *core) deliverGrants(grants []placement.Grant) {
	for _, g := range grants {
		if x := c.exchanges[g.ID]; x != nil {
			x.chosenAt = sinceBoot()
			x.grants <- g.Choice
			continue
		}
		c.answerRemote(g)
	}
}

// tick updates everything that depends on time alone; period is the time until the next tick.
// It returns whether the host became or ceased to be overloaded, and the time up to which the
// silence of other hosts is measured: what they sent after it may still wait to be read here.
func (c *core) tick(now time.Time, period time.Duration) (changed bool, receivedUntil time.Time) {
	c.mu.Lock()
	defer c.unlockAndSend()
	changed = c.lag.Tick(now)
	c.lag.ExpectTick(now, period)
	receivedUntil = c.silenceCheckTime(now)
	c.board.RecordRunning(now)
	c.board.SetLateness(c.waitLag())
	c.board.Tick(receivedUntil)
	c.expireRemoteRequests(now, receivedUntil)
	for _, service := range c.board.QueuedServices() {
		c.serveWaiting(now, service)
	}
	c.deliverGrants(c.board.ExpireQueued(now))
	return changed, receivedUntil
}

// applyPeerState applies the load and demand that another host reported. Waiting requests benefit
// from it at the next tick.
func (c *core) applyPeerState(now time.Time, from uint64, n placement.PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.ApplyPeerState(now, from, n)
	c.peakHosts = max(c.peakHosts, c.board.Peers()+1)
}

// activeExchanges returns the exchanges that are not over.
func (c *core) activeExchanges() []*exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*exchange, 0, len(c.exchanges))
	for _, x := range c.exchanges {
		list = append(list, x)
	}
	return list
}
