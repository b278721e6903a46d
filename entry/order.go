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
	claimLimit   = 3 * time.Second // longest wait for a claim
	settleLimit  = time.Minute     // for which the result of an order is tried to be kept
	maxKeptBytes = 64 << 10        // a larger result is not kept
	maxClaims    = 3               // tries of one request to claim its key, as voided claims are taken over
	claimedRetry = time.Second
)

// order serves a request that names an order and must not run twice.
func (e *Entry) order(ctx *fasthttp.RequestCtx, g *forwardedRequest) {
	held, p := e.claim(ctx, g)
	if p != nil {
		e.refuse(ctx, g.info, p)
		return
	}
	if held == nil {
		return
	}
	if g.service.Fence {
		g.request.Header.Set(HeaderFence, strconv.FormatUint(held.op.Record.Fence, 10))
	}
	p = g.enqueue(true, nil)
	if p == nil {
		p = g.fetch()
	}
	if p != nil {
		e.unsettled(held, p)
		e.refuse(ctx, g.info, p)
		return
	}
	e.settle(held, g)
	g.writeAnswer(ctx)
	e.observe(g.exchange, ctx.Response.StatusCode(), "", 0)
}

// claim is the claim of an order that this request holds.
type claim struct {
	op      order.Op
	version uint64
}

// claim claims the order. If it ran before, the stored result is the answer and
// no claim is returned.
func (e *Entry) claim(ctx *fasthttp.RequestCtx, g *forwardedRequest) (*claim, *problem) {
	op := order.Op{
		Name: host.OrderName(g.info.team, g.info.order),
		Record: order.Record{
			Token: uuid.NewString(), State: order.Claimed, Digest: g.info.digest, Fence: 1, At: time.Now().UTC(),
		},
	}
	for range maxClaims {
		v := <-e.loop.writeOrder(op, claimLimit)
		switch {
		case v.Won:
			return &claim{op: op, version: v.Version}, nil
		case v.Failed:
			return nil, unclaimed()
		case v.Record.State == order.Void && v.Record.Digest == g.info.digest:
			op.Expect, op.Record.Fence = v.Version, v.Record.Fence+1
			op.Record.Token = uuid.NewString()
		default:
			return nil, e.repeat(ctx, g, v.Record)
		}
	}
	return nil, unclaimed()
}

func unclaimed() *problem {
	p := notRun(fasthttp.StatusServiceUnavailable, "unclaimed", HeaderOrder, "the order could not be claimed")
	p.retry = claimedRetry
	return p
}

// repeat answers a request whose order was claimed before.
func (e *Entry) repeat(ctx *fasthttp.RequestCtx, g *forwardedRequest, r order.Record) *problem {
	switch {
	case r.Digest != g.info.digest:
		return notRun(fasthttp.StatusUnprocessableEntity, "order_differs", HeaderOrder,
			"the key was used for another request")
	case r.State == order.Done && r.Whole:
		e.mark(ctx, g.exchange)
		ctx.Response.Header.Set(HeaderReplay, "1")
		ctx.SetStatusCode(r.Status)
		ctx.SetContentType(r.Kind)
		ctx.SetBody(r.Body)
		e.observe(g.exchange, r.Status, "replay", 0)
		return nil
	case r.State == order.Done:
		return &problem{
			status: fasthttp.StatusConflict, code: "order_ran", param: HeaderOrder, outcome: OutcomeRan,
			message: "the order ran; its result was too large to keep",
		}
	default:
		return &problem{
			status: fasthttp.StatusConflict, code: "order_claimed", param: HeaderOrder, outcome: OutcomeUnknown,
			message: "another attempt may have run the order or runs it now", retry: claimedRetry,
		}
	}
}

// settle keeps the result of an order, in the background.
func (e *Entry) settle(held *claim, g *forwardedRequest) {
	op := held.op
	op.Expect = held.version
	op.Record.State = order.Done
	op.Record.Token = uuid.NewString()
	op.Record.Status = g.response.StatusCode()
	op.Record.Kind = string(g.response.Header.ContentType())
	if g.complete && len(g.buffered) <= maxKeptBytes {
		op.Record.Body, op.Record.Whole = g.buffered, true
	}
	e.loop.writeOrder(op, settleLimit)
}

// unsettled keeps what is known of an order that got no answer.
func (e *Entry) unsettled(held *claim, p *problem) {
	op := held.op
	op.Expect = held.version
	op.Record.Token = uuid.NewString()
	op.Record.State = order.Unknown
	if p.outcome == OutcomeNotRun {
		op.Record.State = order.Void
	}
	e.loop.writeOrder(op, settleLimit)
}

// commit carries out writes of orders' records in one transaction.
func (e *Entry) commit(c order.Commit) {
	var t platform.Transaction
	for _, op := range c.Ops {
		value, err := json.Marshal(op.Record)
		if err != nil {
			continue
		}
		t.Checks = append(t.Checks, platform.Check{Key: op.Name, Version: op.Expect})
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
		result = order.Lost
	}
	e.loop.post(func(now time.Time, h *host.Host) {
		h.OrderCommitted(now, c.ID, result, receipt.Version, receipt.Failed)
	})
}

// readBack reads the record of an order.
func (e *Entry) readBack(r order.Read) {
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
