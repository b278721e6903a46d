// Package cassiachute is a router fleet for teams that share model capacity
// fairly. It wires the parts of a host together; each part is a package of its
// own: host for the decisions, wire for the peers, entry for the callers and
// targets, admin for the operators.
package cassiachute

import (
	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/gateway"
)

// config is what the options set.
type config struct {
	log     zerolog.Logger
	dropped func() map[string]uint64
}

// Option changes a part that New… returns.
type Option func(c *config)

// WithLog sets the log. Without it, nothing is logged.
func WithLog(log zerolog.Logger) Option { return func(c *config) { c.log = log } }

// WithDropped sets where a gateway reads the number of log lines that were dropped,
// for its metrics. Without it, none are counted.
func WithDropped(dropped func() map[string]uint64) Option {
	return func(c *config) { c.dropped = dropped }
}

func newConfig(options []Option) config {
	c := config{log: zerolog.Nop(), dropped: func() map[string]uint64 { return nil }}
	for _, option := range options {
		option(&c)
	}
	return c
}

// NewEntry returns an entry host that listens and serves once Run is called. The
// error is marked settings.ErrInvalid if the settings are at fault.
func NewEntry(s entry.Settings, options ...Option) (*entry.Entry, error) {
	return entry.New(s, entry.WithLog(newConfig(options).log))
}

// NewAdmin returns an administration API that listens and serves once Run is
// called. The error is marked settings.ErrInvalid if the settings are at fault.
func NewAdmin(s admin.Settings, options ...Option) (*admin.Server, error) {
	return admin.New(s, admin.WithLog(newConfig(options).log))
}

// NewGateway returns a host that serves callers on the users' platform once Run
// is called. The error is marked settings.ErrInvalid if the settings are at fault.
func NewGateway(s gateway.Settings, options ...Option) (*gateway.Gateway, error) {
	c := newConfig(options)
	return gateway.New(s, gateway.WithLog(c.log), gateway.WithDroppedLines(c.dropped))
}
