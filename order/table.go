package order

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	batchOps      = 32                     // writes in one transaction at most
	maxCommits    = 2                      // transactions under way at most
	retryDelay    = 50 * time.Millisecond  // pause after the table refused or did not answer
	readDelay     = 500 * time.Millisecond // pause after a failed read
	forwardLimit  = time.Second            // longest wait for a peer's verdict
	shunFor       = 3 * time.Second        // time for which peers are asked first after the table did not answer
	voidLife      = 10 * time.Minute       // for which a claim of unknown effect is tried to be voided
	voidDelay     = time.Second            // pause before the first try
	maxVoids      = 4096                   // claims to be voided that are kept
	commitTimeout = 5 * time.Second        // a commit without result by then counts as lost
	voidToken     = "-void"                // suffix of the token that voids a claim
)

// Ref names who waits for a verdict: a request of this host, or a peer's call.
type Ref struct {
	ID   uint64
	Peer netip.AddrPort // invalid for a request of this host
}

// Commit is the command to carry out writes in one transaction.
type Commit struct {
	ID  uint64
	Ops []Op
}

// Read is the command to read back one record.
type Read struct {
	ID   uint64
	Name string
}

// Forward is the command to ask a peer to carry out a write.
type Forward struct {
	ID   uint64
	Peer netip.AddrPort
	Op   Op
}

// Answer is a verdict for who waits for it.
type Answer struct {
	Ref     Ref
	Verdict Verdict
}

// Result is how a commit ended.
type Result uint8

// The results of a commit.
const (
	Written  Result = iota // all writes took effect
	Conflict               // none did, as conditions did not hold
	Busy                   // none did, as the table refused for its rate
	Lost                   // unknown: no answer
)

// phase is where an operation is.
type phase uint8

const (
	queued phase = iota
	committing
	reading
	forwarded
)

// row is one operation.
type row struct {
	id       uint64
	ref      Ref
	op       Op
	phase    phase
	deadline time.Time
	next     time.Time // not tried before then
	since    time.Time // when the present phase began
	voiding  bool      // nobody waits; it undoes a claim of unknown effect
	tries    int
}

// Table holds the operations under way.
type Table struct {
	rows    map[uint64]*row
	commits map[uint64][]uint64 // rows by commit
	began   map[uint64]time.Time
	last    uint64
	shun    time.Time // peers are asked first until then
	peers   func() []netip.AddrPort

	commitsOut  []Commit
	readsOut    []Read
	forwardsOut []Forward
	answers     []Answer
}

// NewTable returns an empty Table. peers returns the hosts that may reach the
// platform where this one does not, in the order to ask them.
func NewTable(peers func() []netip.AddrPort) *Table {
	return &Table{
		rows: map[uint64]*row{}, commits: map[uint64][]uint64{}, began: map[uint64]time.Time{}, peers: peers,
	}
}

// Count returns the number of operations under way.
func (t *Table) Count() int { return len(t.rows) }

// Drain returns the commands and answers since the last call.
func (t *Table) Drain() (commits []Commit, reads []Read, forwards []Forward, answers []Answer) {
	commits, reads, forwards, answers = t.commitsOut, t.readsOut, t.forwardsOut, t.answers
	t.commitsOut, t.readsOut, t.forwardsOut, t.answers = nil, nil, nil, nil
	return commits, reads, forwards, answers
}

// Write queues a conditional write. Its answer comes by the deadline.
func (t *Table) Write(now time.Time, ref Ref, op Op, deadline time.Time) {
	t.add(now, &row{ref: ref, op: op, deadline: deadline})
	t.Tick(now)
}

func (t *Table) add(now time.Time, r *row) {
	t.last++
	r.id, r.since = t.last, now
	t.rows[r.id] = r
}

// Committed takes the result of a commit. If it is Conflict, failed names the
// records whose conditions did not hold.
func (t *Table) Committed(now time.Time, id uint64, result Result, version uint64, failed []string) {
	t.resolve(now, id, result, version, failed)
	t.Tick(now)
}

func (t *Table) resolve(now time.Time, id uint64, result Result, version uint64, failed []string) {
	ids := t.commits[id]
	delete(t.commits, id)
	delete(t.began, id)
	if result == Lost {
		t.shun = now.Add(shunFor)
	}
	for _, rowID := range ids {
		r := t.rows[rowID]
		if r == nil || r.phase != committing {
			continue
		}
		switch {
		case result == Written:
			t.finish(r, Verdict{Won: true, Version: version, Record: r.op.Record})
		case result == Conflict && slices.Contains(failed, r.op.Name):
			t.read(now, r)
		case result == Conflict:
			t.queue(r, now)
		default:
			t.queue(r, now.Add(retryDelay))
		}
	}
}

