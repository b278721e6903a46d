// Package intake keeps the requests that callers sent to one entry host: those
// that wait for a slot and those that run.
//
// The Table is authoritative for waiting and running requests. Owners of shards
// hold copies of their tickets; when the owner of a shard changes, the Table
// sends the new one what it holds.
package intake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/retry"
	"github.com/cassiachute/cassiachute/wire"
)

// The states of a request.
const (
	Waiting State = iota // has no slot
	Granted              // has a slot, but no byte was sent to the target
	Sent                 // bytes were sent to the target
)

// Limits and delays of the Table.
const (
	maxGrantAge         = time.Second // an older unused grant is stale
	resendDelay         = 50 * time.Millisecond
	firstResendInterval = 2 * time.Second // doubles with each resend of a waiting ticket
	maxResendsPerTick   = 200             // paces the recovery after an owner is lost
	maxPreemptions      = 2               // after this many a request can't be preempted again
	refusalRetryAfter   = time.Second
	noOwnerRetryDelay   = 200 * time.Millisecond
)

// Table holds the requests of one entry host. It is not safe for concurrent use.
type Table struct {
	seams              Dependencies
	rows               map[uint64]*row
	waiting            int
	lastID             uint64
	highestIncarnation map[wire.Shard]uint64 // highest incarnation heard of, by shard
	starts             []StartCommand
	refusals           []Refusal
	cancels            []CancelCommand
}

// NewTable returns an empty Table. The numbers of its requests start at first+1.
func NewTable(seams Dependencies, first uint64) *Table {
	return &Table{seams: seams, rows: map[uint64]*row{}, highestIncarnation: map[wire.Shard]uint64{}, lastID: first}
}

// Count returns the number of waiting requests and the number of all requests.
func (t *Table) Count() (waiting, all int) { return t.waiting, len(t.rows) }

// HighestIncarnation returns the highest incarnation that was observed of a shard's owner.
func (t *Table) HighestIncarnation(shard wire.Shard) uint64 { return t.highestIncarnation[shard] }

// ObserveIncarnation notes an incarnation of a shard's owner. Grants of lower incarnations
// are stale from then on.
func (t *Table) ObserveIncarnation(shard wire.Shard, incarnation uint64) {
	t.highestIncarnation[shard] = max(t.highestIncarnation[shard], incarnation)
}

// TakeCommands returns the commands that arose since the last call, and forgets them.
func (t *Table) TakeCommands() ([]StartCommand, []Refusal, []CancelCommand) {
	starts, refusals, cancels := t.starts, t.refusals, t.cancels
	t.starts, t.refusals, t.cancels = nil, nil, nil
	return starts, refusals, cancels
}

// Submit adds a waiting request, sends its ticket and returns its number.
func (t *Table) Submit(now time.Time, request Request) uint64 {
	t.lastID++
	r := &row{id: t.lastID, request: request, submittedAt: now}
	t.rows[r.id] = r
	t.waiting++
	t.presentAtHomeShard(now, r)
	return r.id
}

// presentAtHomeShard sends the ticket of a request to the home shard of its service. The hop
// count starts again at 0, so that the ticket may move as often as a new one. A request
// of a service without a home shard is refused.
func (t *Table) presentAtHomeShard(now time.Time, r *row) {
	r.owner = netip.AddrPort{}
	r.hops, r.ticketLift = 0, 0
	place, ok := t.seams.Home(r.request.Service)
	if !ok {
		t.refuse(r, dispatch.ReasonNoTarget, refusalRetryAfter)
		return
	}
	r.shard = wire.Shard{Service: r.request.Service, Place: place}
	r.resendInterval = firstResendInterval
	t.sendTicket(now, r)
}

// sendTicket sends the ticket of a request to the owner of its shard. Without an owner it
// is tried again after noOwnerRetryDelay.
func (t *Table) sendTicket(now time.Time, r *row) {
	owner, ok := t.seams.Owner(r.shard)
	if !ok {
		r.owner, r.resendNotBefore = netip.AddrPort{}, now.Add(noOwnerRetryDelay)
		return
	}
	r.owner, r.ticketSent = owner, now
	t.seams.Send(owner, &wire.Ticket{
		ID:          r.id,
		Shard:       r.shard,
		Team:        r.request.Team,
		Urgency:     r.request.Class,
		Age:         uint32(max(0, now.Sub(r.submittedAt).Milliseconds())),
		Hops:        r.hops,
		Fixed:       r.request.NotPreemptible || r.preemptions >= maxPreemptions,
		Blocks:      r.request.PromptBlockHashes,
		AvoidTarget: r.avoidTarget,
		Suspect:     r.request.RanOnCrashedTarget,
		Lift:        r.ticketLift,
	})
}

