package gateway

import "time"

// keyAgePart is the part of the time for a key to stop after which news are too old
// for requests with keys.
const keyAgePart = 0.7

// limits are the settings that a reload changes.
type limits struct {
	keyAge time.Duration // age of the configuration from which requests with keys are refused
	grace  time.Duration // time between the signal to stop and the end of the process
}

func newLimits(s *Settings) *limits {
	return &limits{
		keyAge: time.Duration(keyAgePart * float64(s.Revoke.Or(defaultRevoke))),
		grace:  s.Grace.Or(defaultGrace),
	}
}

// Reload takes changed settings. Addresses and the data centre stay as they were at
// the start. The error is marked settings.ErrInvalid; then nothing changes.
func (g *Gateway) Reload(s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	g.limits.Store(newLimits(&s))
	g.shortenStop()
	g.core.reload(s)
	return nil
}

// Reloaded notes a reload in the log.
func (g *Gateway) Reloaded(err error) { g.record.logReload(err) }
