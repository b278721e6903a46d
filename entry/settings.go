// Package entry implements the process of one entry host: it accepts requests of
// callers, exchanges messages with its peers, and sends each request to the target that
// package host chooses.
package entry

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/settings"
)

const (
	minSecretBytes = 16              // shortest key that peers share
	defaultGrace   = 2 * time.Second // default of Settings.Grace
	defaultSilence = time.Second     // default of Settings.Silence
)

// Peer is the address and place of another entry host that is known from the settings.
type Peer struct {
	Address netip.AddrPort `json:"address"`
	Place   string         `json:"place"`
}

// Route replaces the address To by Via when connecting to peers and targets.
type Route struct {
	To  netip.AddrPort `json:"to"`
	Via netip.AddrPort `json:"via"`
}

// Settings configure an entry host.
type Settings struct {
	Place        string            `json:"place"`    // name of the data centre
	Listen       netip.AddrPort    `json:"listen"`   // address for callers
	Peer         netip.AddrPort    `json:"peer"`     // address that peers use for this host
	Bind         netip.AddrPort    `json:"bind"`     // address to listen at for peers, Peer if not given
	Status       netip.AddrPort    `json:"status"`   // address for health, metrics and status
	Platform     netip.AddrPort    `json:"platform"` // address of the platform
	Secret       string            `json:"secret"`   // key that peers share
	Peers        []Peer            `json:"peers"`    // peers to try before the platform's list is known
	Routes       []Route           `json:"routes"`   // addresses to connect to in place of others
	Policy       string            `json:"policy"`   // name of the dispatch policy, "fair" if not given
	WithoutPeers bool              `json:"alone"`    // dispatch without peers, as a baseline for comparisons
	Memory       float64           `json:"memory"`   // memory limit of the process in MiB, 0 if it is not known
	Grace        settings.Duration `json:"grace"`    // time for the load balancer to notice a shutdown
	Silence      settings.Duration `json:"silence"`  // longest time for which a peer may leave messages unacknowledged
	Level        string            `json:"level"`    // lowest level of log lines
}

// NewSettings returns settings with the default policy, grace time, silence limit and log level.
func NewSettings() Settings {
	return Settings{
		Policy:  "fair",
		Grace:   settings.Duration{Duration: defaultGrace},
		Silence: settings.Duration{Duration: defaultSilence},
		Level:   "info",
	}
}

// Check returns all invalid settings as one error marked settings.ErrInvalid, or nil.
func (s *Settings) Check() error {
	var c settings.Checker
	c.Require(s.Place != "", "place", "must name the data centre")
	c.RequireAddress(s.Listen, "listen")
	c.RequireAddress(s.Peer, "peer")
	c.RequireAddress(s.Status, "status")
	c.RequireAddress(s.Platform, "platform")
	c.Require(len(s.Secret) >= minSecretBytes, "secret", "must have at least %d characters", minSecretBytes)
	c.RequirePositive(s.Grace, "grace")
	c.RequirePositive(s.Silence, "silence")
	c.Require(s.Memory >= 0, "memory", "must not be negative")
	_, ok := policyByName(s.Policy)
	c.Require(ok, "policy", "no policy %q", s.Policy)
	for _, p := range s.Peers {
		c.RequireAddress(p.Address, "peers.address")
		c.Require(p.Place != "", "peers.place", "must name the data centre")
	}
	for _, r := range s.Routes {
		c.RequireAddress(r.To, "routes.to")
		c.RequireAddress(r.Via, "routes.via")
	}
	return c.Err()
}

// policyByName returns the dispatch policy with a name, and whether there is one.
func policyByName(name string) (dispatch.Policy, bool) {
	for _, p := range dispatch.Policies() {
		if p.Name == name {
			return p, true
		}
	}
	return dispatch.Policy{}, false
}