// HandleGrant handles a grant from an owner. A grant that is not for a waiting request
// of the shard, or that has a lower incarnation than one observed, is given back.
func (t *Table) HandleGrant(now time.Time, from netip.AddrPort, m *wire.Grant) {
	r := t.rows[m.ID]
	stale := m.Incarnation < t.highestIncarnation[m.Shard]
	t.ObserveIncarnation(m.Shard, m.Incarnation)
	if stale || r == nil || r.state != Waiting || r.shard != m.Shard {
		t.seams.Send(from, &wire.RequestEnd{ID: m.ID, Shard: m.Shard, Outcome: wire.OutcomeStaleGrant})
		if r != nil && r.state == Waiting && r.shard == m.Shard {
			r.owner, r.resendNotBefore = netip.AddrPort{}, now.Add(resendDelay)
		}
		if stale {
			t.resyncStaleOwner(now, from, m.Shard)
		}
		return
	}
	r.state, r.owner, r.grantedAt = Granted, from, now
	r.incarnation, r.target = m.Incarnation, m.Target
	t.waiting--
	r.grantCount++
	t.starts = append(t.starts, StartCommand{ID: r.id, Target: m.Target, Grant: r.grantCount})
}

// resyncStaleOwner sends a resync to the owner of a shard whose incarnation is too low. Two
// hosts may take a shard within the same second, and a resync sent before the second
// one took it is lost. A host that is no longer the owner gets none, so that its
// grants stay stale.
func (t *Table) resyncStaleOwner(now time.Time, from netip.AddrPort, shard wire.Shard) {
	if owner, ok := t.seams.Owner(shard); ok && owner == from {
		t.Resync(now, shard, from)
	}
}

// Begin must be called right before the first byte is sent to the target. It returns
// false if the grant is not the request's present one or is stale. A request with a
// stale grant is queued again.
func (t *Table) Begin(now time.Time, id, grant uint64) bool {
	r := t.rows[id]
	if r == nil || r.state != Granted || r.grantCount != grant {
		return false
	}
	if r.incarnation < t.highestIncarnation[r.shard] || now.Sub(r.grantedAt) > maxGrantAge {
		t.requeue(now, r, wire.RequestEnd{Outcome: wire.OutcomeStaleGrant})
		return false
	}
	r.state, r.sentAt = Sent, now
	return true
}

// Requeue gives back the slot of a request and queues it again. After a failure of
// the target this takes a backoff, and the ticket asks to avoid that target.
func (t *Table) Requeue(now time.Time, id uint64, end wire.RequestEnd) {
	r := t.rows[id]
	if r == nil || r.state == Waiting {
		return
	}
	switch end.Outcome {
	case wire.OutcomePreempted:
		r.preemptions++
	case wire.OutcomeConnectionLost, wire.OutcomeRejected, wire.OutcomeTimedOut:
		r.avoidTarget = r.target
		r.failedAttempts++
		t.returnToWaiting(r, end)
		r.resendNotBefore = now.Add(retry.Backoff(int(r.failedAttempts), r.id))
		return
	case wire.OutcomeCompleted, wire.OutcomeCanceled, wire.OutcomeStaleGrant:
	}
	t.requeue(now, r, end)
}

// MarkSuspect marks a request as one that ran on a target when it crashed.
func (t *Table) MarkSuspect(id uint64) {
	if r := t.rows[id]; r != nil {
		r.request.RanOnCrashedTarget = true
	}
}

// requeue returns a request to the waiting ones and sends its ticket at once.
func (t *Table) requeue(now time.Time, r *row, end wire.RequestEnd) {
	t.returnToWaiting(r, end)
	t.presentAtHomeShard(now, r)
}

// returnToWaiting gives back the slot of a request and marks it as waiting, with a ticket
// that no owner holds. If it had been sent, its deadline moves by the time from its
// submission to then.
func (t *Table) returnToWaiting(r *row, end wire.RequestEnd) {
	t.sendEnd(r, end)
	if r.state == Sent && !r.request.Deadline.IsZero() {
		r.request.Deadline = r.request.Deadline.Add(r.sentAt.Sub(r.submittedAt))
	}
	r.state = Waiting
	r.owner = netip.AddrPort{}
	r.hops, r.ticketLift = 0, 0
	t.waiting++
}

// sendEnd tells the host that holds the ticket of a request that it no longer waits or runs.
func (t *Table) sendEnd(r *row, end wire.RequestEnd) {
	if !r.owner.IsValid() {
		return
	}
	end.ID, end.Shard = r.id, r.shard
	t.seams.Send(r.owner, &end)
}

// Finish removes a request and reports its end, with its outcome and measured cost, to the owner.
func (t *Table) Finish(id uint64, end wire.RequestEnd) {
	r := t.rows[id]
	if r == nil {
		return
	}
	t.sendEnd(r, end)
	t.remove(r)
}

