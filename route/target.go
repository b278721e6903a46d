package route

import (
	"net/netip"
	"time"
)

// Target is a replica of a service as it registered itself in the store.
type Target struct {
	ID        string // usually identifies one start of the replica
	Service   string
	Address   netip.AddrPort
	Place     string        // data centre
	Version   string        // software version, empty if the entry has none; versions have no order
	Slots     int           // requests that it runs at once
	Leaving   bool          // takes no new work
	Cold      time.Duration // time until its cold start is over, as of its entry
	ColdUntil time.Time     // end of its cold start at the latest, zero if it is warm
	StartedAt time.Time     // start of the replica, zero if unknown
}
