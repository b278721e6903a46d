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
	tickPeriod = 50 * time.Millisecond
	eventQueue = 4096
)

// event is one call of the decisions.
type event func(now time.Time, h *host.Host)

// outcome is what the decisions tell a waiting exchange.
type outcome struct {
	target *catalog.TargetRow // slot on this target, or nil if refused
	reason uint8
	retry  time.Duration
	grant  uint64
}

// core runs the decisions on one goroutine.
type core struct {
	host      *host.Host
	events    chan event
	exchanges map[uint64]*exchange
	verdicts  map[uint64]chan<- order.Verdict // who waits for the write of an order's record
	writes    uint64
	now       func() time.Time
	carry     func(c host.Commands) // carries out what does not concern exchanges
	ctx       context.Context
}

func newCore(h *host.Host, now func() time.Time, carry func(c host.Commands)) *core {
	return &core{
		host: h, events: make(chan event, eventQueue), exchanges: map[uint64]*exchange{},
		verdicts: map[uint64]chan<- order.Verdict{}, now: now, carry: carry,
	}
}

// run handles events until the context ends and reports its end on the channel.
func (c *core) run(ctx context.Context) <-chan struct{} {
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
			case e := <-c.events:
				e(c.now(), c.host)
			case <-ticker.C:
				c.host.Tick(c.now())
			}
			c.deliver(c.host.Drain())
		}
	}()
	return done
}

// post queues an event.
func (c *core) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

// ask queues an event and waits until it is handled. It returns false if the
// process is ending.
func (c *core) ask(e event) bool {
	done := make(chan struct{})
	c.post(func(now time.Time, h *host.Host) {
		e(now, h)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// deliver carries out commands.
func (c *core) deliver(commands host.Commands) {
	for _, s := range commands.Starts {
		c.start(s)
	}
	for _, r := range commands.Refusals {
		if x := c.exchanges[r.ID]; x != nil {
			delete(c.exchanges, r.ID)
			x.outcomes <- outcome{reason: r.Reason, retry: r.Retry}
		}
	}
	for _, a := range commands.OrderVerdicts {
		if waiter := c.verdicts[a.Ref.ID]; waiter != nil {
			delete(c.verdicts, a.Ref.ID)
			waiter <- a.Verdict
		}
	}
	for _, k := range commands.Cancels {
		if x := c.exchanges[k.ID]; x != nil {
			x.preempt()
		}
	}
	c.carry(commands)
}

func (c *core) start(s intake.StartCommand) {
	x := c.exchanges[s.ID]
	row := c.host.View().Targets[s.Target]
	if x == nil || row == nil {
		c.events <- func(now time.Time, h *host.Host) {
			h.Retry(now, s.ID, wire.End{Fate: wire.FateStale})
		}
		return
	}
	x.outcomes <- outcome{target: row, grant: s.Grant}
}

// submit enters an exchange. It returns false if the request crashed the targets
// that ran it and is refused.
func (c *core) submit(x *exchange, request intake.Request) bool {
	taken := true
	c.ask(func(now time.Time, h *host.Host) {
		if h.Poisonous(now, x.call.digest) {
			taken = false
			return
		}
		request.RanOnCrashedTarget = h.IsSuspected(now, x.call.digest)
		x.id = h.Submit(now, request)
		c.exchanges[x.id] = x
	})
	return taken
}

// begin returns whether the grant of an exchange is still good.
func (c *core) begin(x *exchange, grant uint64) bool {
	good := false
	c.ask(func(now time.Time, h *host.Host) { good = h.Begin(now, x.id, grant) })
	return good
}

// again queues an exchange again.
func (c *core) again(x *exchange, end wire.End) {
	c.post(func(now time.Time, h *host.Host) { h.Retry(now, x.id, end) })
}

// finish ends an exchange.
func (c *core) finish(x *exchange, end wire.End) {
	c.post(func(now time.Time, h *host.Host) {
		delete(c.exchanges, x.id)
		h.Finish(now, x.id, end)
	})
}

// mayRetry returns whether the retry budget of a service allows a retry.
func (c *core) mayRetry(service uint32) bool {
	allowed := false
	c.ask(func(now time.Time, h *host.Host) { allowed = h.MayRetry(now, service) })
	return allowed
}

func (c *core) received(peer netip.AddrPort, boot uint64, messages []wire.Message) {
	c.post(func(now time.Time, h *host.Host) { h.Receive(now, peer, boot, messages) })
}

// write queues a write of an order's record. The verdict comes on the channel.
func (c *core) write(op order.Op, limit time.Duration) <-chan order.Verdict {
	verdict := make(chan order.Verdict, 1)
	c.post(func(now time.Time, h *host.Host) {
		c.writes++
		c.verdicts[c.writes] = verdict
		h.WriteOrder(now, c.writes, op, now.Add(limit))
	})
	return verdict
}
