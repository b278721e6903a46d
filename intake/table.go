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
	grantLife     = time.Second // a grant not used by then is stale
	resendDelay   = 50 * time.Millisecond
	renewAfter    = 2 * time.Second // a ticket that waits this long is sent again, then after twice the time
	resendsATick  = 200             // tickets sent again in one tick at most, for paced recovery
	maxPreempts   = 2               // preemptions of one request before it is fixed
	refusedRetry  = time.Second
	unplacedDelay = 200 * time.Millisecond
)

// Table holds the requests of one entry host.
type Table struct {
	seams    Seams
	rows     map[uint64]*row
	waiting  int
	last     uint64
	known    map[wire.Shard]uint64 // highest incarnation of each shard
	starts   []Start
	refusals []Refusal
	cancels  []Cancel
}

// NewTable returns an empty Table. Numbers of requests start above first.
func NewTable(seams Seams, first uint64) *Table {
	return &Table{seams: seams, rows: map[uint64]*row{}, known: map[wire.Shard]uint64{}, last: first}
}

// Count returns the number of waiting requests and of all requests.
func (t *Table) Count() (waiting, all int) { return t.waiting, len(t.rows) }

// Known returns the highest incarnation of a shard's owner that was heard of.
func (t *Table) Known(shard wire.Shard) uint64 { return t.known[shard] }

// Observe takes the incarnation of a shard's owner.
func (t *Table) Observe(shard wire.Shard, incarnation uint64) {
	t.known[shard] = max(t.known[shard], incarnation)
}

// Drain returns the commands since the last call.
func (t *Table) Drain() ([]Start, []Refusal, []Cancel) {
	starts, refusals, cancels := t.starts, t.refusals, t.cancels
	t.starts, t.refusals, t.cancels = nil, nil, nil
	return starts, refusals, cancels
}

// Submit enters a request and returns its number.
func (t *Table) Submit(now time.Time, request Request) uint64 {
	t.last++
	r := &row{id: t.last, request: request, submitted: now}
	t.rows[r.id] = r
	t.waiting++
	t.goHome(now, r)
	return r.id
}

// goHome presents a request to its home shard, from where it may move as often as a
// new one.
func (t *Table) goHome(now time.Time, r *row) {
	r.owner = netip.AddrPort{}
	r.hops, r.lift = 0, 0
	place, ok := t.seams.Home(r.request.Service)
	if !ok {
		t.refuse(r, dispatch.ReasonNoTarget, refusedRetry)
		return
	}
	r.shard = wire.Shard{Service: r.request.Service, Place: place}
	r.renewal = renewAfter
	t.present(now, r)
}

// present sends the ticket of a request to the owner of its shard.
func (t *Table) present(now time.Time, r *row) {
	owner, ok := t.seams.Owner(r.shard)
	if !ok {
		r.owner, r.retry = netip.AddrPort{}, now.Add(unplacedDelay)
		return
	}
	r.owner, r.presented = owner, now
	t.seams.Send(owner, &wire.Ticket{
		ID:          r.id,
		Shard:       r.shard,
		Team:        r.request.Team,
		Urgency:     r.request.Class,
		Age:         uint32(max(0, now.Sub(r.submitted).Milliseconds())),
		Hops:        r.hops,
		Fixed:       r.request.Fixed || r.preempts >= maxPreempts,
		Blocks:      r.request.Blocks,
		AvoidTarget: r.avoid,
		Suspect:     r.request.Suspect,
		Lift:        r.lift,
	})
}

// Granted takes a grant. A grant that is not for a waiting request of the
// shard, or that comes from an older owner, is returned.
func (t *Table) Granted(now time.Time, from netip.AddrPort, m *wire.Grant) {
	r := t.rows[m.ID]
	stale := m.Incarnation < t.known[m.Shard]
	t.Observe(m.Shard, m.Incarnation)
	if stale || r == nil || r.state != Waiting || r.shard != m.Shard {
		t.seams.Send(from, &wire.End{ID: m.ID, Shard: m.Shard, Fate: wire.FateStale})
		if r != nil && r.state == Waiting && r.shard == m.Shard {
			r.owner, r.retry = netip.AddrPort{}, now.Add(resendDelay)
		}
		if stale {
			t.correct(now, from, m.Shard)
		}
		return
	}
	r.state, r.owner, r.granted = Granted, from, now
	r.incarnation, r.target = m.Incarnation, m.Target
	t.waiting--
	r.grants++
	t.starts = append(t.starts, Start{ID: r.id, Target: m.Target, Grant: r.grants})
}

