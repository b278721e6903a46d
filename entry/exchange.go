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
	"github.com/cassiachute/cassiachute/quarantine"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	slotResultBuffer  = 4                      // capacity of an exchange's channel for slot results
	callerCheckPeriod = 100 * time.Millisecond // between checks whether a waiting caller disconnected
	crashDialTimeout  = 200 * time.Millisecond // for the connection that checks whether a target crashed
	crashWatchTime    = 30 * time.Millisecond  // a new connection to a running target stays open for longer
	maxAttempts       = 5                      // failed attempts after which a request is refused
	statusCallerGone  = 499                    // the caller disconnected; nobody reads the answer
)

// errPreempted means that a stream was cancelled to give its slot to an urgent request.
var errPreempted = errors.New("stream preempted")

// exchange is the handling of one request of a caller, including all its attempts.
type exchange struct {
	entry      *Entry
	id         uint64
	callerConn net.Conn
	service    *catalog.ServiceRow
	info       *requestInfo
	request    *fasthttp.Request // as it is sent to targets

	slotResults    chan slotResult
	atMostOnce     bool          // not to be repeated once a target may have run it
	mayHaveRun     bool          // bytes of the request were sent to a target
	failedAttempts int           // attempts that failed
	waited         time.Duration // time without a slot
	attemptStart   time.Time     // when the current attempt was sent
	target         *catalog.TargetRow
	firstByteTime  time.Duration // time to the first byte of the last attempt
	answered       bool          // the target of the current attempt began to answer

	mu        sync.Mutex
	conn      *link.Conn
	preempted bool
}

// newExchange returns an exchange with the copy of the caller's request that targets receive. The
// copy has no bearer key; its headers name the request id and the team instead.
func newExchange(e *Entry, ctx *fasthttp.RequestCtx, info *requestInfo) *exchange {
	x := &exchange{
		entry: e, callerConn: ctx.Conn(), service: info.service, info: info,
		slotResults: make(chan slotResult, slotResultBuffer), request: &fasthttp.Request{},
	}
	copyRequest(&ctx.Request, x.request)
	x.request.Header.Del(fasthttp.HeaderAuthorization)
	x.request.Header.Del(fasthttp.HeaderConnection)
	x.request.Header.Set(HeaderRequestID, info.id)
	x.request.Header.Set(HeaderTeam, info.teamName)
	return x
}

// enqueue queues the exchange for a slot. It returns a problem if the request is refused because
// it crashed targets.
func (x *exchange) enqueue(notPreemptible bool, hashes []uint32) *problem {
	c := x.info
	retry := x.entry.loop.submit(x, intake.Request{
		Service: c.service.Service.Number, Team: c.team, Class: c.class, Deadline: c.deadline,
		NotPreemptible: notPreemptible, PromptBlockHashes: hashes,
	})
	if retry > 0 {
		return dispatchProblem(dispatch.ReasonPoison, retry, false)
	}
	return nil
}

// waitForSlot waits for a slot and connects to its target. It returns a problem if no slot is
// granted, the caller disconnects or the host stops.
func (x *exchange) waitForSlot() (*link.Conn, *problem) {
	began := time.Now()
	defer func() { x.waited += time.Since(began) }()
	ticker := time.NewTicker(callerCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case o := <-x.slotResults:
			if o.target == nil {
				return nil, dispatchProblem(o.reason, o.retry, x.mayHaveRun)
			}
			conn, p := x.connectTarget(o)
			if conn != nil || p != nil {
				return conn, p
			}
		case <-ticker.C:
			if link.ClosedByPeer(x.callerConn) {
				x.entry.loop.finish(x, wire.RequestEnd{Outcome: wire.OutcomeCanceled})
				return nil, x.callerGone()
			}
		case <-x.entry.loop.ctx.Done():
			return nil, dispatchProblem(dispatch.ReasonLeaving, 0, x.mayHaveRun)
		}
	}
}

// callerGone returns the problem of a request whose caller disconnected while it waited.
func (x *exchange) callerGone() *problem {
	p := notRunProblem(statusCallerGone, "gone", "", "the caller went away")
	if x.mayHaveRun {
		p.outcome = OutcomeUnknown
	}
	return p
}

// connectTarget connects to the target of a slot and confirms the grant. It returns neither a
// connection nor a problem if the exchange has to wait again.
func (x *exchange) connectTarget(o slotResult) (*link.Conn, *problem) {
	conn, err := x.entry.pool.Get(x.entry.loop.ctx, o.target.Address, x.atMostOnce)
	if err != nil {
		return nil, x.retryOrFail(o.target, wire.RequestEnd{Outcome: wire.OutcomeConnectionLost})
	}
	valid, retry := x.entry.loop.confirmGrant(x, o.grant)
	if !valid || retry > 0 {
		x.entry.pool.Put(o.target.Address, conn)
	}
	switch {
	case !valid:
		return nil, nil
	case retry > 0:
		x.entry.loop.finish(x, wire.RequestEnd{Outcome: wire.OutcomeCanceled})
		return nil, dispatchProblem(dispatch.ReasonPoison, retry, x.mayHaveRun)
	}
	x.mu.Lock()
	x.conn = conn
	if x.preempted {
		conn.Close()
	}
	x.mu.Unlock()
	x.target, x.attemptStart, x.firstByteTime, x.answered = o.target, time.Now(), 0, false
	return conn, nil
}

