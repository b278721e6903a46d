package gateway

import "time"

// StopWorkEnd returns the time by which all work of a gateway that stops has to be finished, as the gateway set it at
// the signal.
func (g *Gateway) StopWorkEnd() time.Time { return time.Now().Add(g.stopTimeLeft()) }