// correct tells the owner of a shard that its incarnation is too low. Two hosts may
// own a shard in the same second, and what was told before the second one took it
// is lost. A host that is not the owner learns nothing, so that it stays shut out.
func (t *Table) correct(now time.Time, from netip.AddrPort, shard wire.Shard) {
	if owner, ok := t.seams.Owner(shard); ok && owner == from {
		t.Resync(now, shard, from)
	}
}

// Begin is called right before the first byte goes to the target. It returns
// false if the grant is no longer good; the request then waits again.
func (t *Table) Begin(now time.Time, id, grant uint64) bool {
	r := t.rows[id]
	if r == nil || r.state != Granted || r.grants != grant {
		return false
	}
	if r.incarnation < t.known[r.shard] || now.Sub(r.granted) > grantLife {
		t.requeue(now, r, wire.End{Fate: wire.FateStale})
		return false
	}
	r.state, r.sent = Sent, now
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
		r.preempts++
	case wire.FateBroken, wire.FateRefused, wire.FateSilent:
		r.avoid = r.target
		r.attempts++
		t.wait(r, end)
		r.retry = now.Add(retry.Backoff(int(r.attempts), r.id))
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
	t.wait(r, end)
	t.goHome(now, r)
}

// wait puts a request back among those that wait. No owner has its ticket.
func (t *Table) wait(r *row, end wire.End) {
	t.report(r, end)
	if r.state == Sent && !r.request.Deadline.IsZero() {
		r.request.Deadline = r.request.Deadline.Add(r.sent.Sub(r.submitted))
	}
	r.state = Waiting
	r.owner = netip.AddrPort{}
	r.hops, r.lift = 0, 0
	t.waiting++
}

// report tells the owner that a ticket no longer waits or runs.
func (t *Table) report(r *row, end wire.End) {
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
	t.report(r, end)
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
		t.refuse(r, m.Reason, time.Duration(m.RetryAfter)*time.Millisecond)
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
		r.owner, r.retry = netip.AddrPort{}, now.Add(resendDelay)
		return
	}
	r.hops++
	r.shard.Place = m.Place
	r.lift = m.Lift
	t.present(now, r)
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
		r.preempts++
		t.requeue(now, r, wire.End{Fate: wire.FatePreempted})
	case Waiting:
	}
}

// Resync tells the owner of a shard what runs here and, in paced steps, what
// waits.
func (t *Table) Resync(now time.Time, shard wire.Shard, owner netip.AddrPort) {
	m := &wire.Resync{Shard: shard, Known: t.known[shard]}
	for _, r := range t.sorted() {
		if r.shard != shard {
			continue
		}
		if r.state == Waiting {
			r.owner, r.retry = netip.AddrPort{}, now
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
	for _, r := range t.sorted() {
		if r.state == Waiting && r.owner == owner {
			t.goHome(now, r)
		}
	}
}

// sorted returns the rows in the order of their numbers.
func (t *Table) sorted() []*row {
	list := make([]*row, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r)
	}
	slices.SortFunc(list, byID)
	return list
}

// Tick refuses requests whose deadline passed and presents tickets that no
// owner has, at most a fixed number at once.
func (t *Table) Tick(now time.Time) {
	sends := 0
	for _, r := range t.due(now) {
		if !r.request.Deadline.IsZero() && now.After(r.request.Deadline) {
			t.report(r, wire.End{Fate: wire.FateWithdrawn})
			t.refuse(r, dispatch.ReasonDeadline, refusedRetry)
			continue
		}
		if sends < resendsATick {
			sends++
			t.again(now, r)
		}
	}
}

// due returns the waiting requests that are past their deadline or to be
// presented, in the order of their numbers.
func (t *Table) due(now time.Time) []*row {
	var list []*row
	for _, r := range t.rows {
		if r.state != Waiting {
			continue
		}
		late := !r.request.Deadline.IsZero() && now.After(r.request.Deadline)
		lost := !r.owner.IsValid() && !now.Before(r.retry)
		if late || lost || now.Sub(r.presented) > r.renewal {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, byID)
	return list
}

// again presents a ticket that no owner has. A ticket at a place that cannot
// be reached goes home.
func (t *Table) again(now time.Time, r *row) {
	if _, ok := t.seams.Owner(r.shard); !ok {
		t.goHome(now, r)
		return
	}
	if r.owner.IsValid() {
		r.renewal *= 2
	}
	t.present(now, r)
}
