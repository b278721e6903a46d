// Package rotation decides whether a host takes new connections of callers. A load balancer checks the
// readiness of each host once a second and takes a host out of rotation after two failed checks, so
// many callers that reach one host can be moved to others.
package rotation

import "time"

// Thresholds and times of leaving the rotation and coming back.
const (
	leaveLatenessPart  = 0.125            // of the lateness from which a host refuses requests; above it the host leaves
	returnLatenessPart = 0.5              // of the lateness above which a host leaves; below it the host may come back
	minAbsence         = 5 * time.Second  // in which callers are moved elsewhere and running work ends
	maxAbsence         = 20 * time.Second // after which a host always comes back
	absenceResetTime   = 30 * time.Second // in rotation, after which the next absence is minAbsence again
	rerouteTime        = 2 * time.Second  // that the balancer takes to send new connections elsewhere
	checkInterval      = time.Second      // of the readiness checks of the balancer
	placeAwayDivisor   = 3                // one in so many hosts of a data centre may be out of rotation
	fleetAwayDivisor   = 10               // one in so many of all hosts may be out of rotation
	minPlaceHosts      = 3                // of a data centre in which hosts may leave
)

// OtherHosts is what a host knows of the rotation state of the other hosts.
type OtherHosts struct {
	Place     int // other hosts of the same data centre
	PlaceAway int // of Place, those out of rotation
	Fleet     int // other hosts of all data centres
	FleetAway int // of Fleet, those out of rotation
	Ahead     int // of PlaceAway, those that have priority to stay away over this host
}

// mayLeave returns whether one more host may go out of rotation. In a small fleet one host is a
// large part of the capacity, so it leaves only if it refuses requests.
func (o OtherHosts) mayLeave(refusing bool) bool {
	place, fleet := o.Place+1, o.Fleet+1
	switch {
	case place < minPlaceHosts || o.PlaceAway >= place/placeAwayDivisor:
		return false
	case fleet < fleetAwayDivisor:
		return refusing && o.FleetAway == 0
	default:
		return o.FleetAway < fleet/fleetAwayDivisor
	}
}

// atLimit returns whether no other host may leave while this one is out of rotation.
func (o OtherHosts) atLimit() bool {
	return o.PlaceAway+1 >= (o.Place+1)/placeAwayDivisor || o.FleetAway+1 >= (o.Fleet+1)/fleetAwayDivisor
}

// overLimit returns whether more hosts of the data centre are out of rotation than may be, and
// this one has to come back.
func (o OtherHosts) overLimit() bool { return o.Ahead >= max(1, (o.Place+1)/placeAwayDivisor) }

// Host is the rotation state of one host. It leaves the rotation if many callers reach the same
// host or the host has become slow: what it would serve late, other hosts can serve in time.
type Host struct {
	limit     time.Duration // lateness from which the host refuses requests
	away      bool          // out of rotation
	changedAt time.Time     // when the host last left or came back
	absence   time.Duration // minimum time out of rotation, as of the last leave
}

// NewHost returns a Host that is in rotation and refuses requests above a lateness.
func NewHost(limit time.Duration) *Host { return &Host{limit: limit} }

// SetLimit sets the lateness from which the host refuses requests.
func (h *Host) SetLimit(limit time.Duration) { h.limit = limit }

// Away returns whether the host is out of rotation.
func (h *Host) Away() bool { return h.away }

// Tick takes the mean lateness of the work of this host and returns whether the host left the
// rotation or came back. others is called only if its result may matter.
func (h *Host) Tick(now time.Time, lateness time.Duration, others func() OtherHosts) bool {
	leave := time.Duration(leaveLatenessPart * float64(h.limit))
	switch {
	case h.away && h.mayReturn(now, lateness, leave, others):
		h.away = false
	case !h.away && lateness > leave && others().mayLeave(lateness > h.limit):
		h.away = true
		h.absence = h.nextAbsence(now)
	default:
		return false
	}
	h.changedAt = now
	return true
}

// nextAbsence returns the minimum absence of a host that leaves now. It doubles up to maxAbsence
// if the host was back for less than absenceResetTime, since the callers came back with it.
func (h *Host) nextAbsence(now time.Time) time.Duration {
	if h.absence == 0 || now.Sub(h.changedAt) >= absenceResetTime {
		return minAbsence
	}
	return min(2*h.absence, maxAbsence)
}

// mayReturn returns whether a host that is out of rotation comes back. A host that is no longer
// late comes back early if no late host could leave otherwise.
func (h *Host) mayReturn(now time.Time, lateness, leave time.Duration, others func() OtherHosts) bool {
	away := now.Sub(h.changedAt)
	calm := lateness < time.Duration(returnLatenessPart*float64(leave))
	switch {
	case away >= maxAbsence || away >= h.absence && calm:
		return true
	case away >= minAbsence && calm:
		return others().atLimit()
	default:
		return others().overLimit()
	}
}

// RerouteDelay returns the time until new connections of a caller that reached this host go to other
// hosts, or 0 if the host is in rotation. A caller that still comes after rerouteTime has to wait
// for the next check of the balancer, which may have missed one at a host that answers late.
func (h *Host) RerouteDelay(now time.Time) time.Duration {
	if !h.away {
		return 0
	}
	return max(checkInterval, rerouteTime-now.Sub(h.changedAt))
}
