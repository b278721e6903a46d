// Package wire defines the messages that hosts exchange and the authenticated TCP
// sessions that carry them.
//
// Messages are msgpack arrays, so the order and types of their fields are part of
// the protocol. Most messages refer to objects of the configuration by the numbers
// that the catalog assigned, which keeps a ticket within a few dozen bytes.
package wire

import "net/netip"

// Kind identifies the type of a message. Its byte precedes each message in a frame.
type Kind uint8

// The kinds of messages. Their values are part of the protocol.
const (
	KindHeartbeat      Kind = 1
	KindRoster         Kind = 2
	KindTicket         Kind = 3
	KindGrant          Kind = 4
	KindDenial         Kind = 5
	KindRequestEnd     Kind = 6
	KindMoveTicket     Kind = 7
	KindPreemptStream  Kind = 8
	KindShardState     Kind = 9
	KindPullTickets    Kind = 10
	KindResync         Kind = 11
	KindConfigRequest  Kind = 12
	KindConfigSnapshot Kind = 13
	KindConfigSteps    Kind = 14
	KindCrashReport    Kind = 15
	KindOrderRequest   Kind = 16
	KindOrderResponse  Kind = 17
	KindHostState      Kind = 18
	KindQuery          Kind = 19
	KindReply          Kind = 20
	KindSlotRequest    Kind = 21
	KindSlotResponse   Kind = 22
	KindLeaseUpdate    Kind = 23
	KindLeaseList      Kind = 24
	KindPromptPlaced   Kind = 25

	KindDeparture Kind = 26

	KindTargetCrash    Kind = 27
	KindTraitsAnswered Kind = 28
	KindTraitsProbed   Kind = 29
	KindTraitsKnown    Kind = 30
	KindTraitsHeld     Kind = 31

	KindVersionSlotRequest Kind = 32

	kindLimit = 33 // one more than the highest kind
)

// kindNames holds the name of each kind, as metrics show it.
var kindNames = [kindLimit]string{
	KindHeartbeat: "beat", KindRoster: "roster", KindTicket: "ticket", KindGrant: "grant", KindDenial: "deny",
	KindRequestEnd: "end", KindMoveTicket: "move", KindPreemptStream: "preempt", KindShardState: "totals", KindPullTickets: "pull",
	KindResync: "resync", KindConfigRequest: "ask", KindConfigSnapshot: "snapshot", KindConfigSteps: "steps",
	KindCrashReport: "suspect", KindOrderRequest: "claim", KindOrderResponse: "claimed", KindHostState: "news",
	KindQuery: "query", KindReply: "reply", KindSlotRequest: "enquiry", KindSlotResponse: "verdict",
	KindLeaseUpdate: "progress", KindLeaseList: "leases", KindPromptPlaced: "kept",
	KindDeparture: "departure", KindTargetCrash: "crash", KindTraitsAnswered: "answered", KindTraitsProbed: "probed",
	KindTraitsKnown: "known", KindTraitsHeld: "held",
	KindVersionSlotRequest: "bound",
}

// String returns the name of the kind, or "unknown".
func (k Kind) String() string {
	if k >= kindLimit || kindNames[k] == "" {
		return "unknown"
	}
	return kindNames[k]
}

// Message is implemented by pointers to the message types of this package.
type Message interface {
	// Kind returns the kind of the message.
	Kind() Kind
}

// Shard identifies the queue of one service in one place.
type Shard struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service uint32 // number of the service in the catalog
	Place   uint32 // number of the place in the catalog
}

// Heartbeat is the heartbeat by which a host tells others that it is alive.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"`

	Revision uint64 // configuration revision in force at the sender
	Leaving  bool   // the sender is shutting down
	Rosters  uint32 // digest of the rosters of other places that the sender has
	Place    uint32 // hash of the name of the sender's place
}

// Member is one live host of a place.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"`

	Address netip.AddrPort // address that peers connect to
	Boot    uint64         // start time of the process in Unix milliseconds
	Leaving bool           // the host is shutting down and becomes owner of no more shards
}

// Roster lists the live hosts of one place, as seen by the host that leads the place.
type Roster struct {
	_msgpack struct{} `msgpack:",as_array"`

	Place          uint32 // number of the place in the catalog
	Version        uint64 // Unix milliseconds at the sender; a higher version replaces a lower one
	Revision       uint64 // configuration revision in force at the sender
	MembersOmitted bool   // Members is omitted as the receiver has them; Digest identifies them
	WantsMembers   bool   // the sender asks for the members of the receiver's place
	Digest         uint32 // hash of the members
	Members        []Member
}

// Ticket asks the owner of a shard, the host that assigns its slots, for a slot.
type Ticket struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID          uint64 // number of the request at the sending host
	Shard       Shard
	Team        uint32
	Urgency     uint8    // urgency: 0 urgent, 1 normal, 2 bulk
	Age         uint32   // time that the request has waited, in milliseconds
	Hops        uint8    // number of shards at which the ticket waited before
	Fixed       bool     // the request cannot be preempted
	Blocks      []uint32 // chained hashes of the prompt's leading blocks, to find cached prefixes
	AvoidTarget uint32   // number of a target that must not be used, 0 for none
	Suspect     bool     // a target crashed while it ran the request
	Lift        uint64   // lift of the team at the shard where the ticket waited before, see TeamUsage
}

