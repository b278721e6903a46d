// Package intake holds the requests of the callers of one entry host: those
// that wait for a slot and those that run.
//
// The table is the truth about waiting and running work. When the owner of a
// shard changes, the table tells the next owner what it holds.
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
	Waiting State = iota // no slot yet
	Granted              // has a slot, no byte is sent
	Sent                 // bytes went to the target
)

const (
	maxGrantAge     = time.Second // a grant not used by then is stale
	resendDelay   = 50 * time.Millisecond
	firstResendInterval    = 2 * time.Second // a ticket that waits this long is sent again, then after twice the time
	maxResendsPerTick  = 200             // tickets sent again in one tick at most, for paced recovery
	maxPreemptions   = 2               // preemptions of one request before it is fixed
	refusalRetryAfter  = time.Second
	noOwnerRetryDelay = 200 * time.Millisecond
)

// Table holds the requests of one entry host.
type Table struct {
	seams    Seams
	rows     map[uint64]*row
	waiting  int
	lastID     uint64
	highestIncarnation    map[wire.Shard]uint64 // highest incarnation of each shard
	starts   []Start
	refusals []Refusal
	cancels  []Cancel
}

// NewTable returns an empty Table. Numbers of requests start above first.
func NewTable(seams Seams, first uint64) *Table {
	return &Table{seams: seams, rows: map[uint64]*row{}, highestIncarnation: map[wire.Shard]uint64{}, lastID: first}
}

// Count returns the number of waiting requests and of all requests.
func (t *Table) Count() (waiting, all int) { return t.waiting, len(t.rows) }

// Known returns the highest incarnation of a shard's owner that was heard of.
func (t *Table) Known(shard wire.Shard) uint64 { return t.highestIncarnation[shard] }

// Observe takes the incarnation of a shard's owner.
func (t *Table) Observe(shard wire.Shard, incarnation uint64) {
	t.highestIncarnation[shard] = max(t.highestIncarnation[shard], incarnation)
}

// Drain returns the commands since the last call.
func (t *Table) Drain() ([]Start, []Refusal, []Cancel) {
	starts, refusals, cancels := t.starts, t.refusals, t.cancels
	t.starts, t.refusals, t.cancels = nil, nil, nil
	return starts, refusals, cancels
}

// Submit enters a request and returns its number.
func (t *Table) Submit(now time.Time, request Request) uint64 {
	t.lastID++
	r := &row{id: t.lastID, request: request, submittedAt: now}
	t.rows[r.id] = r
	t.waiting++
	t.presentAtHomeShard(now, r)
	return r.id
}

// presentAtHomeShard presents a request to its home shard, from where it may move as often as a
// new one.
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

// sendTicket sends the ticket of a request to the owner of its shard.
func (t *Table) sendTicket(now time.Time, r *row) {
	owner, ok := t.seams.Owner(r.shard)
	if !ok {
		r.owner, r.resendNotBefore = netip.AddrPort{}, now.Add(noOwnerRetryDelay)
		return
	}
	r.owner, r.ticketSent = owner, now
	t.seams.Send(owner, &wire.Ticket{
		ID:      r.id,
		Shard:   r.shard,
		Team:    r.request.Team,
		Class:   r.request.Class,
		Age:     uint32(max(0, now.Sub(r.submittedAt).Milliseconds())),
		Hops:    r.hops,
		Fixed:   r.request.Fixed || r.preemptions >= maxPreemptions,
		Blocks:  r.request.Blocks,
		Avoid:   r.avoidTarget,
		Suspect: r.request.Suspect,
		Lift:    r.ticketLift,
	})
}

