package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/order"
	"github.com/cassiachute/cassiachute/platform"
)

const (
	claimTimeout    = 3 * time.Second // longest wait for a claim
	storeTimeout    = time.Minute     // for which writes of a result are retried
	maxStoredBytes  = 64 << 10        // larger results are not stored
	maxClaims       = 3               // tries of one request to claim its key, as voided claims are taken over
	claimRetryDelay = time.Second     // what Retry-After tells callers whose key is claimed
)

// serveOrder serves a request with an idempotency key that must not run twice.
func (e *Entry) serveOrder(ctx *fasthttp.RequestCtx, g *forwardedRequest) {
	claim, p := e.claimOrder(ctx, g)
	if p != nil {
		e.refuse(ctx, g.info, p)
		return
	}
	if claim == nil {
		return
	}
	if g.service.Fencing {
		g.request.Header.Set(HeaderFence, strconv.FormatUint(claim.op.Record.Fence, 10))
	}
	p = g.enqueue(true, nil)
	if p == nil {
		p = g.fetch()
	}
	if p != nil {
		e.storeFailure(claim, p)
		e.refuse(ctx, g.info, p)
		return
	}
	e.storeResult(claim, g)
	g.writeAnswer(ctx)
	e.recordAnswer(g.exchange, ctx.Response.StatusCode(), "", 0)
}

// orderClaim is the record by which this request reserved its idempotency key.
type orderClaim struct {
	op      order.Op
	version uint64
}

// claimOrder claims the idempotency key of a request. If the key was claimed before, it answers
// from the stored record and returns no claim. A voided claim is taken over with the next fence
// number.
func (e *Entry) claimOrder(ctx *fasthttp.RequestCtx, g *forwardedRequest) (*orderClaim, *problem) {
	op := order.Op{
		Name: host.OrderKey(g.info.team, g.info.idempotencyKey),
		Record: order.Record{
			Token: uuid.NewString(), State: order.Claimed, Digest: g.info.digest, Fence: 1, WrittenAt: time.Now().UTC(),
		},
	}
	for range maxClaims {
		v := <-e.loop.writeOrder(op, claimTimeout)
		switch {
		case v.Won:
			return &orderClaim{op: op, version: v.Version}, nil
		case v.Unreached:
			return nil, claimProblem()
		case v.Record.State == order.Void && v.Record.Digest == g.info.digest:
			op.ExpectedVersion, op.Record.Fence = v.Version, v.Record.Fence+1
			op.Record.Token = uuid.NewString()
		default:
			return nil, e.answerClaimed(ctx, g, v.Record)
		}
	}
	return nil, claimProblem()
}

// claimProblem returns the problem of a request whose idempotency key could not be claimed. It did
// not run and may be retried.
func claimProblem() *problem {
	p := notRunProblem(fasthttp.StatusServiceUnavailable, "unclaimed", HeaderIdempotencyKey, "the order could not be claimed")
	p.retry = claimRetryDelay
	return p
}

// answerClaimed answers a request whose idempotency key was claimed before, from the stored
// record.
func (e *Entry) answerClaimed(ctx *fasthttp.RequestCtx, g *forwardedRequest, r order.Record) *problem {
	switch {
	case r.Digest != g.info.digest:
		return notRunProblem(fasthttp.StatusUnprocessableEntity, "order_differs", HeaderIdempotencyKey,
			"the key was used for another request")
	case r.State == order.Done && r.ResultKept:
		e.setInfoHeaders(ctx, g.exchange)
		ctx.Response.Header.Set(HeaderReplayed, "1")
		ctx.SetStatusCode(r.Status)
		ctx.SetContentType(r.Kind)
		ctx.SetBody(r.Body)
		e.recordAnswer(g.exchange, r.Status, "replay", 0)
		return nil
	case r.State == order.Done:
		return &problem{
			status: fasthttp.StatusConflict, code: "order_ran", param: HeaderIdempotencyKey, outcome: OutcomeRan,
			message: "the order ran; its result was too large to keep",
		}
	default:
		return &problem{
			status: fasthttp.StatusConflict, code: "order_claimed", param: HeaderIdempotencyKey, outcome: OutcomeUnknown,
			message: "another attempt may have run the order or runs it now", retry: claimRetryDelay,
		}
	}
}

// storeResult stores the answer to an order, in the background. A body that is incomplete or too
// large is left out.
func (e *Entry) storeResult(claim *orderClaim, g *forwardedRequest) {
	op := claim.op
	op.ExpectedVersion = claim.version
	op.Record.State = order.Done
	op.Record.Token = uuid.NewString()
	op.Record.Status = g.response.StatusCode()
	op.Record.Kind = string(g.response.Header.ContentType())
	if g.complete && len(g.buffered) <= maxStoredBytes {
		op.Record.Body, op.Record.ResultKept = g.buffered, true
	}
	e.loop.writeOrder(op, storeTimeout)
}

// storeFailure stores, in the background, whether an order without an answer may have run. If it
// did not, its key may be claimed again.
func (e *Entry) storeFailure(claim *orderClaim, p *problem) {
	op := claim.op
	op.ExpectedVersion = claim.version
	op.Record.Token = uuid.NewString()
	op.Record.State = order.Unknown
	if p.outcome == OutcomeNotRun {
		op.Record.State = order.Void
	}
	e.loop.writeOrder(op, storeTimeout)
}

// commitOrders writes orders' records to the platform in one transaction and reports the result to
// the host.
func (e *Entry) commitOrders(c order.Commit) {
	var t platform.Transaction
	for _, op := range c.Ops {
		value, err := json.Marshal(op.Record)
		if err != nil {
			continue
		}
		t.Checks = append(t.Checks, platform.Check{Key: op.Name, Version: op.ExpectedVersion})
		t.Puts = append(t.Puts, platform.Put{Key: op.Name, Value: value})
	}
	receipt, err := e.platform.Transact(t)
	result := order.Written
	switch {
	case errors.Is(err, platform.ErrConflict):
		result = order.Conflict
	case errors.Is(err, platform.ErrBusy):
		result = order.Busy
	case err != nil:
		result = order.Unanswered
	}
	e.loop.post(func(now time.Time, h *host.Host) {
		h.OrderCommitted(now, c.ID, result, receipt.Version, receipt.Failed)
	})
}

// readOrder reads the record of an order from the platform and reports it to the host.
func (e *Entry) readOrder(r order.Read) {
	row, err := e.platform.Row(r.Name)
	var record order.Record
	missing := errors.Is(err, platform.ErrMissing)
	if err == nil {
		err = json.Unmarshal(row.Value, &record)
	}
	e.loop.post(func(now time.Time, h *host.Host) {
		h.OrderRead(now, r.ID, record, row.Version, err != nil && !missing)
	})
}
