package order

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Limits and delays of the operations of a Table.
const (
	maxBatchOps     = 32                     // writes in one transaction
	maxCommits      = 2                      // transactions under way
	retryDelay      = 50 * time.Millisecond  // pause after the table was busy or did not answer
	readDelay       = 500 * time.Millisecond // pause after a failed read
	forwardTimeout  = time.Second            // longest wait for a peer's verdict
	peersFirstFor   = 3 * time.Second        // time for which peers are asked first after the table did not answer
	voidTimeout     = 10 * time.Minute       // how long voiding a claim of unknown effect is tried
	firstVoidDelay  = time.Second            // pause before the first try
	maxVoids        = 4096                   // no claim is voided while this many operations are under way
	commitTimeout   = 5 * time.Second        // a commit without result by then counts as lost
	voidTokenSuffix = "-void"                // appended to the token of the claim that is voided
)

// Ref names who waits for an Answer: a request of this host or a call of a peer.
type Ref struct {
	ID   uint64         // number of the request or call
	Peer netip.AddrPort // invalid for a request of this host
}

// Commit is the command to do writes in one transaction.
type Commit struct {
	ID  uint64
	Ops []Op
}

// Read is the command to read one record back.
type Read struct {
	ID   uint64
	Name string
}

// Forward is the command to have a peer do a write.
type Forward struct {
	ID   uint64
	Peer netip.AddrPort
	Op   Op
}

// Answer is the result of an operation on an order, for the one who waits for it.
type Answer struct {
	Ref     Ref
	Verdict Verdict
}

// Result is the outcome of a transaction.
type Result uint8

// Outcomes of a transaction.
const (
	Written    Result = iota // all writes took effect
	Conflict                 // no write took effect, as conditions did not hold
	Busy                     // no write took effect, as the table limited the rate
	Unanswered               // no answer: whether the writes took effect is unknown
)

// phase is what an operation waits for.
type phase uint8

// Phases of an operation, each with what the operation waits for.
const (
	queued     phase = iota // for its next try
	committing              // for the result of a transaction
	reading                 // for the record read back
	forwarded               // for the answer of a peer
)

// operation is a conditional write under way.
type operation struct {
	id             uint64
	ref            Ref
	op             Op
	phase          phase
	deadline       time.Time // when it is given up
	notBefore      time.Time // earliest time of the next try
	phaseStartedAt time.Time
	voiding        bool // voids a claim of unknown effect; nobody waits for the answer
	tries          int  // times that it was queued again
}

// Table holds the conditional writes under way. It is driven by calls with the current time and
// the results of its commands.
type Table struct {
	operations         map[uint64]*operation   // by ID
	operationsByCommit map[uint64][]uint64     // IDs of the operations of a transaction
	commitStartedAt    map[uint64]time.Time    // by transaction
	lastID             uint64                  // of operations and transactions
	peersFirstUntil    time.Time               // peers are asked first until then, as the table did not answer
	peers              func() []netip.AddrPort // see NewTable

	pendingCommits  []Commit
	pendingReads    []Read
	pendingForwards []Forward
	pendingAnswers  []Answer
}

// NewTable returns an empty Table. peers returns the hosts that may reach the platform while this
// one does not, in the order in which they are asked.
func NewTable(peers func() []netip.AddrPort) *Table {
	return &Table{
		operations: map[uint64]*operation{}, operationsByCommit: map[uint64][]uint64{},
		commitStartedAt: map[uint64]time.Time{}, peers: peers,
	}
}

// Count returns the number of operations under way.
func (t *Table) Count() int { return len(t.operations) }

// Drain returns the commands and answers since the last call and removes them.
func (t *Table) Drain() (commits []Commit, reads []Read, forwards []Forward, answers []Answer) {
	commits, reads, forwards, answers = t.pendingCommits, t.pendingReads, t.pendingForwards, t.pendingAnswers
	t.pendingCommits, t.pendingReads, t.pendingForwards, t.pendingAnswers = nil, nil, nil, nil
	return commits, reads, forwards, answers
}

// Write starts a conditional write. Its answer is given once the deadline has passed at the
// latest.
func (t *Table) Write(now time.Time, ref Ref, op Op, deadline time.Time) {
	t.add(now, &operation{ref: ref, op: op, deadline: deadline})
	t.Tick(now)
}

// add enters an operation under a new ID.
func (t *Table) add(now time.Time, r *operation) {
	t.lastID++
	r.id, r.phaseStartedAt = t.lastID, now
	t.operations[r.id] = r
}

// Committed takes the result of a transaction. If it is Conflict, failed names the records whose
// conditions did not hold.
func (t *Table) Committed(now time.Time, id uint64, result Result, version uint64, failed []string) {
	t.resolveCommit(now, id, result, version, failed)
	t.Tick(now)
}

// resolveCommit moves the operations of a transaction on: after success they are answered; after
// a conflict those whose condition failed read their record back, and the others are tried again.
func (t *Table) resolveCommit(now time.Time, id uint64, result Result, version uint64, failed []string) {
	ids := t.operationsByCommit[id]
	delete(t.operationsByCommit, id)
	delete(t.commitStartedAt, id)
	if result == Unanswered {
		t.peersFirstUntil = now.Add(peersFirstFor)
	}
	for _, operationID := range ids {
		r := t.operations[operationID]
		if r == nil || r.phase != committing {
			continue
		}
		switch {
		case result == Written:
			t.finish(r, Verdict{Won: true, Version: version, Record: r.op.Record})
		case result == Conflict && slices.Contains(failed, r.op.Name):
			t.requestRead(now, r)
		case result == Conflict:
			t.requeue(r, now)
		default:
			t.requeue(r, now.Add(retryDelay))
		}
	}
}

