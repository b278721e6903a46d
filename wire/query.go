package wire

// Query asks another gateway what it knows from the store.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Revision uint64 // version of the configuration in force at the sender, 0 for none
	Digest   uint64 // names the sender's list of targets, 0 for none
}

// Kind returns KindQuery.
func (*Query) Kind() Kind { return KindQuery }

// Reply answers a query. Its ages are those at the moment of the answer.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Revision   uint64      // version of the configuration in force, 0 for none
	Age        uint32      // milliseconds for which a newer one may have gone unnoticed
	Config     []byte      // configuration as the store has it, if it is newer than the asker's
	TargetsAge uint32      // milliseconds since the list of targets was read
	Digest     uint64      // names the list of targets
	Targets    []TargetRow // none if the asker has this list
}

// Kind returns KindReply.
func (*Reply) Kind() Kind { return KindReply }

// TargetRow is the entry of a target as the store has it.
type TargetRow struct {
	_msgpack struct{} `msgpack:",as_array"`

	Key   string
	Value []byte
}