// remove deletes a request without telling its owner.
func (t *Table) remove(r *row) {
	if r.state == Waiting {
		t.waiting--
	}
	delete(t.rows, r.id)
}

// refuse removes a request and adds the command to refuse it.
func (t *Table) refuse(r *row, reason uint8, retry time.Duration) {
	t.remove(r)
	t.refusals = append(t.refusals, Refusal{ID: r.id, Reason: reason, Retry: retry})
}

// HandleDenial handles an owner's refusal of a ticket: the request is refused.
func (t *Table) HandleDenial(m *wire.Denial) {
	r := t.rows[m.ID]
	if r != nil && r.state == Waiting && r.shard == m.Shard {
		t.refuse(r, m.Reason, time.Duration(m.RetryAfter)*time.Millisecond)
	}
}

// HandleMoveTicket handles an owner's redirection of a ticket to another place. If the place
// is the same, the host was not the owner, and the ticket is sent again after
// resendDelay.
func (t *Table) HandleMoveTicket(now time.Time, m *wire.MoveTicket) {
	r := t.rows[m.ID]
	if r == nil || r.state != Waiting || r.shard != m.Shard {
		return
	}
	if m.Place == m.Shard.Place {
		r.owner, r.resendNotBefore = netip.AddrPort{}, now.Add(resendDelay)
		return
	}
	r.hops++
	r.shard.Place = m.Place
	r.ticketLift = m.Lift
	t.sendTicket(now, r)
}

// HandlePreemptStream handles an owner's order to cancel a running stream. A grant that was
// not used yet is given back and the request queued again.
func (t *Table) HandlePreemptStream(now time.Time, m *wire.PreemptStream) {
	r := t.rows[m.ID]
	if r == nil || r.shard != m.Shard || m.Incarnation != r.incarnation {
		return
	}
	switch r.state {
	case Sent:
		t.cancels = append(t.cancels, CancelCommand{ID: m.ID})
	case Granted:
		r.preemptions++
		t.requeue(now, r, wire.RequestEnd{Outcome: wire.OutcomePreempted})
	case Waiting:
	}
}

// Resync tells the owner of a shard which of its requests run here. The tickets of
// waiting ones follow in later ticks, at most maxResendsPerTick in each.
func (t *Table) Resync(now time.Time, shard wire.Shard, owner netip.AddrPort) {
	m := &wire.Resync{Shard: shard, Known: t.highestIncarnation[shard]}
	for _, r := range t.sortedRows() {
		if r.shard != shard {
			continue
		}
		if r.state == Waiting {
			r.owner, r.resendNotBefore = netip.AddrPort{}, now
			continue
		}
		r.owner = owner
		m.Running = append(m.Running, r.running(now))
	}
	t.seams.Send(owner, m)
}

// HandleOwnerLost handles that an owner can't be reached and that no other one is known. The
// waiting tickets that it held are sent to their home shards.
func (t *Table) HandleOwnerLost(now time.Time, owner netip.AddrPort) {
	for _, r := range t.sortedRows() {
		if r.state == Waiting && r.owner == owner {
			t.presentAtHomeShard(now, r)
		}
	}
}

// sortedRows returns all rows, ordered by request number.
func (t *Table) sortedRows() []*row {
	list := make([]*row, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r)
	}
	slices.SortFunc(list, compareIDs)
	return list
}

// Tick refuses waiting requests whose deadline passed and sends tickets that are due,
// at most maxResendsPerTick of them.
func (t *Table) Tick(now time.Time) {
	sends := 0
	for _, r := range t.dueRows(now) {
		if !r.request.Deadline.IsZero() && now.After(r.request.Deadline) {
			t.sendEnd(r, wire.RequestEnd{Outcome: wire.OutcomeCanceled})
			t.refuse(r, dispatch.ReasonDeadline, refusalRetryAfter)
			continue
		}
		if sends < maxResendsPerTick {
			sends++
			t.resendTicket(now, r)
		}
	}
}

// dueRows returns the waiting requests whose deadline passed or whose ticket is to be
// sent, ordered by request number.
func (t *Table) dueRows(now time.Time) []*row {
	var list []*row
	for _, r := range t.rows {
		if r.state != Waiting {
			continue
		}
		expired := !r.request.Deadline.IsZero() && now.After(r.request.Deadline)
		unowned := !r.owner.IsValid() && !now.Before(r.resendNotBefore)
		if expired || unowned || now.Sub(r.ticketSent) > r.resendInterval {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareIDs)
	return list
}

// resendTicket sends a ticket again. If its shard has no reachable owner, it goes to the
// home shard of the service.
func (t *Table) resendTicket(now time.Time, r *row) {
	if _, ok := t.seams.Owner(r.shard); !ok {
		t.presentAtHomeShard(now, r)
		return
	}
	if r.owner.IsValid() {
		r.resendInterval *= 2
	}
	t.sendTicket(now, r)
}
