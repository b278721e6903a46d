// Package gateway serves the callers of the platform on one host: it accepts their requests,
// asks package placement for a target, sends the request there and returns the answer.
package gateway

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/settings"
)

// Defaults of the settings.
const (
	defaultGrace  = 8 * time.Second
	defaultRevoke = 5 * time.Second
	defaultWindow = 10 * time.Second
	defaultRatio  = 0.2 // retries per request
	defaultFixed  = 20  // retries of the fleet in a window that need no requests
	defaultLag    = 40 * time.Millisecond

	defaultHeartbeat = 1200 * time.Millisecond
)

// Settings configures a Gateway. Optional settings that are left out have the defaults above.
type Settings struct {
	Name         string                    `json:"name"`      // name of the host in logs
	Place        string                    `json:"place"`     // data centre of the host
	Listen       netip.AddrPort            `json:"listen"`    // address for callers
	Ready        netip.AddrPort            `json:"ready"`     // address for readiness checks of the load balancer
	Peer         netip.AddrPort            `json:"peer"`      // address for messages of other gateways
	Metrics      netip.AddrPort            `json:"metrics"`   // address for metrics, which are not served if it is not set
	Store        netip.AddrPort            `json:"store"`     // address of the platform's store
	Seeds        []netip.AddrPort          `json:"seeds"`     // addresses of hosts that may be gateways; their ports are not used
	Regions      map[string]string         `json:"regions"`   // region of each data centre
	Memory       settings.OptionalNumber   `json:"memory"`    // memory limit of the process in MiB
	Cores        settings.OptionalNumber   `json:"cores"`     // number of processors
	Grace        settings.OptionalDuration `json:"grace"`     // time between the stop signal and the end of the process
	Revoke       settings.OptionalDuration `json:"revoke"`    // time within which a revoked key stops working
	Heartbeat    settings.OptionalDuration `json:"heartbeat"` // time between two heartbeats of a target
	RetryWindow  settings.OptionalDuration `json:"window"`    // time over which retries are counted
	RetryRatio   settings.OptionalNumber   `json:"ratio"`     // allowed retries per request
	FixedRetries settings.OptionalNumber   `json:"fixed"`     // retries of the whole fleet that are allowed in a window without requests
	MaxLag       settings.OptionalDuration `json:"lag"`       // mean wait for the processor above which a host refuses requests
	LogLevel     string                    `json:"level"`     // lowest level of log lines that are written
}

// NewSettings returns settings with the default log level.
func NewSettings() Settings { return Settings{LogLevel: "info"} }

// Check returns all invalid settings as one error marked settings.ErrInvalid, or nil.
func (s *Settings) Check() error {
	var c settings.Checker
	c.Require(s.Place != "", "place", "must name the data centre")
	c.RequireAddress(s.Listen, "listen")
	c.RequireAddress(s.Ready, "ready")
	c.RequireAddress(s.Peer, "peer")
	c.RequireAddress(s.Store, "store")
	return c.Err()
}

// listensAt returns whether an address is one at which this host listens.
func (s *Settings) listensAt(a netip.AddrPort) bool {
	return a == s.Listen || a == s.Ready || a == s.Peer || a == s.Metrics
}
