package operator

import (
	"fmt"
	"slices"
	"strings"
)

// Services of the configurations.
const (
	ServiceStream = "model" // service of the streaming routes
	ServicePlain  = "desk"  // service of the lookup and order routes
	ServiceMoved  = "desk2" // alternative service of the lookup and order routes
)

// MinPlainTimeout and MinStreamTimeout are the lowest timeouts of plain and streaming routes, in milliseconds.
const (
	MinPlainTimeout  = 3000
	MinStreamTimeout = 8000
)

const (
	initialIdleTimeout = 5000 // milliseconds, like all timeouts and ranges below
	minIdleTimeout     = 1500
	idleTimeoutRange   = 5000
	plainTimeoutRange  = 3000
	streamTimeoutRange = 7000
	initialRoutes      = 4 // routes of the first configuration
	addedRoutes        = 350
)

// FirstConfig returns the first configuration of a series.
func FirstConfig() Config {
	plain := Route{Host: "h", Timeout: 5000, LatencyTarget: 200, Service: ServicePlain, MaxAttempts: 2}
	lookup, order := plain, plain
	lookup.Name, lookup.Prefix, lookup.Kind = "lookup", "/lookup/", KindLookup
	order.Name, order.Prefix, order.Kind = "order", "/order/", KindOrder
	streaming := Route{Host: "h", Kind: KindStream, Timeout: 12000, LatencyTarget: 600, GapTarget: 250, Service: ServiceStream}
	stream, once := streaming, streaming
	stream.Name, stream.Prefix, stream.MaxAttempts, stream.Resume = "stream", "/stream/", 3, true
	once.Name, once.Prefix, once.MaxAttempts = "once", "/once/", 1
	return Config{
		Version:  1,
		Routes:   []Route{lookup, order, stream, once},
		Services: []Service{{Name: ServicePlain}, {Name: ServiceMoved}, {Name: ServiceStream, Engine: &EngineCapacity{Slots: 8, TokenCapacity: 100000}}},
		Teams:    []Team{{Name: "team1", Keys: []string{"key1"}}, {Name: "team2", Keys: []string{"key2"}}},
		Limits:   Limits{IdleTimeout: initialIdleTimeout},
	}
}

// changes lists the ways in which Change modifies a configuration. The value selects the new setting.
var changes = []func(d *Config, value int){
	func(d *Config, value int) { d.Limits.IdleTimeout = minIdleTimeout + value%idleTimeoutRange },
	func(d *Config, value int) {
		for n := range d.Routes {
			if d.Routes[n].Kind == KindStream {
				d.Routes[n].Timeout = MinStreamTimeout + value%streamTimeoutRange
			} else {
				d.Routes[n].Timeout = MinPlainTimeout + value%plainTimeoutRange
			}
		}
	},
	func(d *Config, value int) {
		d.Routes[value%2].Service = []string{ServicePlain, ServiceMoved}[value/2%2]
	},
	func(d *Config, _ int) {
		old := d.Teams[1].Keys
		d.Teams = []Team{d.Teams[0], {Name: d.Teams[1].Name, Keys: []string{old[len(old)-1], fmt.Sprint("key", d.Version)}}}
	},
	func(d *Config, _ int) {
		if len(d.Routes) > initialRoutes {
			d.Routes = d.Routes[:initialRoutes]
			return
		}
		for n := range addedRoutes {
			r := d.Routes[0]
			r.Name = fmt.Sprint("more", n)
			r.Prefix = "/" + r.Name + "/"
			d.Routes = append(d.Routes, r)
		}
	},
}

// NextRoutes returns the next configuration of a series, in which a route for lookups is added or the newest one is
// dropped, as the random number draw selects.
func (d Config) NextRoutes(draw uint64) Config {
	const dropShare = 3 // one in so many changes drops a route, if there is an added one
	d.Version++
	d.Routes = slices.Clone(d.Routes)
	if draw%dropShare == 0 && len(d.Routes) > initialRoutes {
		d.Routes = d.Routes[:len(d.Routes)-1]
		return d
	}
	r := d.Routes[0]
	r.Name = fmt.Sprint("added", d.Version)
	r.Prefix = "/" + r.Name + "/"
	d.Routes = append(d.Routes, r)
	return d
}

// RouteOf returns the route of a path, and whether there is one. No prefix of a route begins another one.
func (d *Config) RouteOf(path string) (Route, bool) {
	n := slices.IndexFunc(d.Routes, func(r Route) bool { return strings.HasPrefix(path, r.Prefix) })
	if n < 0 {
		return Route{}, false
	}
	return d.Routes[n], true
}

// HasKey reports whether a team has an API key.
func (d *Config) HasKey(key string) bool {
	return slices.ContainsFunc(d.Teams, func(t Team) bool { return slices.Contains(t.Keys, key) })
}

// Next returns the next configuration of a series. The random number draw selects the new version and
// what changes: the idle timeout, the timeouts of routes, the service of a route, the keys of a team,
// or the number of routes.
func (d Config) Next(draw uint64) Config {
	const maxVersionStep = 3 // the version rises by one to this number
	d.Version += 1 + draw%maxVersionStep
	d.Routes = slices.Clone(d.Routes)
	draw /= maxVersionStep
	count := uint64(len(changes))
	changes[draw%count](&d, int(draw/count%10000))
	return d
}
