// Package cassiachute constructs the servers of a router fleet that shares model
// capacity fairly between teams. The work is done in other packages: entry serves
// callers and sends their requests to targets, host decides which request runs
// where, wire defines the messages between hosts, admin provides the API for
// operators, and gateway serves callers on the users' platform.
package cassiachute

import (
	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/gateway"
)

// config holds the values that the options set.
type config struct {
	log          zerolog.Logger
	droppedLines func() map[string]uint64
}

// Option configures a server that NewEntry, NewAdmin or NewGateway returns.
type Option func(c *config)

// WithLog sets the logger. By default, nothing is logged.
func WithLog(log zerolog.Logger) Option { return func(c *config) { c.log = log } }

// WithDroppedLines sets the function from which a gateway reads the number of dropped
// log lines by event, for its metrics. By default, the metrics report none.
func WithDroppedLines(droppedLines func() map[string]uint64) Option {
	return func(c *config) { c.droppedLines = droppedLines }
}

func newConfig(options []Option) config {
	c := config{log: zerolog.Nop(), droppedLines: func() map[string]uint64 { return nil }}
	for _, option := range options {
		option(&c)
	}
	return c
}

// NewEntry returns an entry host that listens and serves once Run is called. The
// error is marked settings.ErrInvalid if the settings are invalid.
func NewEntry(s entry.Settings, options ...Option) (*entry.Entry, error) {
	return entry.New(s, entry.WithLog(newConfig(options).log))
}

// NewAdmin returns the server of the administration API, which listens and serves
// once Run is called. The error is marked settings.ErrInvalid if the settings are
// invalid.
func NewAdmin(s admin.Settings, options ...Option) (*admin.Server, error) {
	return admin.New(s, admin.WithLog(newConfig(options).log))
}

// NewGateway returns a host that serves callers on the users' platform once Run
// is called. The error is marked settings.ErrInvalid if the settings are invalid.
func NewGateway(s gateway.Settings, options ...Option) (*gateway.Gateway, error) {
	c := newConfig(options)
	return gateway.New(s, gateway.WithLog(c.log), gateway.WithDroppedLines(c.droppedLines))
}