// Grant assigns a slot on a target to a ticket.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID          uint64
	Shard       Shard
	Incarnation uint64 // rises each time that the shard changes its owner
	Target      uint32 // number of the target
}

// Denial rejects a ticket.
type Denial struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID         uint64
	Shard      Shard
	Reason     uint8  // code of the reason
	RetryAfter uint32 // delay in milliseconds after which the caller may retry
}

// Outcome says how a waiting or granted ticket ended.
type Outcome uint8

// The outcomes of a ticket. Their values are part of the protocol.
const (
	OutcomeCompleted      Outcome = 0 // the target completed the response
	OutcomeCanceled       Outcome = 1 // the caller disconnected or the deadline passed
	OutcomeRejected       Outcome = 2 // the target rejected the request before running it
	OutcomeConnectionLost Outcome = 3 // the connection or the stream broke
	OutcomeStaleGrant     Outcome = 4 // the grant came from a former owner or too late
	OutcomePreempted      Outcome = 5 // the stream was cancelled in favour of an urgent ticket
	OutcomeTimedOut       Outcome = 6 // the target did not respond in time
)

// RequestEnd tells the owner of a shard that a ticket no longer waits or runs.
type RequestEnd struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID            uint64
	Shard         Shard
	Outcome       Outcome
	Cost          uint64 // measured cost of the request in cost units of the service
	TokenInterval uint32 // mean time between tokens in microseconds, 0 if unknown
	FirstByte     uint32 // time to the first byte of the response in milliseconds
}

// MoveTicket tells the host of a ticket to submit it to the service's shard in another place.
type MoveTicket struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID    uint64
	Shard Shard
	Place uint32 // number of the place to submit it to
	Lift  uint64 // lift of the team at the sender, see TeamUsage
}

// PreemptStream tells the host of a running stream to cancel it and queue the rest of the request.
type PreemptStream struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID          uint64
	Shard       Shard
	Incarnation uint64
}

// TeamUsage is the service that one team received at one shard.
type TeamUsage struct {
	_msgpack struct{} `msgpack:",as_array"`

	Team    uint32
	Served  uint64 // measured cost of completed requests in cost units
	Charged uint64 // estimated cost so far of running streams in cost units
	Lift    uint64 // virtual service added to the team's own in the whole fleet, so that a team that was idle gets no advantage
	Waiting uint32 // tickets that wait at the shard
	Running uint32 // slots that the team holds at the shard
}

// ShardState is the state of a shard, which its owner sends to the owners of the same
// service's shards in other places.
type ShardState struct {
	_msgpack struct{} `msgpack:",as_array"`

	Shard       Shard
	Incarnation uint64 // see Grant
	Sequence    uint64 // rises with each message of an incarnation
	AllTeams    bool   // Teams lists all teams and replaces all earlier reports of the shard
	Released    bool   // the sender gives up the shard; the receiver may become its owner
	Free        uint32 // number of free slots
	Slots       uint32 // number of slots
	Level       uint64 // highest virtual service of a team at the time it was granted a slot
	Teams       []TeamUsage
}

// PullTickets asks the owner of a shard to move waiting tickets of a team to another place.
type PullTickets struct {
	_msgpack struct{} `msgpack:",as_array"`

	Shard Shard  // shard at which the tickets wait
	Team  uint32 // team of the tickets
	Place uint32 // place to move them to
	Count uint32 // largest number of tickets to move
}

// RunningRequest describes a request that holds a slot, as its host reports it to a new owner.
type RunningRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint64
	Team    uint32
	Urgency uint8
	Target  uint32
	Age     uint32 // time since the request was granted, in milliseconds
	Fixed   bool
	Suspect bool
}

// Resync lists all requests of the sender that hold slots of a shard, for the
// shard's new owner. Waiting tickets follow as Ticket messages.
type Resync struct {
	_msgpack struct{} `msgpack:",as_array"`

	Shard   Shard
	Running []RunningRequest
	Known   uint64 // highest incarnation of the shard that the sender has seen
}

// ConfigRequest requests the changes of the configuration since a revision.
type ConfigRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Have uint64 // revision that the sender has
}

// ConfigSnapshot carries a complete configuration.
type ConfigSnapshot struct {
	_msgpack struct{} `msgpack:",as_array"`

	Revision uint64
	Body     []byte // JSON of the catalog
}

// ConfigSteps carries the changes of the configuration since a revision.
type ConfigSteps struct {
	_msgpack struct{} `msgpack:",as_array"`

	From   uint64   // revision that the first step applies to
	Bodies [][]byte // JSON of the catalog steps, in order
}

