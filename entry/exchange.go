package entry

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/intake"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	outcomeQueue = 4
	goneCheck    = 100 * time.Millisecond
	crashDial    = 200 * time.Millisecond
	crashWatch   = 30 * time.Millisecond // for which a new connection to a live target stays open
	maxAttempts  = 5
	statusGone   = 499 // the caller went away; nobody reads the answer
)

// errPreempted means that the stream was cancelled for an urgent ticket.
var errPreempted = errors.New("stream preempted")

// exchange is one request of a caller, from its arrival to its end.
type exchange struct {
	entry   *Entry
	id      uint64
	caller  net.Conn
	service *catalog.ServiceRow
	call    *call
	request *fasthttp.Request // as it is sent to targets

	outcomes chan outcome
	once     bool          // must not run twice
	handed   bool          // a target may have run it
	retried  int           // attempts that failed
	waited   time.Duration // time without a slot
	begun    time.Time     // when the present attempt was sent
	target   *catalog.TargetRow
	head     time.Duration // time to the first byte of the last attempt

	mu        sync.Mutex
	line      *link.Conn
	preempted bool
}

func newExchange(e *Entry, ctx *fasthttp.RequestCtx, c *call) *exchange {
	x := &exchange{
		entry: e, caller: ctx.Conn(), service: c.service, call: c,
		outcomes: make(chan outcome, outcomeQueue), request: &fasthttp.Request{},
	}
	ctx.Request.CopyTo(x.request)
	x.request.Header.Del(fasthttp.HeaderAuthorization)
	x.request.Header.Del(fasthttp.HeaderConnection)
	x.request.Header.Set(HeaderRequest, c.id)
	x.request.Header.Set(HeaderTeam, c.teamName)
	return x
}

// enter queues the exchange for a slot. It returns a problem if the request is
// refused for the targets that it crashed.
func (x *exchange) enter(fixed bool, blocks []uint32) *problem {
	c := x.call
	taken := x.entry.core.submit(x, intake.Request{
		Service: c.service.Service.Number, Team: c.team, Class: c.class, Deadline: c.deadline,
		NotPreemptible: fixed, PromptBlockHashes: blocks,
	})
	if !taken {
		return refusal(dispatch.ReasonPoison, 0, false)
	}
	return nil
}

// slot waits for a slot and a connection to its target. It returns a problem if
// there is none or the caller went away.
func (x *exchange) slot() (*link.Conn, *problem) {
	began := time.Now()
	defer func() { x.waited += time.Since(began) }()
	ticker := time.NewTicker(goneCheck)
	defer ticker.Stop()
	for {
		select {
		case o := <-x.outcomes:
			if o.target == nil {
				return nil, refusal(o.reason, o.retry, x.handed)
			}
			line, p := x.open(o)
			if line != nil || p != nil {
				return line, p
			}
		case <-ticker.C:
			if link.ClosedByPeer(x.caller) {
				x.entry.core.finish(x, wire.End{Fate: wire.FateWithdrawn})
				return nil, x.gone()
			}
		case <-x.entry.core.ctx.Done():
			return nil, refusal(dispatch.ReasonLeaving, 0, x.handed)
		}
	}
}

func (x *exchange) gone() *problem {
	p := notRun(statusGone, "gone", "", "the caller went away")
	if x.handed {
		p.outcome = OutcomeUnknown
	}
	return p
}

// open connects to the target of a grant and checks that the grant is still
// good. It returns neither a line nor a problem if the exchange waits again.
func (x *exchange) open(o outcome) (*link.Conn, *problem) {
	line, err := x.entry.pool.Get(x.entry.core.ctx, o.target.Address, x.once)
	if err != nil {
		return nil, x.fail(o.target, wire.End{Fate: wire.FateBroken})
	}
	if !x.entry.core.begin(x, o.grant) {
		x.entry.pool.Put(o.target.Address, line)
		return nil, nil
	}
	x.mu.Lock()
	x.line = line
	if x.preempted {
		line.Close()
	}
	x.mu.Unlock()
	x.target, x.begun, x.head = o.target, time.Now(), 0
	return line, nil
}

// preempt cancels the stream at its target.
func (x *exchange) preempt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.preempted = true
	if x.line != nil {
		x.line.Close()
	}
}

// release ends the use of a line. It returns whether it was preempted.
func (x *exchange) release(line *link.Conn, reuse bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	preempted := x.preempted
	x.line, x.preempted = nil, false
	if reuse && !preempted {
		x.entry.pool.Put(x.target.Address, line)
	} else {
		line.Close()
	}
	return preempted
}

// fail takes the failure of an attempt. It queues the exchange again, or
// returns a problem if it may not run again.
func (x *exchange) fail(row *catalog.TargetRow, end wire.End) *problem {
	if end.Fate == wire.FatePreempted {
		x.entry.core.again(x, end)
		return nil
	}
	x.retried++
	x.entry.metrics.retries.WithLabelValues(x.service.Name).Inc()
	blocked := x.once && x.handed
	if !blocked && x.retried < maxAttempts && x.entry.core.mayRetry(x.service.Service.Number) {
		x.entry.core.again(x, end)
		return nil
	}
	x.entry.core.finish(x, end)
	p := &problem{
		status: fasthttp.StatusBadGateway, code: "target_failed", outcome: OutcomeNotRun,
		message: "target " + row.Name + " failed", retry: time.Second,
	}
	if x.handed {
		p.outcome = OutcomeUnknown
	}
	return p
}

// broke takes the error of an attempt that reached its target. It finds out
// whether the target crashed and blames the request for it if so.
func (x *exchange) broke(err error, end wire.End) *problem {
	switch {
	case errors.Is(err, errPreempted):
		end.Fate = wire.FatePreempted
	case errors.Is(err, link.ErrSilent):
		end.Fate = wire.FateSilent
	default:
		end.Fate = wire.FateBroken
	}
	if end.Fate == wire.FateBroken && x.crashed() {
		if p := x.blame(end); p != nil {
			return p
		}
	}
	return x.fail(x.target, end)
}

// crashed returns whether no process answers at the target any more: it refuses
// a connection, or something on the way accepts it and ends it at once.
func (x *exchange) crashed() bool {
	ctx, cancel := link.WithLimit(x.entry.core.ctx, crashDial)
	defer cancel()
	line, err := x.entry.pool.Get(ctx, x.target.Address, true)
	if err != nil {
		x.entry.pool.CloseIdle(x.target.Address)
		return true
	}
	defer line.Close()
	if !line.ClosesWithin(crashWatch) {
		return false
	}
	x.entry.pool.CloseIdle(x.target.Address)
	return true
}

// blame counts a crash against the request. It returns a problem if the request
// is refused for it.
func (x *exchange) blame(end wire.End) *problem {
	poisonous := false
	x.entry.core.ask(func(now time.Time, h *host.Host) {
		poisonous = h.RecordCrash(now, x.call.digest)
		h.MarkSuspected(x.id)
	})
	if !poisonous {
		return nil
	}
	x.entry.core.finish(x, end)
	p := refusal(dispatch.ReasonPoison, 0, x.handed)
	return p
}

// done ends an exchange whose answer is complete.
func (x *exchange) done(end wire.End) {
	end.Fate = wire.FateDone
	end.FirstByte = uint32(x.head.Milliseconds())
	x.entry.core.post(func(now time.Time, h *host.Host) { h.RecordCompletion(now, x.call.digest) })
	x.entry.core.finish(x, end)
}