// preempt cancels the current or the next attempt by closing its connection to the target.
func (x *exchange) preempt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.preempted = true
	if x.conn != nil {
		x.conn.Close()
	}
}

// releaseConn returns the connection to the pool if it can be reused, and closes it otherwise. It
// returns whether the attempt was preempted.
func (x *exchange) releaseConn(conn *link.Conn, reuse bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	preempted := x.preempted
	x.conn, x.preempted = nil, false
	if reuse && !preempted {
		x.entry.pool.Put(x.target.Address, conn)
	} else {
		conn.Close()
	}
	return preempted
}

// retryOrFail queues the exchange for another attempt after a failed one, or returns a problem if
// it may not run again. Preempted attempts do not count as failed.
func (x *exchange) retryOrFail(row *catalog.TargetRow, end wire.RequestEnd) *problem {
	if end.Outcome == wire.OutcomePreempted {
		x.entry.loop.requeue(x, end)
		return nil
	}
	x.failedAttempts++
	x.entry.metrics.retries.WithLabelValues(x.service.Name).Inc()
	blocked := x.atMostOnce && x.mayHaveRun
	if !blocked && x.failedAttempts < maxAttempts && x.entry.loop.mayRetry(x.service.Service.Number) {
		x.entry.loop.requeue(x, end)
		return nil
	}
	x.entry.loop.finish(x, end)
	p := &problem{
		status: fasthttp.StatusBadGateway, code: "target_failed", outcome: OutcomeNotRun,
		message: "target " + row.Name + " failed", retry: time.Second,
	}
	if x.mayHaveRun {
		p.outcome = OutcomeUnknown
	}
	return p
}

// handleBrokenAttempt handles the error of an attempt whose request reached its target. If the
// target crashed, the crash is counted against the request.
func (x *exchange) handleBrokenAttempt(err error, end wire.RequestEnd) *problem {
	switch {
	case errors.Is(err, errPreempted):
		end.Outcome = wire.OutcomePreempted
	case errors.Is(err, link.ErrSilent):
		end.Outcome = wire.OutcomeTimedOut
	default:
		end.Outcome = wire.OutcomeConnectionLost
	}
	if end.Outcome == wire.OutcomeConnectionLost && x.targetCrashed() {
		if p := x.recordCrash(end); p != nil {
			return p
		}
	}
	return x.retryOrFail(x.target, end)
}

// targetCrashed returns whether no process serves the address of the target any more: a new
// connection is refused, or a proxy accepts it and closes it at once.
func (x *exchange) targetCrashed() bool {
	ctx, cancel := link.WithLimit(x.entry.loop.ctx, crashDialTimeout)
	defer cancel()
	conn, err := x.entry.pool.Get(ctx, x.target.Address, true)
	if err != nil {
		x.entry.pool.CloseIdle(x.target.Address)
		return true
	}
	defer conn.Close()
	if !conn.ClosesWithin(crashWatchTime) {
		return false
	}
	x.entry.pool.CloseIdle(x.target.Address)
	return true
}

// recordCrash suspects the request of a crash, unless its target had begun to answer it. It returns a problem
// if the request is refused because of it.
func (x *exchange) recordCrash(end wire.RequestEnd) *problem {
	if x.answered {
		return nil
	}
	retry := time.Duration(0)
	report := &quarantine.Report{Target: x.target.Name, At: time.Now(), SentAt: x.attemptStart, Traits: quarantine.Reported(x.info.traits)}
	x.entry.loop.postAndWait(func(now time.Time, h *host.Host) {
		if h.RecordCrash(now, report) {
			retry = h.RetryAfterCrash(now, x.info.traits)
		}
		h.MarkSuspected(x.id)
	})
	if retry == 0 {
		return nil
	}
	x.entry.loop.finish(x, end)
	return dispatchProblem(dispatch.ReasonPoison, retry, x.mayHaveRun)
}

// markAnswered records that the target began to answer.
func (x *exchange) markAnswered() {
	if x.answered {
		return
	}
	x.answered = true
	x.entry.loop.post(func(now time.Time, h *host.Host) { h.RecordAnswer(now, x.info.traits) })
}

// succeed ends an exchange whose answer is complete.
func (x *exchange) succeed(end wire.RequestEnd) {
	end.Outcome = wire.OutcomeCompleted
	end.FirstByte = uint32(x.firstByteTime.Milliseconds())
	x.markAnswered()
	x.entry.loop.finish(x, end)
}