// CrashReport reports how many targets crashed while they ran a request. Hosts of earlier versions send it; it is
// decoded and has no effect.
type CrashReport struct {
	_msgpack struct{} `msgpack:",as_array"`

	Digest  uint64 // hash of the team and the body of the request
	Crashes uint8  // number of crashes
	Cleared bool   // the request completed, so it is not the cause
}

// OrderRequest asks a peer to carry out an operation on the record of an order, by which one
// host claims to run it.
type OrderRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	CallID uint64 // number of the call, unique at the sender
	Key    string // key of the record in the table
	Body   []byte // JSON of the operation
}

// OrderResponse returns the result of an OrderRequest.
type OrderResponse struct {
	_msgpack struct{} `msgpack:",as_array"`

	CallID uint64 // CallID of the OrderRequest
	Failed bool   // the peer could not access the table
	Body   []byte // JSON of the result
}

// Kind returns KindHeartbeat.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind returns KindRoster.
func (*Roster) Kind() Kind { return KindRoster }

// Kind returns KindTicket.
func (*Ticket) Kind() Kind { return KindTicket }

// Kind returns KindGrant.
func (*Grant) Kind() Kind { return KindGrant }

// Kind returns KindDenial.
func (*Denial) Kind() Kind { return KindDenial }

// Kind returns KindRequestEnd.
func (*RequestEnd) Kind() Kind { return KindRequestEnd }

// Kind returns KindMoveTicket.
func (*MoveTicket) Kind() Kind { return KindMoveTicket }

// Kind returns KindPreemptStream.
func (*PreemptStream) Kind() Kind { return KindPreemptStream }

// Kind returns KindShardState.
func (*ShardState) Kind() Kind { return KindShardState }

// Kind returns KindPullTickets.
func (*PullTickets) Kind() Kind { return KindPullTickets }

// Kind returns KindResync.
func (*Resync) Kind() Kind { return KindResync }

// Kind returns KindConfigRequest.
func (*ConfigRequest) Kind() Kind { return KindConfigRequest }

// Kind returns KindConfigSnapshot.
func (*ConfigSnapshot) Kind() Kind { return KindConfigSnapshot }

// Kind returns KindConfigSteps.
func (*ConfigSteps) Kind() Kind { return KindConfigSteps }

// Kind returns KindCrashReport.
func (*CrashReport) Kind() Kind { return KindCrashReport }

// Kind returns KindOrderRequest.
func (*OrderRequest) Kind() Kind { return KindOrderRequest }

// Kind returns KindOrderResponse.
func (*OrderResponse) Kind() Kind { return KindOrderResponse }

// messageConstructors holds a function for each kind that returns an empty message.
var messageConstructors = [kindLimit]func() Message{
	KindHeartbeat:      func() Message { return &Heartbeat{} },
	KindHostState:      func() Message { return &HostState{} },
	KindQuery:          func() Message { return &Query{} },
	KindReply:          func() Message { return &Reply{} },
	KindRoster:         func() Message { return &Roster{} },
	KindTicket:         func() Message { return &Ticket{} },
	KindGrant:          func() Message { return &Grant{} },
	KindDenial:         func() Message { return &Denial{} },
	KindRequestEnd:     func() Message { return &RequestEnd{} },
	KindMoveTicket:     func() Message { return &MoveTicket{} },
	KindPreemptStream:  func() Message { return &PreemptStream{} },
	KindShardState:     func() Message { return &ShardState{} },
	KindPullTickets:    func() Message { return &PullTickets{} },
	KindResync:         func() Message { return &Resync{} },
	KindConfigRequest:  func() Message { return &ConfigRequest{} },
	KindConfigSnapshot: func() Message { return &ConfigSnapshot{} },
	KindConfigSteps:    func() Message { return &ConfigSteps{} },
	KindCrashReport:    func() Message { return &CrashReport{} },
	KindOrderRequest:   func() Message { return &OrderRequest{} },
	KindOrderResponse:  func() Message { return &OrderResponse{} },
	KindSlotRequest:    func() Message { return &SlotRequest{} },
	KindSlotResponse:   func() Message { return &SlotResponse{} },
	KindLeaseUpdate:    func() Message { return &LeaseUpdate{} },
	KindLeaseList:      func() Message { return &LeaseList{} },
	KindPromptPlaced:   func() Message { return &PromptPlaced{} },

	KindDeparture: func() Message { return &Departure{} },

	KindTargetCrash:    func() Message { return &TargetCrash{} },
	KindTraitsAnswered: func() Message { return &TraitsAnswered{} },
	KindTraitsProbed:   func() Message { return &TraitsProbed{} },
	KindTraitsKnown:    func() Message { return &TraitsKnown{} },
	KindTraitsHeld:     func() Message { return &TraitsHeld{} },

	KindVersionSlotRequest: func() Message { return &VersionSlotRequest{} },
}

// newMessage returns an empty message of a kind, or nil if the kind is unknown.
func newMessage(k Kind) Message {
	if k >= kindLimit || messageConstructors[k] == nil {
		return nil
	}
	return messageConstructors[k]()
}
