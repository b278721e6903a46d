package wire

// Prompt identifies the leading parts of a prompt that other requests may share.
type Prompt struct {
	_msgpack struct{} `msgpack:",as_array"`

	Parts       []uint64 // identifiers of the parts, the longest part last
	PartTokens  []uint32 // number of prompt tokens up to the end of each part
	TotalTokens uint32   // number of tokens of the whole prompt
}

// PromptPlaced tells the owner of the engine at which a prompt is expected to be cached that another
// engine got the prompt.
type PromptPlaced struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target string // engine that got the prompt
	Prompt Prompt
}

// Kind returns KindPromptPlaced.
func (*PromptPlaced) Kind() Kind { return KindPromptPlaced }

// SlotRequest asks the owner of an engine, the host that assigns its slots, for a slot. The owner
// answers with a SlotResponse.
type SlotRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number          uint64 // identifies the slot request within the sender's process
	Service         string
	Team            string
	Target          string // preferred engine
	Prompt          Prompt
	CachedTokens    uint32   // prompt tokens that the engine has already processed, as far as the sender knows
	MaxOutputTokens uint32   // upper limit of the tokens to generate
	FirstEventLimit uint32   // milliseconds in which the caller wants the first event
	ResponseLimit   uint32   // milliseconds in which the caller wants the whole response
	Elapsed         uint32   // milliseconds since the request arrived
	MayWait         bool     // the request may be queued at the owner
	AnyEngine       bool     // engines that have not processed the shared parts are acceptable as well
	Excluded        []string // engines at which the request failed
	Regions         []string // regions whose targets may serve the request, empty for all
	Priority        uint8    // rank of the request, 0 is the highest
}

// Kind returns KindSlotRequest.
func (*SlotRequest) Kind() Kind { return KindSlotRequest }

// VersionSlotRequest is a SlotRequest that only targets of one software version may serve. It is a message of its own, since
// hosts of an earlier release reject a SlotRequest with more fields, and most requests need no version.
type VersionSlotRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Request SlotRequest
	Version string // software version of the target that began the stream, empty for targets whose entries have none
}

// Kind returns KindVersionSlotRequest.
func (*VersionSlotRequest) Kind() Kind { return KindVersionSlotRequest }

// SlotResponse answers a SlotRequest: with a slot at an engine, a position in the owner's queue, or a
// refusal.
type SlotResponse struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number             uint64 // Number of the SlotRequest
	Queued             bool   // the request waits at the owner and another response follows
	Target             string // engine at which the request has a slot, empty if it has none
	PromptTokens       uint32 // prompt tokens that the engine still has to process
	MemoryTokens       uint32 // tokens that the request occupies in the engine's memory
	QueueTokens        uint32 // prompt tokens queued at the engine, including those of the request
	ExpectedFirstEvent uint32 // expected time to the first event in milliseconds
	OtherTarget        string // other engine to ask for, if there is no slot
	RetryAfter         uint32 // milliseconds until there may be a slot, if there is none
	Reason             string // why there is no slot
	Standing           uint8  // service received by the team compared with its share: 0 less, 1 more, 2 much more
	QueueLimit         uint32 // longest queue that the team may join, in milliseconds
	QueueLength        uint32 // length of the engine's queue in milliseconds
	Waited             uint32 // milliseconds for which the request waited at the owner before this response
}

// Kind returns KindSlotResponse.
func (*SlotResponse) Kind() Kind { return KindSlotResponse }

// LeaseUpdate tells the owner that a request which has a slot or waits for one has begun or ended.
type LeaseUpdate struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number        uint64 // Number of the SlotRequest
	Begun         bool   // the first event arrived
	Ended         bool   // the request no longer has a slot or waits for one
	Outcome       uint8  // result of an ended request
	Duration      uint32 // microseconds to the first event, or to the end
	IntervalCount uint32 // number of intervals between events of an ended stream
	MeanInterval  uint32 // mean of the intervals in microseconds
	Lateness      uint32 // microseconds by which a lack of processor time at the sender may have delayed what it measured
}

// Kind returns KindLeaseUpdate.
func (*LeaseUpdate) Kind() Kind { return KindLeaseUpdate }

// LeaseList lists all requests of a host that hold slots assigned by an owner. As it is always complete,
// a lost LeaseUpdate does no harm: the owner frees slots that are not on the list.
type LeaseList struct {
	_msgpack struct{} `msgpack:",as_array"`

	Waiting []uint64 // SlotRequest numbers of requests without a first event yet
	Running []uint64 // SlotRequest numbers of requests whose first event arrived
}

// Kind returns KindLeaseList.
func (*LeaseList) Kind() Kind { return KindLeaseList }
