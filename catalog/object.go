// Package catalog defines the objects that operators write, checks them as one
// set, and tells the difference between two sets.
package catalog

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/settings"
)

// Duration is a time.Duration that is written in JSON as text, such as "69ms".
type Duration = settings.Duration

// Head is what every object has. The administration API assigns Number and
// Revision; what an operator writes there is replaced.
type Head struct {
	Number   uint32 `json:"number,omitempty"`   // short name on the wire, never used again
	Revision uint64 `json:"revision,omitempty"` // revision of the set that last changed the object
}

// Team is one tenant.
type Team struct {
	Head
	Weight  uint32 `json:"weight,omitempty"`  // share relative to other teams, 1 if not given
	Waiting int    `json:"waiting,omitempty"` // most requests that wait in one shard, 0 for the service's limit
}

// Key lets a caller's router speak for teams.
type Key struct {
	Head
	Digest string   `json:"digest"` // hexadecimal SHA-256 of the bearer key
	Teams  []string `json:"teams"`  // names of the teams that the router speaks for
}

// Kinds of service.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Service is a class of targets that answer the same requests.
type Service struct {
	Head
	Kind    string   `json:"kind"`              // "model" or "plain"
	Input   uint64   `json:"input,omitempty"`   // cost units per uncached prompt token, 1 if not given
	Output  uint64   `json:"output,omitempty"`  // cost units per generated token, 1 if not given
	Waiting int      `json:"waiting,omitempty"` // most requests of one team that wait in one shard
	Queue   int      `json:"queue,omitempty"`   // most requests that wait in one shard
	Pace    Duration `json:"pace,omitzero"`     // longest wanted time between tokens
	First   Duration `json:"first,omitzero"`    // timeout for the first byte of an answer
	Idle    Duration `json:"idle,omitzero"`     // timeout between two parts of an answer
	Patient Duration `json:"patient,omitzero"`  // deadline of a request that names none
	Repeat  bool     `json:"repeat,omitempty"`  // calls with any method may be repeated
	Fence   bool     `json:"fence,omitempty"`   // targets refuse an order with an old fencing number
	Largest int      `json:"largest,omitempty"` // most bytes in a request body
}

// Place is one data centre.
type Place struct {
	Head
	Near []string `json:"near,omitempty"` // other places, the nearest first
}

// Target is one replica that runs requests of a service.
type Target struct {
	Head
	Service string         `json:"service"`
	Place   string         `json:"place"`
	Address netip.AddrPort `json:"address"`
	Slots   int            `json:"slots"`             // requests that it runs at once at most
	Leaving bool           `json:"leaving,omitempty"` // gets no new work
}

// Defaults for the fields of a Service.
const (
	DefaultWaiting      = 2000
	DefaultQueue        = 20000
	DefaultPace         = 69 * time.Millisecond
	DefaultFirst        = 10 * time.Second
	DefaultIdle         = 5 * time.Second
	DefaultPatient      = 60 * time.Second
	DefaultLargestBytes = 4 << 20
)

// withDefaults returns the service with its unset fields filled in.
func (s Service) withDefaults() Service {
	s.Input = orElse(s.Input, 1)
	s.Output = orElse(s.Output, 1)
	s.Waiting = orElse(s.Waiting, DefaultWaiting)
	s.Queue = orElse(s.Queue, DefaultQueue)
	s.Pace = orElse(s.Pace, Duration{Duration: DefaultPace})
	s.First = orElse(s.First, Duration{Duration: DefaultFirst})
	s.Idle = orElse(s.Idle, Duration{Duration: DefaultIdle})
	s.Patient = orElse(s.Patient, Duration{Duration: DefaultPatient})
	s.Largest = orElse(s.Largest, DefaultLargestBytes)
	return s
}

// orElse returns the value, or the other one if the value is zero.
func orElse[T comparable](value, other T) T {
	var zero T
	if value == zero {
		return other
	}
	return value
}
