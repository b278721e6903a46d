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

// Metadata holds the metadata that every object carries. Set.Seal assigns Number and
// Revision; values that an operator writes there are replaced.
type Metadata struct {
	Number   uint32 `json:"number,omitempty"`   // identifies the object in messages between hosts; never reused
	Revision uint64 `json:"revision,omitempty"` // revision of the set in which the object last changed
}

// Team is a tenant: the customer that requests are scheduled and limited by.
type Team struct {
	Metadata
	Weight     uint32 `json:"weight,omitempty"`  // share of capacity relative to other teams; 1 if unset
	MaxWaiting int    `json:"waiting,omitempty"` // limit on the team's queued requests in one shard; 0 means the service's limit
}

// Key authorizes the bearer of an API key, such as a caller's router, to send
// requests on behalf of teams.
type Key struct {
	Metadata
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
	Metadata
	Kind              string   `json:"kind"`              // KindModel or KindPlain
	InputCost         uint64   `json:"input,omitempty"`   // cost units per uncached prompt token; 1 if unset
	OutputCost        uint64   `json:"output,omitempty"`  // cost units per generated token; 1 if unset
	MaxWaitingPerTeam int      `json:"waiting,omitempty"` // limit on the queued requests of one team in one shard
	MaxWaiting        int      `json:"queue,omitempty"`   // limit on the queued requests of all teams in one shard
	TokenInterval     Duration `json:"pace,omitzero"`     // target for the longest interval between tokens
	FirstByteTimeout  Duration `json:"first,omitzero"`    // timeout for the first byte of a response
	IdleTimeout       Duration `json:"idle,omitzero"`     // timeout between two parts of a response
	RequestTimeout    Duration `json:"patient,omitzero"`  // deadline of a request that specifies none
	Retryable         bool     `json:"repeat,omitempty"`  // requests with any method may be retried
	Fencing           bool     `json:"fence,omitempty"`   // targets reject an order with an outdated fencing number
	MaxBodyBytes      int      `json:"largest,omitempty"` // limit on a request body, in bytes
}

// Place is a data centre.
type Place struct {
	Metadata
	Near []string `json:"near,omitempty"` // names of other places, nearest first
}

// Target is a replica of a service: the address that requests are sent to.
type Target struct {
	Metadata
	Service  string         `json:"service"`
	Place    string         `json:"place"`
	Address  netip.AddrPort `json:"address"`
	Slots    int            `json:"slots"`             // limit on concurrent requests
	Draining bool           `json:"leaving,omitempty"` // draining: receives no new requests
}

// Defaults for unset fields of a Service; DefaultMaxBodyBytes is that of Service.MaxBodyBytes,
// in bytes.
const (
	DefaultMaxWaitingPerTeam = 2000
	DefaultMaxWaiting        = 20000
	DefaultTokenInterval     = 69 * time.Millisecond
	DefaultFirstByteTimeout  = 10 * time.Second
	DefaultIdleTimeout       = 5 * time.Second
	DefaultRequestTimeout    = 60 * time.Second
	DefaultMaxBodyBytes      = 4 << 20
)

// withDefaults returns a copy of the service in which unset costs, limits and
// timeouts have their defaults.
func (s Service) withDefaults() Service {
	s.InputCost = orDefault(s.InputCost, 1)
	s.OutputCost = orDefault(s.OutputCost, 1)
	s.MaxWaitingPerTeam = orDefault(s.MaxWaitingPerTeam, DefaultMaxWaitingPerTeam)
	s.MaxWaiting = orDefault(s.MaxWaiting, DefaultMaxWaiting)
	s.TokenInterval = orDefault(s.TokenInterval, Duration{Duration: DefaultTokenInterval})
	s.FirstByteTimeout = orDefault(s.FirstByteTimeout, Duration{Duration: DefaultFirstByteTimeout})
	s.IdleTimeout = orDefault(s.IdleTimeout, Duration{Duration: DefaultIdleTimeout})
	s.RequestTimeout = orDefault(s.RequestTimeout, Duration{Duration: DefaultRequestTimeout})
	s.MaxBodyBytes = orDefault(s.MaxBodyBytes, DefaultMaxBodyBytes)
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
