// Package route holds the configuration that decides where a request of a caller may go: routes by
// host and path, the services behind them, and the teams with their API keys. A Table is immutable.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells whether a request may run more than once and how it is answered.
type Kind uint8

// Kinds of request.
const (
	Idempotent Kind = iota // may run more than once
	Order                  // not idempotent: runs at most once
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

// Share is a service of a route and its weight among the route's services.
type Share struct {
	Service string
	Weight  int
}

// Route is the configuration for the requests of one host name and path prefix.
type Route struct {
	Name             string
	Host             string // host name of the URL, without port
	Prefix           string // path prefix; begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // longest time that a caller waits for the answer, 0 for defaultTimeout
	TargetLatency    time.Duration // target latency to the answer, or to the first event of a stream
	TargetEventGap   time.Duration // target for the pause between two events of a stream
	Shares           []Share       // services that get the requests
	Attempts         int           // most targets that one request may be sent to
	Public           bool          // needs no API key
	Resumable        bool          // a broken stream may continue at another target
	DescribesPrompts bool          // requests describe their prompt, to find a target that has it cached
	Priority         int           // rank of its requests, 0 is the highest
	Regions          []string      // regions whose targets may serve it, empty for all
}

// Repeatable returns whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// defaultTimeout applies to routes without a timeout.
const defaultTimeout = 30 * time.Second

// TimeLimit returns the longest time that a request is worked on. caller is the time that the caller
// says it waits, or 0 if it does not say.
func (r *Route) TimeLimit(caller time.Duration) time.Duration {
	wait := r.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if caller > 0 {
		wait = min(wait, caller)
	}
	return wait
}

// Pick returns the service for a request, by the weights of the shares. draw is a random number;
// the same number gives the same service.
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

// Service is a group of interchangeable targets that routes refer to by name.
type Service struct {
	Name        string
	Connections int           // most connections that one target accepts from all hosts together
	Engine      *Engine       // nil for a plain service
	ColdStart   time.Duration // time that a target stays cold after its start, 0 if targets are never cold
	ColdRate    float64       // requests per second that a cold target can take
}

// Engine describes the inference engines that run the model of a service.
type Engine struct {
	Slots          int // requests that one engine runs at once
	TokenCapacity  int // tokens that one engine holds in memory
	TokensPerEvent int // tokens in one event of a stream
}

// Team is a customer and the API keys by which it is recognized.
type Team struct {
	Name     string
	Keys     []string
	Priority *int     // rank of its requests instead of that of their route, nil if it has none
	Regions  []string // regions whose targets may serve it, empty for all
}

// Table is one version of the configuration.
type Table struct {
	Version      uint64
	Routes       []Route
	Services     []Service
	Teams        []Team
	IdleTimeout  time.Duration // longest time that a caller's connection may stay idle
	MaxBodyBytes int           // largest request body in bytes, 0 without a limit
	Rate         float64       // cost units per second that all engines yield, 0 if not configured

	routesByHost   map[string][]*Route // by host name in lower case, the longest prefix first
	servicesByName map[string]*Service
	teamsByKey     map[string]string // name of the team that holds a key
	teamsByName    map[string]*Team
}

// NewTable returns a copy of a table with its lookup indexes built.
func NewTable(t Table) *Table {
	t.routesByHost = map[string][]*Route{}
	t.servicesByName = map[string]*Service{}
	t.teamsByKey = map[string]string{}
	t.teamsByName = map[string]*Team{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.servicesByName[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Teams {
		team := &t.Teams[i]
		t.teamsByName[team.Name] = team
		for _, key := range team.Keys {
			t.teamsByKey[key] = team.Name
		}
	}
	return &t
}

// Match returns the route of a host name with the longest matching path prefix, or nil. A port is
// ignored.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the name of the team that holds an API key, and whether there is one.
func (t *Table) Team(key string) (string, bool) {
	team, ok := t.teamsByKey[key]
	return team, ok
}

// Priority returns the rank of the requests of a team on a route, 0 is the highest. The rank of the team goes
// before that of the route.
func (t *Table) Priority(r *Route, team string) int {
	if member := t.teamsByName[team]; member != nil && member.Priority != nil {
		return *member.Priority
	}
	return r.Priority
}

// noRegion is an allowed region that no data centre is in, since regions have names.
const noRegion = ""

// AllowedRegions returns the regions whose targets may serve the requests of a team on a route, nil for all.
// Where both the route and the team are bound to regions, a target has to be in a region of both.
func (t *Table) AllowedRegions(r *Route, team string) []string {
	member := t.teamsByName[team]
	switch {
	case member == nil || len(member.Regions) == 0:
		return r.Regions
	case len(r.Regions) == 0:
		return member.Regions
	}
	var both []string
	for _, region := range r.Regions {
		if slices.Contains(member.Regions, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return []string{noRegion}
	}
	return both
}

// RequiresKeys returns whether requests to routes that are not public need an API key.
func (t *Table) RequiresKeys() bool { return len(t.Teams) > 0 }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }
