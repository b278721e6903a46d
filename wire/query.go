package wire

// Query asks another gateway for the configuration and the list of targets that it has
// from the store.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Revision uint64 // version of the configuration in force at the sender, 0 for none
	Digest   uint64 // hash of the sender's list of targets, 0 for none
}

// Kind returns KindQuery.
func (*Query) Kind() Kind { return KindQuery }

// Reply answers a Query. Its ages are as of the time it was sent.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Revision      uint64      // version of the configuration in force, 0 for none
	Age           uint32      // milliseconds since the configuration was known to be current
	Configuration []byte      // configuration as stored, if newer than that of the Query
	TargetsAge    uint32      // milliseconds since the list of targets was read
	Digest        uint64      // hash of the list of targets
	Targets       []TargetRow // empty if the Query has the same digest
	Evacuated     []string    // evacuated places
	EvacuatedAsOf uint64      // position in the history of the store at which Evacuated was read, packed; 0 if it was not
}

// Kind returns KindReply.
func (*Reply) Kind() Kind { return KindReply }

// TargetRow is the record of a target as stored.
type TargetRow struct {
	_msgpack struct{} `msgpack:",as_array"`

	Key   string
	Value []byte
}
