package route

import (
	"net/netip"
	"time"
)

// Target is a replica of a service as it tells of itself.
type Target struct {
	ID      string // names one start of the replica, mostly
	Service string
	Address netip.AddrPort
	Place   string // data centre
	Slots   int    // requests that it runs at once
	Leaving bool   // takes no new work
	Cold    time.Duration
	Born    time.Time // start of the replica, zero if it does not tell
}
