// Package route holds the configuration that decides where a request of a caller
// may go: routes by host and path, the services behind them, and the teams that
// hold keys. A Table never changes once it is made.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells how often a request may run.
type Kind uint8

// The kinds of request.
const (
	Idempotent Kind = iota // may run more than once
	Order                  // non-idempotent: runs at most once
	Stream                 // answered by a series of events
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Order:
		return "order"
	default:
		return "stream"
	}
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Route is what is configured for the requests of one host and path prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // longest time that a caller is kept waiting
	Aim       time.Duration // time to the answer, or to the first event, that callers want
	Pause     time.Duration // longest pause between events that callers want
	Shares    []Share
	Attempts  int  // most targets that one request may be sent to
	Public    bool // needs no key
	Resumable bool // a broken stream may go on at another target
	Prompts   bool // requests describe their prompt
}

// Repeatable returns whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// defaultTimeout bounds requests of routes without a timeout.
const defaultTimeout = 30 * time.Second

// Wait returns the longest time that a request is worked on, for a caller that waits
// for a time, 0 if it does not say.
func (r *Route) Wait(caller time.Duration) time.Duration {
	wait := r.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if caller > 0 {
		wait = min(wait, caller)
	}
	return wait
}

// Pick returns the service of a request, by the weights of the shares. Equal
// draws give equal services.
func (r *Route) Pick(draw uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	at := int(draw % uint64(total))
	for _, s := range r.Shares {
		at -= max(0, s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a service that routes name.
type Service struct {
	Name        string
	Connections int     // most connections that one target accepts from all hosts
	Engine      *Engine // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots  int // requests that one engine runs at once
	Memory int // tokens that one engine holds
	Stride int // tokens in one event of a stream
}

// Team is a tenant of the fleet.
type Team struct {
	Name string
	Keys []string
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Idle     time.Duration // longest time that a caller's connection may stay idle
	MaxBody  int           // bytes, 0 without a limit
	Rate     float64       // cost units a second that all engines produce, 0 if it is not told

	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]string
}

// NewTable returns a table with its indexes built.
func NewTable(t Table) *Table {
	t.hosts = map[string][]*Route{}
	t.services = map[string]*Service{}
	t.keys = map[string]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for _, team := range t.Teams {
		for _, key := range team.Keys {
			t.keys[key] = team.Name
		}
	}
	return &t
}

// Match returns the route with the longest prefix of a path at a host, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key.
func (t *Table) Team(key string) (string, bool) {
	team, ok := t.keys[key]
	return team, ok
}

// Keyed returns whether requests of routes that are not public need a key.
func (t *Table) Keyed() bool { return len(t.Teams) > 0 }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