// requeue makes an operation wait for its next try.
func (t *Table) requeue(r *operation, next time.Time) {
	r.phase, r.notBefore = queued, next
	r.tries++
}

// requestRead asks for the record of an operation, to find out whether its write took effect.
func (t *Table) requestRead(now time.Time, r *operation) {
	r.phase, r.phaseStartedAt = reading, now
	t.pendingReads = append(t.pendingReads, Read{ID: r.id, Name: r.op.Name})
}

// ReadBack takes the record that a Read command asked for. Version 0 means that there is no
// record. A record with the token and state of the operation shows that its write took effect.
func (t *Table) ReadBack(now time.Time, id uint64, record Record, version uint64, failed bool) {
	r := t.operations[id]
	if r == nil || r.phase != reading {
		return
	}
	switch {
	case failed:
		t.peersFirstUntil = now.Add(peersFirstFor)
		t.requeue(r, now.Add(readDelay))
	case version == 0:
		r.op.ExpectedVersion = 0 // the store came back from a copy without the record, if there was one
		t.requeue(r, now)
	case record.Token == r.op.Record.Token && record.State == r.op.Record.State:
		t.finish(r, Verdict{Won: true, Version: version, Record: record})
	case r.voiding && record.Token+voidTokenSuffix == r.op.Record.Token && record.State == Claimed:
		r.op.ExpectedVersion = version
		t.requeue(r, now)
	default:
		t.finish(r, Verdict{Version: version, Record: record})
	}
	t.Tick(now)
}

// PeerAnswered handles the answer of a peer that was asked to do a write.
func (t *Table) PeerAnswered(now time.Time, id uint64, v Verdict) {
	r := t.operations[id]
	if r == nil || r.phase != forwarded {
		return
	}
	if v.Unreached {
		t.requeue(r, now.Add(retryDelay))
		t.Tick(now)
		return
	}
	t.finish(r, v)
}

// finish removes an operation and answers the one who waits for it.
func (t *Table) finish(r *operation, v Verdict) {
	delete(t.operations, r.id)
	if !r.voiding {
		t.pendingAnswers = append(t.pendingAnswers, Answer{Ref: r.ref, Verdict: v})
	}
}

// Tick starts the operations that are due and ends those whose deadline has passed.
func (t *Table) Tick(now time.Time) {
	for id, began := range t.commitStartedAt {
		if now.Sub(began) > commitTimeout {
			t.resolveCommit(now, id, Unanswered, 0, nil)
		}
	}
	var due []*operation
	for _, r := range t.sortedOperations() {
		if now.After(r.deadline) {
			t.expire(now, r)
			continue
		}
		if r.phase == forwarded && now.Sub(r.phaseStartedAt) > forwardTimeout {
			t.requeue(r, now)
		}
		if r.phase == queued && !now.Before(r.notBefore) {
			due = append(due, r)
		}
	}
	t.startDue(now, due)
}

// sortedOperations returns the operations by ID, so that runs are reproducible.
func (t *Table) sortedOperations() []*operation {
	list := make([]*operation, 0, len(t.operations))
	for _, r := range t.operations {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *operation) int { return cmp.Compare(a.id, b.id) })
	return list
}

// startDue puts due operations into transactions. While the table does not answer, every other
// try of an operation of this host asks a peer instead.
func (t *Table) startDue(now time.Time, due []*operation) {
	if len(due) == 0 {
		return
	}
	var direct []*operation
	peers := t.peers()
	for _, r := range due {
		if now.Before(t.peersFirstUntil) && !r.ref.Peer.IsValid() && len(peers) > 0 && r.tries%2 == 1 {
			t.forward(now, r, peers[(r.tries/2)%len(peers)])
			continue
		}
		direct = append(direct, r)
	}
	for len(direct) > 0 && len(t.operationsByCommit) < maxCommits {
		n := batchLength(direct)
		t.commit(now, direct[:n])
		direct = direct[n:]
	}
}

// batchLength returns how many of the first operations fit into one transaction, which writes no
// record twice.
func batchLength(list []*operation) int {
	names := map[string]bool{}
	for i, r := range list {
		if i == maxBatchOps || names[r.op.Name] {
			return i
		}
		names[r.op.Name] = true
	}
	return len(list)
}

// commit starts a transaction.
func (t *Table) commit(now time.Time, list []*operation) {
	t.lastID++
	c := Commit{ID: t.lastID}
	for _, r := range list {
		r.phase, r.phaseStartedAt = committing, now
		c.Ops = append(c.Ops, r.op)
		t.operationsByCommit[c.ID] = append(t.operationsByCommit[c.ID], r.id)
	}
	t.commitStartedAt[c.ID] = now
	t.pendingCommits = append(t.pendingCommits, c)
}

// forward asks a peer to do the write of an operation.
func (t *Table) forward(now time.Time, r *operation, peer netip.AddrPort) {
	r.phase, r.phaseStartedAt = forwarded, now
	t.pendingForwards = append(t.pendingForwards, Forward{ID: r.id, Peer: peer, Op: r.op})
}

// expire answers that the table was not reached. If the operation is a claim that may have taken
// effect, it is voided later, so that the order can be claimed again.
func (t *Table) expire(now time.Time, r *operation) {
	t.finish(r, Verdict{Unreached: true})
	claim := r.op.Record.State == Claimed && !r.ref.Peer.IsValid()
	if r.voiding || !claim || len(t.operations) >= maxVoids {
		return
	}
	void := r.op
	void.Record.Token += voidTokenSuffix
	void.Record.State = Void
	t.add(now, &operation{op: void, voiding: true, deadline: now.Add(voidTimeout), notBefore: now.Add(firstVoidDelay)})
}
