package wire

// Prompt names the shared parts of a prompt.
type Prompt struct {
	_msgpack struct{} `msgpack:",as_array"`

	Names  []uint64 // the longest last
	Tokens []uint32 // prompt tokens up to and with each of these
	Total  uint32   // tokens of the whole prompt
}

// Kept tells the owner of a prompt's home that another engine got the prompt.
type Kept struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target string
	Prompt Prompt
}

// Kind returns KindKept.
func (*Kept) Kind() Kind { return KindKept }

// Enquiry asks the owner of an engine for a slot. The owner answers with a Verdict.
type Enquiry struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number   uint64 // names the enquiry within the sender's process
	Service  string
	Team     string
	Target   string // engine that is wanted
	Prompt   Prompt
	Held     uint32   // tokens that the sender knows the engine to have read
	Output   uint32   // most tokens to be generated
	Aim      uint32   // milliseconds in which the caller wants the first event
	Time     uint32   // milliseconds in which the caller wants the whole answer
	Elapsed  uint32   // milliseconds since the request arrived
	Wait     bool     // the request may wait at the owner
	Anywhere bool     // engines that have to read the shared parts count as well
	Excluded []string // engines that failed the request
}

// Kind returns KindEnquiry.
func (*Enquiry) Kind() Kind { return KindEnquiry }

// Verdict answers an Enquiry: a slot at an engine, a place in the owner's queue, or neither.
type Verdict struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number   uint64
	Queued   bool   // the request waits at the owner, another verdict follows
	Target   string // empty without a slot
	Prompt   uint32 // tokens that the engine has to read
	Memory   uint32 // tokens that the request takes at the engine
	Queue    uint32 // tokens queued at the engine, those of the request included
	Expect   uint32 // milliseconds to the first event
	Hint     string // engine to ask for in place of the owner's, without a slot
	After    uint32 // milliseconds after which there may be a slot, without one
	Reason   string // why there is no slot
	Standing uint8  // of the team
	Limit    uint32 // milliseconds of queue that the team may join
	Ahead    uint32 // milliseconds of queue at the engine
}

// Kind returns KindVerdict.
func (*Verdict) Kind() Kind { return KindVerdict }

// Progress tells the owner what became of a request that has a slot or waits for one.
type Progress struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number  uint64
	Begun   bool   // the first event came
	Ended   bool   // the request holds nothing any more
	Outcome uint8  // how it ended
	Took    uint32 // microseconds to the first event, or to the end
	Pauses  uint32 // between the events of an ended stream
	Pause   uint32 // microseconds, their mean
}

// Kind returns KindProgress.
func (*Progress) Kind() Kind { return KindProgress }

// Leases lists the requests of a host that hold slots of an owner, whole each time, so that
// a lost Progress does no harm. Slots that are not on the list are free.
type Leases struct {
	_msgpack struct{} `msgpack:",as_array"`

	Waiting []uint64 // whose first event has not come
	Running []uint64
}

// Kind returns KindLeases.
func (*Leases) Kind() Kind { return KindLeases }
