package intake

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// State says whether a request waits for a slot, has one, or was sent to its target.
type State uint8

// Request describes a caller's request as far as scheduling needs it.
type Request struct {
	Service            uint32
	Team               uint32
	Class              uint8
	Deadline           time.Time // refused if it has no slot by then; zero for none
	NotPreemptible     bool      // must not be preempted
	PromptBlockHashes  []uint32  // hashes of the prompt's leading blocks, chained
	RanOnCrashedTarget bool      // ran on a target that crashed
}

// row is a request of the Table with its scheduling state.
type row struct {
	id              uint64
	request         Request
	state           State
	shard           wire.Shard
	owner           netip.AddrPort // host that holds the ticket, invalid if none does
	submittedAt     time.Time
	ticketSent      time.Time     // when the ticket was last sent to an owner
	resendInterval  time.Duration // time after which an unanswered ticket is sent again
	resendNotBefore time.Time     // earliest time to send a ticket that no owner holds
	grantedAt       time.Time
	sentAt          time.Time
	incarnation     uint64
	target          uint32
	avoidTarget     uint32
	hops            uint8
	ticketLift      uint64
	failedAttempts  uint8
	preemptions     int
	grantCount      uint64 // number of grants received so far
}

// StartCommand is the command to send a request to a target on which it has a slot.
type StartCommand struct {
	ID     uint64
	Target uint32
	Grant  uint64 // number of the grant, to be passed to Table.Begin
}

// Refusal is the command to refuse a request that gets no slot. Reason is a Reason
// constant of package dispatch; the caller may try again after Retry.
type Refusal struct {
	ID     uint64
	Reason uint8
	Retry  time.Duration
}

// CancelCommand is the command to cancel the stream of a preempted request at its target
// and to queue the rest of the request again.
type CancelCommand struct {
	ID uint64
}

// Dependencies are the functions with which a Table looks up shards and sends messages.
type Dependencies struct {
	Owner func(shard wire.Shard) (netip.AddrPort, bool) // host that owns a shard, false if it is unknown or unreachable
	Home  func(service uint32) (uint32, bool)           // place of the service's home shard, false if it has none
	Send  func(to netip.AddrPort, m wire.Message)       // sends a message to a host
}

// running returns the row as it is reported to the owner of its shard.
func (r *row) running(now time.Time) wire.RunningRequest {
	return wire.RunningRequest{
		ID: r.id, Team: r.request.Team, Urgency: r.request.Class, Target: r.target,
		Age:   uint32(max(0, now.Sub(r.grantedAt).Milliseconds())),
		Fixed: r.request.NotPreemptible || r.preemptions >= maxPreemptions, Suspect: r.request.RanOnCrashedTarget,
	}
}

// compareIDs orders rows by the number of the request.
func compareIDs(a, b *row) int { return cmp.Compare(a.id, b.id) }
