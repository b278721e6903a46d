// Package catalog defines the configuration objects that operators write (teams,
// keys, services, places and targets). It validates them together as a Set,
// computes and applies the difference between two sets, and indexes a set for
// lookups by number.
package catalog

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/settings"
)

// Duration is a time.Duration that JSON represents as a string, such as "69ms".
type Duration = settings.Duration

// Head holds the metadata that every object carries. Set.Seal assigns Number and
// Revision; values that an operator writes there are replaced.
type Head struct {
	Number   uint32 `json:"number,omitempty"`   // identifies the object in messages between hosts; never reused
	Revision uint64 `json:"revision,omitempty"` // revision of the set in which the object last changed
}

// Team is a tenant: the customer that requests are scheduled and limited by.
type Team struct {
	Head
	Weight  uint32 `json:"weight,omitempty"`  // share of capacity relative to other teams; 1 if unset
	Waiting int    `json:"waiting,omitempty"` // limit on the team's queued requests in one shard; 0 means the service's limit
}

// Key authorizes the bearer of an API key, such as a caller's router, to send
// requests on behalf of teams.
type Key struct {
	Head
	Digest string   `json:"digest"` // SHA-256 of the bearer key, in hexadecimal
	Teams  []string `json:"teams"`  // names of the teams that the bearer may send requests for
}

// Values of Service.Kind.
const (
	KindModel = "model" // language model, whose requests are chat or text completions
	KindPlain = "plain" // any other HTTP service
)

// Service is a group of interchangeable targets and the costs, queue limits and
// timeouts of the requests to them.
type Service struct {
	Head
	Kind    string   `json:"kind"`              // KindModel or KindPlain
	Input   uint64   `json:"input,omitempty"`   // cost units per uncached prompt token; 1 if unset
	Output  uint64   `json:"output,omitempty"`  // cost units per generated token; 1 if unset
	Waiting int      `json:"waiting,omitempty"` // limit on the queued requests of one team in one shard
	Queue   int      `json:"queue,omitempty"`   // limit on the queued requests of all teams in one shard
	Pace    Duration `json:"pace,omitzero"`     // target for the longest interval between tokens
	First   Duration `json:"first,omitzero"`    // timeout for the first byte of a response
	Idle    Duration `json:"idle,omitzero"`     // timeout between two parts of a response
	Patient Duration `json:"patient,omitzero"`  // deadline of a request that specifies none
	Repeat  bool     `json:"repeat,omitempty"`  // requests with any method may be retried
	Fence   bool     `json:"fence,omitempty"`   // targets reject an order with an outdated fencing number
	Largest int      `json:"largest,omitempty"` // limit on a request body, in bytes
}

// Place is a data centre.
type Place struct {
	Head
	Near []string `json:"near,omitempty"` // names of other places, nearest first
}

// Target is a replica of a service: the address that requests are sent to.
type Target struct {
	Head
	Service string         `json:"service"`
	Place   string         `json:"place"`
	Address netip.AddrPort `json:"address"`
	Slots   int            `json:"slots"`             // limit on concurrent requests
	Leaving bool           `json:"leaving,omitempty"` // draining: receives no new requests
}

// Defaults for unset fields of a Service; DefaultLargestBytes is that of Largest,
// in bytes.
const (
	DefaultWaiting      = 2000
	DefaultQueue        = 20000
	DefaultPace         = 69 * time.Millisecond
	DefaultFirst        = 10 * time.Second
	DefaultIdle         = 5 * time.Second
	DefaultPatient      = 60 * time.Second
	DefaultLargestBytes = 4 << 20
)

// withDefaults returns a copy of the service in which unset costs, limits and
// timeouts have their defaults.
func (s Service) withDefaults() Service {
	s.Input = orDefault(s.Input, 1)
	s.Output = orDefault(s.Output, 1)
	s.Waiting = orDefault(s.Waiting, DefaultWaiting)
	s.Queue = orDefault(s.Queue, DefaultQueue)
	s.Pace = orDefault(s.Pace, Duration{Duration: DefaultPace})
	s.First = orDefault(s.First, Duration{Duration: DefaultFirst})
	s.Idle = orDefault(s.Idle, Duration{Duration: DefaultIdle})
	s.Patient = orDefault(s.Patient, Duration{Duration: DefaultPatient})
	s.Largest = orDefault(s.Largest, DefaultLargestBytes)
	return s
}

// orDefault returns value, or fallback if value is the zero value of its type.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
