// Package order makes sure that an order, a request that is not idempotent, runs at most once.
//
// An order is claimed by a conditional write of a record in the platform's table before any byte of it
// is sent to a target. The record carries the token of one attempt: if the reply to the write is lost,
// reading the record back tells whether the write of that attempt took effect. The package does no
// I/O: it returns commands and takes their results.
package order

import "time"

// State is the state of an order in its record.
type State string

// States of an order.
const (
	Claimed State = "claimed" // one attempt may run it
	Done    State = "done"    // it ran, and its result is kept
	Unknown State = "unknown" // it may have run
	Void    State = "void"    // no attempt ran it; it may be claimed again
)

// Record is the row of one order in the table of the platform.
type Record struct {
	Token      string    `json:"token"`            // attempt that wrote the record
	State      State     `json:"state"`            // state of the order
	Digest     uint64    `json:"digest"`           // hash of the request, to tell a repeat from another request with the same key
	Fence      uint64    `json:"fence"`            // fencing number of the attempt
	Holder     string    `json:"holder"`           // host of the attempt
	Boot       uint64    `json:"boot"`             // start time of the holder's process
	WrittenAt  time.Time `json:"at"`               // when the record was written
	Status     int       `json:"status,omitempty"` // HTTP status of the result
	Kind       string    `json:"kind,omitempty"`   // content type of the result
	Body       []byte    `json:"body,omitempty"`   // result
	ResultKept bool      `json:"whole,omitempty"`  // the result is kept; false if it was too large
}

// Op is one conditional write of the record of an order.
type Op struct {
	Name            string `json:"name"`   // key of the row
	ExpectedVersion uint64 `json:"expect"` // version of the row, 0 if there is none
	Record          Record `json:"record"`
}

// Verdict is the result of an Op. At most one of Won and Unreached is true. If neither is, the
// condition did not hold, and Record is the record that was found instead.
type Verdict struct {
	Won       bool   `json:"won"`
	Unreached bool   `json:"failed"` // the table was not reached; the write may still take effect
	Version   uint64 `json:"version"`
	Record    Record `json:"record"`
}
