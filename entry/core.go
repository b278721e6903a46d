package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/intake"
	"github.com/cassiachute/cassiachute/order"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	tickPeriod    = 50 * time.Millisecond // between timer ticks of the host
	loopQueueSize = 4096                  // capacity of the queue of the event loop
)

// hostFunc is a function that the event loop runs with exclusive access to the host state.
type hostFunc func(now time.Time, h *host.Host)

// slotResult tells a waiting exchange that it got a slot or was refused.
type slotResult struct {
	target *catalog.TargetRow // target of the slot, nil if refused
	reason uint8
	retry  time.Duration
	grant  uint64
}

// eventLoop serialises all access to the host state on one goroutine.
type eventLoop struct {
	host         *host.Host
	queue        chan hostFunc
	exchanges    map[uint64]*exchange
	orderWaiters map[uint64]chan<- order.Verdict // receivers of the results of writes to order records, by write ID
	lastWriteID  uint64
	now          func() time.Time
	execute      func(c host.Commands) // carries out commands that do not concern exchanges
	ctx          context.Context
}

// newEventLoop returns an eventLoop for a host. Commands that do not concern exchanges or records
// of orders are passed to execute.
func newEventLoop(h *host.Host, now func() time.Time, execute func(c host.Commands)) *eventLoop {
	return &eventLoop{
		host: h, queue: make(chan hostFunc, loopQueueSize), exchanges: map[uint64]*exchange{},
		orderWaiters: map[uint64]chan<- order.Verdict{}, now: now, execute: execute,
	}
}

// run handles queued functions and ticks until the context ends. The returned channel is closed
// when it has stopped.
func (c *eventLoop) run(ctx context.Context) <-chan struct{} {
	c.ctx = ctx
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(tickPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-c.queue:
				f(c.now(), c.host)
			case <-ticker.C:
				c.host.Tick(c.now())
			}
			c.handleCommands(c.host.Drain())
		}
	}()
	return done
}

// post queues a function without waiting for it. The function is dropped if the loop has stopped.
func (c *eventLoop) post(f hostFunc) {
	select {
	case c.queue <- f:
	case <-c.ctx.Done():
	}
}

// postAndWait queues a function and waits until it has run. It returns false if the loop stops
// before.
func (c *eventLoop) postAndWait(f hostFunc) bool {
	done := make(chan struct{})
	c.post(func(now time.Time, h *host.Host) {
		f(now, h)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// handleCommands passes slots, refusals and preemptions to the exchanges concerned and results of
// order writes to their receivers. It then passes all commands to execute.
func (c *eventLoop) handleCommands(commands host.Commands) {
	for _, s := range commands.Starts {
		c.deliverGrant(s)
	}
	for _, r := range commands.Refusals {
		if x := c.exchanges[r.ID]; x != nil {
			delete(c.exchanges, r.ID)
			x.slotResults <- slotResult{reason: r.Reason, retry: r.Retry}
		}
	}
	for _, a := range commands.OrderVerdicts {
		if waiter := c.orderWaiters[a.Ref.ID]; waiter != nil {
			delete(c.orderWaiters, a.Ref.ID)
			waiter <- a.Verdict
		}
	}
	for _, k := range commands.Cancels {
		if x := c.exchanges[k.ID]; x != nil {
			x.preempt()
		}
	}
	c.execute(commands)
}

// deliverGrant tells an exchange about its slot. If the exchange has ended or the target is no
// longer configured, the slot is returned as stale.
func (c *eventLoop) deliverGrant(s intake.StartCommand) {
	x := c.exchanges[s.ID]
	row := c.host.View().Targets[s.Target]
	if x == nil || row == nil {
		c.queue <- func(now time.Time, h *host.Host) {
			h.Retry(now, s.ID, wire.RequestEnd{Outcome: wire.OutcomeStaleGrant})
		}
		return
	}
	x.slotResults <- slotResult{target: row, grant: s.Grant}
}

// submit queues a request for a slot. It returns how long the request is to be kept from targets because it
// may crash them, 0 if it is queued.
func (c *eventLoop) submit(x *exchange, request intake.Request) time.Duration {
	retry := time.Duration(0)
	c.postAndWait(func(now time.Time, h *host.Host) {
		if retry = h.RetryAfterCrash(now, x.info.traits); retry > 0 {
			return
		}
		request.RanOnCrashedTarget = h.IsSuspected(x.info.traits)
		x.id = h.Submit(now, request)
		c.exchanges[x.id] = x
	})
	return retry
}

// confirmGrant marks the attempt of an exchange as begun and returns whether its grant was still
// valid. retry is positive if the request is to be kept from targets because it may crash them.
func (c *eventLoop) confirmGrant(x *exchange, grant uint64) (valid bool, retry time.Duration) {
	c.postAndWait(func(now time.Time, h *host.Host) {
		valid = h.Begin(now, x.id, grant)
		if valid && !h.BeginAttempt(now, x.info.traits) {
			retry = h.RetryAfterCrash(now, x.info.traits)
		}
	})
	return valid, retry
}

// requeue reports the end of an attempt and queues the exchange for another slot.
func (c *eventLoop) requeue(x *exchange, end wire.RequestEnd) {
	c.post(func(now time.Time, h *host.Host) { h.Retry(now, x.id, end) })
}

// finish reports the end of the last attempt and forgets the exchange.
func (c *eventLoop) finish(x *exchange, end wire.RequestEnd) {
	c.post(func(now time.Time, h *host.Host) {
		delete(c.exchanges, x.id)
		h.Finish(now, x.id, end)
	})
}

// mayRetry returns whether the retry budget of a service allows another attempt.
func (c *eventLoop) mayRetry(service uint32) bool {
	allowed := false
	c.postAndWait(func(now time.Time, h *host.Host) { allowed = h.MayRetry(now, service) })
	return allowed
}

// receiveMessages passes messages of a peer to the host.
func (c *eventLoop) receiveMessages(peer netip.AddrPort, boot uint64, messages []wire.Message) {
	c.post(func(now time.Time, h *host.Host) { h.Receive(now, peer, boot, messages) })
}

// writeOrder queues a write of an order's record. Its result is sent on the returned channel.
func (c *eventLoop) writeOrder(op order.Op, limit time.Duration) <-chan order.Verdict {
	verdict := make(chan order.Verdict, 1)
	c.post(func(now time.Time, h *host.Host) {
		c.lastWriteID++
		c.orderWaiters[c.lastWriteID] = verdict
		h.WriteOrder(now, c.lastWriteID, op, now.Add(limit))
	})
	return verdict
}
