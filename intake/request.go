package intake

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// State is the state of a request.
type State uint8

// Request is what a caller asks for.
type Request struct {
	Service  uint32
	Team     uint32
	Class    uint8
	Deadline time.Time // a request without a slot by then is refused
	Fixed    bool      // cannot be preempted
	Blocks   []uint32  // hash chain of the prompt's leading blocks
	Suspect  bool      // was on a target that crashed
}

// row is one request.
type row struct {
	id          uint64
	request     Request
	state       State
	shard       wire.Shard
	owner       netip.AddrPort // host that has the ticket, invalid if none has
	submittedAt   time.Time
	ticketSent   time.Time     // when the ticket was last sent
	resendInterval     time.Duration // wait until it is sent again
	resendNotBefore       time.Time     // not presented before then
	grantedAt     time.Time
	sentAt        time.Time
	incarnation uint64
	target      uint32
	avoidTarget       uint32
	hops        uint8
	ticketLift        uint64
	failedAttempts    uint8
	preemptions    int
	grantCount      uint64 // grants so far
}

// Start tells that a request has a slot on a target.
type Start struct {
	ID     uint64
	Target uint32
	Grant  uint64 // number of the grant, for Begin
}

// Refusal tells that a request gets no slot.
type Refusal struct {
	ID     uint64
	Reason uint8
	Retry  time.Duration
}

// Cancel tells that the stream of a request is to be cancelled at its target
// and its remainder queued again.
type Cancel struct {
	ID uint64
}

// Seams are the functions that a Table asks for what it does not hold.
type Seams struct {
	Owner func(shard wire.Shard) (netip.AddrPort, bool) // owner of a shard
	Home  func(service uint32) (uint32, bool)           // place to present tickets of a service to
	Send  func(to netip.AddrPort, m wire.Message)       // sends a message
}

func (r *row) running(now time.Time) wire.Running {
	return wire.Running{
		ID: r.id, Team: r.request.Team, Class: r.request.Class, Target: r.target,
		Age:   uint32(max(0, now.Sub(r.grantedAt).Milliseconds())),
		Fixed: r.request.Fixed || r.preemptions >= maxPreemptions, Suspect: r.request.Suspect,
	}
}

func compareIDs(a, b *row) int { return cmp.Compare(a.id, b.id) }