func (t *Table) queue(r *row, next time.Time) {
	r.phase, r.next = queued, next
	r.tries++
}

func (t *Table) read(now time.Time, r *row) {
	r.phase, r.since = reading, now
	t.readsOut = append(t.readsOut, Read{ID: r.id, Name: r.op.Name})
}

// ReadBack takes the result of a read. Version 0 means that there is no record.
func (t *Table) ReadBack(now time.Time, id uint64, record Record, version uint64, failed bool) {
	r := t.rows[id]
	if r == nil || r.phase != reading {
		return
	}
	switch {
	case failed:
		t.shun = now.Add(shunFor)
		t.queue(r, now.Add(readDelay))
	case version == 0 && r.op.Expect == 0:
		t.queue(r, now)
	case record.Token == r.op.Record.Token && record.State == r.op.Record.State:
		t.finish(r, Verdict{Won: true, Version: version, Record: record})
	case r.voiding && record.Token+voidToken == r.op.Record.Token && record.State == Claimed:
		r.op.Expect = version
		t.queue(r, now)
	default:
		t.finish(r, Verdict{Version: version, Record: record})
	}
	t.Tick(now)
}

// Forwarded takes a peer's verdict.
func (t *Table) Forwarded(now time.Time, id uint64, v Verdict) {
	r := t.rows[id]
	if r == nil || r.phase != forwarded {
		return
	}
	if v.Failed {
		t.queue(r, now.Add(retryDelay))
		t.Tick(now)
		return
	}
	t.finish(r, v)
}

// finish answers who waits.
func (t *Table) finish(r *row, v Verdict) {
	delete(t.rows, r.id)
	if !r.voiding {
		t.answers = append(t.answers, Answer{Ref: r.ref, Verdict: v})
	}
}

// Tick starts what is due and gives up what is late.
func (t *Table) Tick(now time.Time) {
	for id, began := range t.began {
		if now.Sub(began) > commitTimeout {
			t.resolve(now, id, Lost, 0, nil)
		}
	}
	var due []*row
	for _, r := range t.sorted() {
		if now.After(r.deadline) {
			t.giveUp(now, r)
			continue
		}
		if r.phase == forwarded && now.Sub(r.since) > forwardLimit {
			t.queue(r, now)
		}
		if r.phase == queued && !now.Before(r.next) {
			due = append(due, r)
		}
	}
	t.start(now, due)
}

func (t *Table) sorted() []*row {
	list := make([]*row, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *row) int { return cmp.Compare(a.id, b.id) })
	return list
}

// start commits what is due, or asks peers while the table does not answer.
func (t *Table) start(now time.Time, due []*row) {
	if len(due) == 0 {
		return
	}
	var direct []*row
	peers := t.peers()
	for _, r := range due {
		if now.Before(t.shun) && !r.ref.Peer.IsValid() && len(peers) > 0 && r.tries%2 == 1 {
			t.forward(now, r, peers[(r.tries/2)%len(peers)])
			continue
		}
		direct = append(direct, r)
	}
	for len(direct) > 0 && len(t.commits) < maxCommits {
		n := fitting(direct)
		t.commit(now, direct[:n])
		direct = direct[n:]
	}
}

// fitting returns how many of the operations fit into one transaction, which
// writes no record twice.
func fitting(list []*row) int {
	names := map[string]bool{}
	for i, r := range list {
		if i == batchOps || names[r.op.Name] {
			return i
		}
		names[r.op.Name] = true
	}
	return len(list)
}

func (t *Table) commit(now time.Time, list []*row) {
	t.last++
	c := Commit{ID: t.last}
	for _, r := range list {
		r.phase, r.since = committing, now
		c.Ops = append(c.Ops, r.op)
		t.commits[c.ID] = append(t.commits[c.ID], r.id)
	}
	t.began[c.ID] = now
	t.commitsOut = append(t.commitsOut, c)
}

func (t *Table) forward(now time.Time, r *row, peer netip.AddrPort) {
	r.phase, r.since = forwarded, now
	t.forwardsOut = append(t.forwardsOut, Forward{ID: r.id, Peer: peer, Op: r.op})
}

// giveUp answers that the table was not reached. A claim that may have taken
// effect is voided later, so that the order can be claimed again.
func (t *Table) giveUp(now time.Time, r *row) {
	t.finish(r, Verdict{Failed: true})
	claim := r.op.Record.State == Claimed && !r.ref.Peer.IsValid()
	if r.voiding || !claim || len(t.rows) >= maxVoids {
		return
	}
	void := r.op
	void.Record.Token += voidToken
	void.Record.State = Void
	t.add(now, &row{op: void, voiding: true, deadline: now.Add(voidLife), next: now.Add(voidDelay)})
}
