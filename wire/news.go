package wire

// HostState is the state that a gateway reports to all other gateways. It is always complete,
// so a lost message does no harm.
type HostState struct {
	_msgpack struct{} `msgpack:",as_array"`

	Boot       uint64        // start time of the sender's process in Unix milliseconds
	Number     uint64        // rises with each message of the process
	Revision   uint64        // version of the configuration in force at the sender
	Age        uint32        // milliseconds since the sender's configuration and list of targets were known to be current, the longer time of both
	ReadsStore bool          // the sender reads the store itself
	Leaving    bool          // the sender is shutting down
	Place      string        // place of the sender
	Loads      []TargetLoad  // by target
	Demands    []TeamDemand  // by service and team
	HeldTraits []HeldTrait   // properties of requests that crash targets
	NotReady   bool          // the sender signals the load balancer to open no new connections
	Departures []Departure   // targets that are shutting down
	Pauses     []Pause       // targets that asked for a pause
	Suspicions []Suspicion   // targets that may have started again and be cold
	Speeds     []TargetSpeed // targets owned by the sender that are faster or slower than others; nil: as in the last state that had them
}

// Kind returns KindHostState.
func (*HostState) Kind() Kind { return KindHostState }

// TargetLoad is the load that the sender's requests put on one target.
type TargetLoad struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target       string // identity of the target
	PromptTokens uint32 // prompt tokens of requests without a first event yet
	Running      uint32 // number of requests
	MemoryTokens uint32 // tokens that the requests occupy in the target's memory
}

// TeamDemand is the recent service and demand of a team at the sender.
type TeamDemand struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service  string
	Team     string
	Received uint32 // service received in cost units
	Asked    uint32 // service asked for in cost units
}

// HeldTrait reports that requests with some property are kept from targets because it crashes them, or
// that a request with it was answered.
type HeldTrait struct {
	_msgpack struct{} `msgpack:",as_array"`

	Trait       uint64 // hash that identifies the property
	Incidents   uint8  // crashes that came one after the other, 0 if a request was answered since
	CrashAge    uint32 // milliseconds since the last crash, 0 if there is none
	AnsweredAge uint32 // milliseconds since a request was answered, 0 if none was
	Known       bool   // requests with the property were answered at some time before
}

// TargetCrash reports a request that a crashed target had and had not begun to answer.
type TargetCrash struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target  string   // identity of the target
	Age     uint32   // milliseconds since the crash
	SentAge uint32   // milliseconds since the request was sent to the target
	Traits  []uint64 // properties of the request
}

// Kind returns KindTargetCrash.
func (*TargetCrash) Kind() Kind { return KindTargetCrash }

// TraitsAnswered reports that targets began to answer requests with properties that were suspected of
// crashing targets.
type TraitsAnswered struct {
	_msgpack struct{} `msgpack:",as_array"`

	Traits []uint64
}

// Kind returns KindTraitsAnswered.
func (*TraitsAnswered) Kind() Kind { return KindTraitsAnswered }

// TraitsKnown reports that requests with properties that are held now were answered before.
type TraitsKnown struct {
	_msgpack struct{} `msgpack:",as_array"`

	Traits []uint64
}

// Kind returns KindTraitsKnown.
func (*TraitsKnown) Kind() Kind { return KindTraitsKnown }

// TraitsHeld tells a host that has just started which properties crash targets.
type TraitsHeld struct {
	_msgpack struct{} `msgpack:",as_array"`

	Traits []HeldTrait
}

// Kind returns KindTraitsHeld.
func (*TraitsHeld) Kind() Kind { return KindTraitsHeld }

// TraitsProbed reports that the sender sends a request to a target to find out whether its properties
// still crash targets. Until it has a result, no other host sends one.
type TraitsProbed struct {
	_msgpack struct{} `msgpack:",as_array"`

	Traits []uint64
}

// Kind returns KindTraitsProbed.
func (*TraitsProbed) Kind() Kind { return KindTraitsProbed }

// Departure reports that a target announced its shutdown in a response.
type Departure struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target string // identity of the target
	Boot   int64  // start time of the target's process in Unix milliseconds, 0 if unknown
	Age    uint32 // milliseconds since the announcement
}

// Kind returns KindDeparture.
func (*Departure) Kind() Kind { return KindDeparture }

// Pause reports that a target asked to get no requests for a time.
type Pause struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target string // identity of the target
	Left   uint32 // remaining time in milliseconds
}

// Suspicion reports a target that could not be reached, so that it may have started again and be cold.
type Suspicion struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target string // identity of the target
	Age    uint32 // milliseconds since it could not be reached
	Left   uint32 // milliseconds for which it counts as cold
}

// TargetSpeed reports a target of the sender that is faster or slower than the mean of its service.
type TargetSpeed struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target string // identity of the target
	Ratio  int8   // logarithm of the time that it takes relative to the mean, in units of 0.05
	Step   int8   // coarse step of its speed, by which all hosts choose the engines of prompts
}
