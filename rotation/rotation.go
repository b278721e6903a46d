// Package rotation decides whether a host takes new connections of callers. A balancer
// asks each host once a second and sends new connections elsewhere once a host said no
// twice, so a crowd of callers that reaches one host can be moved to others.
package rotation

import "time"

const (
	awayLimitPart   = 0.125            // of the lateness from which a host refuses requests, at which it leaves
	backLimitPart   = 0.5              // of the lateness at which it leaves, below which it may come back
	leastAway       = 5 * time.Second  // that callers are moved elsewhere and what has begun ends
	mostAway        = 20 * time.Second // after which a host always tries again
	calmTime        = 30 * time.Second // in rotation, after which a host that leaves stays away for the least time
	moveTime        = 2 * time.Second  // that the balancer takes to send new connections elsewhere
	lookTime        = time.Second      // between two of its looks
	placeAwayPart   = 3                // of so many hosts of a data centre one may be away
	fleetAwayPart   = 10               // of so many hosts of the fleet one may be away
	leastPlaceHosts = 3                // of a data centre in which hosts leave
)

// Others is what a host knows of the other hosts.
type Others struct {
	Place     int // hosts of the same data centre
	PlaceAway int // of them, those out of rotation
	Fleet     int // all other hosts
	FleetAway int // of them, those out of rotation
	Ahead     int // hosts of the same data centre out of rotation that stay away before this one
}

// mayLeave returns whether one more host may be out of rotation. In a small fleet one host is
// much of it, and stays until it refuses requests.
func (o Others) mayLeave(refusing bool) bool {
	place, fleet := o.Place+1, o.Fleet+1
	switch {
	case place < leastPlaceHosts || o.PlaceAway >= place/placeAwayPart:
		return false
	case fleet < fleetAwayPart:
		return refusing && o.FleetAway == 0
	default:
		return o.FleetAway < fleet/fleetAwayPart
	}
}

// full returns whether no other host may leave while this one is out of rotation.
func (o Others) full() bool {
	return o.PlaceAway+1 >= (o.Place+1)/placeAwayPart || o.FleetAway+1 >= (o.Fleet+1)/fleetAwayPart
}

// tooMany returns whether more hosts than may are out of rotation and this one is to come
// back.
func (o Others) tooMany() bool { return o.Ahead >= max(1, (o.Place+1)/placeAwayPart) }

// Host is the place of one host in the rotation. It answers callers that crowd on one host,
// or a host that turned slow: what the host takes late would be served in time elsewhere.
type Host struct {
	limit   time.Duration // lateness from which the host refuses requests
	away    bool
	since   time.Time     // of the last change
	absence time.Duration // least time that the host stays away
}

// NewHost returns a Host that is in rotation and refuses requests from a lateness on.
func NewHost(limit time.Duration) *Host { return &Host{limit: limit} }

// SetLimit changes the lateness from which the host refuses requests.
func (h *Host) SetLimit(limit time.Duration) { h.limit = limit }

// Away returns whether the host is out of rotation.
func (h *Host) Away() bool { return h.away }

// Tick takes the mean lateness of the work of this host. It returns whether the host left the
// rotation or came back. The other hosts are looked at only if that may change anything.
func (h *Host) Tick(now time.Time, lateness time.Duration, others func() Others) bool {
	leave := time.Duration(awayLimitPart * float64(h.limit))
	switch {
	case h.away && h.mayReturn(now, lateness, leave, others):
		h.away = false
	case !h.away && lateness > leave && others().mayLeave(lateness > h.limit):
		h.away = true
		h.absence = h.next(now)
	default:
		return false
	}
	h.since = now
	return true
}

// next returns the least time that a host which leaves now stays away. A crowd that comes back
// with it is kept away for longer.
func (h *Host) next(now time.Time) time.Duration {
	if h.absence == 0 || now.Sub(h.since) >= calmTime {
		return leastAway
	}
	return min(2*h.absence, mostAway)
}

// mayReturn returns whether a host that is away comes back. A calm one makes room for hosts
// that are late.
func (h *Host) mayReturn(now time.Time, lateness, leave time.Duration, others func() Others) bool {
	away := now.Sub(h.since)
	calm := lateness < time.Duration(backLimitPart*float64(leave))
	switch {
	case away >= mostAway || away >= h.absence && calm:
		return true
	case away >= leastAway && calm:
		return others().full()
	default:
		return others().tooMany()
	}
}

// Moved returns the time until new connections of a caller that reached this host go elsewhere, 0 if
// they are not going to. A caller that still comes after the usual time waits for the next look of
// the balancer, which may have missed one at a host that answers late.
func (h *Host) Moved(now time.Time) time.Duration {
	if !h.away {
		return 0
	}
	return max(lookTime, moveTime-now.Sub(h.since))
}
