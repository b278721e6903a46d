// Package gateway is the process of one host that serves the callers of the
// users' platform: it takes their requests, asks package placement where each one
// runs, sends it there, and passes the answer on.
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
	defaultRatio  = 0.2
	defaultFixed  = 20
	defaultLag    = 40 * time.Millisecond

	defaultHeartbeat = 1200 * time.Millisecond
)

// Settings are the settings of a gateway.
type Settings struct {
	Name      string                    `json:"name"`      // name of the host, for logs
	Place     string                    `json:"place"`     // data centre
	Listen    netip.AddrPort            `json:"listen"`    // address for callers
	Ready     netip.AddrPort            `json:"ready"`     // address where the balancer asks whether the host is ready
	Peer      netip.AddrPort            `json:"peer"`      // address for the other gateways
	Metrics   netip.AddrPort            `json:"metrics"`   // address for metrics and status, none without one
	Store     netip.AddrPort            `json:"store"`     // address of the platform's store
	Seeds     []netip.AddrPort          `json:"seeds"`     // addresses of hosts that may serve; the ports are not used
	Memory    settings.OptionalNumber   `json:"memory"`    // limit of the process in MiB
	Cores     settings.OptionalNumber   `json:"cores"`     // processors
	Grace     settings.OptionalDuration `json:"grace"`     // time between the signal to stop and the end of the process
	Revoke    settings.OptionalDuration `json:"revoke"`    // time in which a key that is taken away stops working
	Heartbeat settings.OptionalDuration `json:"heartbeat"` // time between two heartbeats of a target
	Window    settings.OptionalDuration `json:"window"`    // over which repeats are counted
	Ratio     settings.OptionalNumber   `json:"ratio"`     // of repeats to requests
	Fixed     settings.OptionalNumber   `json:"fixed"`     // repeats of the fleet in a window that are allowed without requests
	Lag       settings.OptionalDuration `json:"lag"`       // mean time that work waits for the processor from which a host refuses requests
	Level     string                    `json:"level"`     // least level of log lines
}

// NewSettings returns settings with the defaults.
func NewSettings() Settings { return Settings{Level: "info"} }

// Check returns all faults as one error marked settings.ErrInvalid, or nil.
func (s *Settings) Check() error {
	var c settings.Checker
	c.Require(s.Place != "", "place", "must name the data centre")
	c.RequireAddress(s.Listen, "listen")
	c.RequireAddress(s.Ready, "ready")
	c.RequireAddress(s.Peer, "peer")
	c.RequireAddress(s.Store, "store")
	return c.Err()
}

// owns returns whether an address is one at which this host listens.
func (s *Settings) owns(a netip.AddrPort) bool {
	return a == s.Listen || a == s.Ready || a == s.Peer || a == s.Metrics
}
