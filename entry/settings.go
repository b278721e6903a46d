// Package entry is the process of one entry host: it takes the requests of
// callers, talks to its peers, and sends each request to the target that the
// decisions in package host name.
package entry

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/settings"
)

const (
	minSecretBytes = 16
	defaultGrace   = 2 * time.Second
	defaultSilence = time.Second
)

// Peer is another host that the settings name.
type Peer struct {
	Address netip.AddrPort `json:"address"`
	Place   string         `json:"place"`
}

// Route replaces an address to connect to, for peers and targets.
type Route struct {
	To  netip.AddrPort `json:"to"`
	Via netip.AddrPort `json:"via"`
}

// Settings are the settings of an entry host.
type Settings struct {
	Place    string            `json:"place"`    // name of the data centre
	Listen   netip.AddrPort    `json:"listen"`   // address for callers
	Peer     netip.AddrPort    `json:"peer"`     // address that peers use for this host
	Bind     netip.AddrPort    `json:"bind"`     // address to listen at for peers, Peer if not given
	Status   netip.AddrPort    `json:"status"`   // address for health, metrics and status
	Platform netip.AddrPort    `json:"platform"` // address of the platform
	Secret   string            `json:"secret"`   // key that peers share
	Peers    []Peer            `json:"peers"`    // peers to try before the platform's list is known
	Routes   []Route           `json:"routes"`   // addresses to connect to in place of others
	Policy   string            `json:"policy"`   // name of the dispatch policy, "fair" if not given
	Alone    bool              `json:"alone"`    // dispatch without peers: a baseline for measurements
	Grace    settings.Duration `json:"grace"`    // time for the balancer to notice a planned stop
	Silence  settings.Duration `json:"silence"`  // longest time that a peer leaves messages unacknowledged
	Level    string            `json:"level"`    // least level of log lines
}

// NewSettings returns settings with the defaults.
func NewSettings() Settings {
	return Settings{
		Policy:  "fair",
		Grace:   settings.Duration{Duration: defaultGrace},
		Silence: settings.Duration{Duration: defaultSilence},
		Level:   "info",
	}
}

// Check returns all faults as one error marked settings.ErrInvalid, or nil.
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
	_, ok := policyOf(s.Policy)
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

func policyOf(name string) (dispatch.Policy, bool) {
	for _, p := range dispatch.Policies() {
		if p.Name == name {
			return p, true
		}
	}
	return dispatch.Policy{}, false
}
