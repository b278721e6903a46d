package gateway

import "time"

// keyAgeFraction is the fraction of the time in which a revoked key has to stop working. Requests
// with keys are refused once the configuration is older than that.
const keyAgeFraction = 0.7

// limits holds the settings that a reload can change.
type limits struct {
	keyAge time.Duration // age of the configuration from which requests with keys are refused
	grace  time.Duration // from the signal to stop until the process ends
}

// newLimits computes the limits from the settings.
func newLimits(s *Settings) *limits {
	return &limits{
		keyAge: time.Duration(keyAgeFraction * float64(s.Revoke.Or(defaultRevoke))),
		grace:  s.Grace.Or(defaultGrace),
	}
}

// Reload applies changed settings. Addresses and the data centre keep the values from the start.
// The error is marked settings.ErrInvalid, and then nothing changes.
func (g *Gateway) Reload(s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	g.limits.Store(newLimits(&s))
	g.held.SetMemory(float64(s.Memory))
	g.connections.SetMemory(float64(s.Memory))
	g.shortenStop()
	g.core.reload(s)
	return nil
}

// LogReload logs the result of a reload.
func (g *Gateway) LogReload(err error) { g.record.logReload(err) }