// Granted takes a grant. A grant that is not for a waiting request of the
// shard, or that comes from an older owner, is returned.
func (t *Table) Granted(now time.Time, from netip.AddrPort, m *wire.Grant) {
	r := t.rows[m.ID]
	stale := m.Incarnation < t.highestIncarnation[m.Shard]
	t.Observe(m.Shard, m.Incarnation)
	if stale || r == nil || r.state != Waiting || r.shard != m.Shard {
		t.seams.Send(from, &wire.End{ID: m.ID, Shard: m.Shard, Fate: wire.FateStale})
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
	t.starts = append(t.starts, Start{ID: r.id, Target: m.Target, Grant: r.grantCount})
}

// resyncStaleOwner tells the owner of a shard that its incarnation is too low. Two hosts may
// own a shard in the same second, and what was told before the second one took it
// is lost. A host that is not the owner learns nothing, so that it stays shut out.
func (t *Table) resyncStaleOwner(now time.Time, from netip.AddrPort, shard wire.Shard) {
	if owner, ok := t.seams.Owner(shard); ok && owner == from {
		t.Resync(now, shard, from)
	}
}

// Begin is called right before the first byte goes to the target. It returns
// false if the grant is no longer good; the request then waits again.
func (t *Table) Begin(now time.Time, id, grant uint64) bool {
	r := t.rows[id]
	if r == nil || r.state != Granted || r.grantCount != grant {
		return false
	}
	if r.incarnation < t.highestIncarnation[r.shard] || now.Sub(r.grantedAt) > maxGrantAge {
		t.requeue(now, r, wire.End{Fate: wire.FateStale})
		return false
	}
	r.state, r.sentAt = Sent, now
	return true
}

// Retry ends a request's use of its slot and queues it again. Targets that
// failed it are avoided.
func (t *Table) Retry(now time.Time, id uint64, end wire.End) {
	r := t.rows[id]
	if r == nil || r.state == Waiting {
		return
	}
	switch end.Fate {
	case wire.FatePreempted:
		r.preemptions++
	case wire.FateBroken, wire.FateRefused, wire.FateSilent:
		r.avoidTarget = r.target
		r.failedAttempts++
		t.returnToWaiting(r, end)
		r.resendNotBefore = now.Add(retry.Backoff(int(r.failedAttempts), r.id))
		return
	case wire.FateDone, wire.FateWithdrawn, wire.FateStale:
	}
	t.requeue(now, r, end)
}

// Suspect marks a request as having been on a target that crashed.
func (t *Table) Suspect(id uint64) {
	if r := t.rows[id]; r != nil {
		r.request.Suspect = true
	}
}

// requeue presents a request again at once.
func (t *Table) requeue(now time.Time, r *row, end wire.End) {
	t.returnToWaiting(r, end)
	t.presentAtHomeShard(now, r)
}

// returnToWaiting puts a request back among those that returnToWaiting. No owner has its ticket.
func (t *Table) returnToWaiting(r *row, end wire.End) {
	t.sendEnd(r, end)
	if r.state == Sent && !r.request.Deadline.IsZero() {
		r.request.Deadline = r.request.Deadline.Add(r.sentAt.Sub(r.submittedAt))
	}
	r.state = Waiting
	r.owner = netip.AddrPort{}
	r.hops, r.ticketLift = 0, 0
	t.waiting++
}

// sendEnd tells the owner that a ticket no longer waits or runs.
func (t *Table) sendEnd(r *row, end wire.End) {
	if !r.owner.IsValid() {
		return
	}
	end.ID, end.Shard = r.id, r.shard
	t.seams.Send(r.owner, &end)
}

// Finish removes a request. The end carries its fate and measured cost.
func (t *Table) Finish(id uint64, end wire.End) {
	r := t.rows[id]
	if r == nil {
		return
	}
	t.sendEnd(r, end)
	t.remove(r)
}

func (t *Table) remove(r *row) {
	if r.state == Waiting {
		t.waiting--
	}
	delete(t.rows, r.id)
}

func (t *Table) refuse(r *row, reason uint8, retry time.Duration) {
	t.remove(r)
	t.refusals = append(t.refusals, Refusal{ID: r.id, Reason: reason, Retry: retry})
}

// Denied takes the refusal of a ticket.
func (t *Table) Denied(m *wire.Deny) {
	r := t.rows[m.ID]
	if r != nil && r.state == Waiting && r.shard == m.Shard {
		t.refuse(r, m.Reason, time.Duration(m.Retry)*time.Millisecond)
	}
}

// Moved presents a ticket to another place. If the place is the same one, the
// owner was not the right one, and the ticket is presented anew after a delay.
func (t *Table) Moved(now time.Time, m *wire.Move) {
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

// Preempted takes the order to cancel a running stream. A grant that is not
// used yet is given back.
func (t *Table) Preempted(now time.Time, m *wire.Preempt) {
	r := t.rows[m.ID]
	if r == nil || r.shard != m.Shard || m.Incarnation != r.incarnation {
		return
	}
	switch r.state {
	case Sent:
		t.cancels = append(t.cancels, Cancel{ID: m.ID})
	case Granted:
		r.preemptions++
		t.requeue(now, r, wire.End{Fate: wire.FatePreempted})
	case Waiting:
	}
}

// Resync tells the owner of a shard what runs here and, in paced steps, what
// waits.
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

// Lost tells that the owner of a shard cannot be reached and that no other
// owner is known. Its waiting tickets go home.
func (t *Table) Lost(now time.Time, owner netip.AddrPort) {
	for _, r := range t.sortedRows() {
		if r.state == Waiting && r.owner == owner {
			t.presentAtHomeShard(now, r)
		}
	}
}

// sortedRows returns the rows in the order of their numbers.
func (t *Table) sortedRows() []*row {
	list := make([]*row, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r)
	}
	slices.SortFunc(list, compareIDs)
	return list
}

// Tick refuses requests whose deadline passed and presents tickets that no
// owner has, at most a fixed number at once.
func (t *Table) Tick(now time.Time) {
	sends := 0
	for _, r := range t.dueRows(now) {
		if !r.request.Deadline.IsZero() && now.After(r.request.Deadline) {
			t.sendEnd(r, wire.End{Fate: wire.FateWithdrawn})
			t.refuse(r, dispatch.ReasonDeadline, refusalRetryAfter)
			continue
		}
		if sends < maxResendsPerTick {
			sends++
			t.resendTicket(now, r)
		}
	}
}

// dueRows returns the waiting requests that are past their deadline or to be
// presented, in the order of their numbers.
func (t *Table) dueRows(now time.Time) []*row {
	var list []*row
	for _, r := range t.rows {
		if r.state != Waiting {
			continue
		}
		late := !r.request.Deadline.IsZero() && now.After(r.request.Deadline)
		lost := !r.owner.IsValid() && !now.Before(r.resendNotBefore)
		if late || lost || now.Sub(r.ticketSent) > r.resendInterval {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareIDs)
	return list
}

// resendTicket presents a ticket that no owner has. A ticket at a place that cannot
// be reached goes home.
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
