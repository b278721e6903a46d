package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	maxApplyTime  = 2 * time.Second // after the store accepted a configuration, until gateways in contact have it in force
	maxRevokeTime = 5 * time.Second // the key age that the settings of the gateways set; holds without a store as well
	contactTime   = 3 * time.Second // after the return of the store or the start of a gateway, until the gateway is in contact
)

// possibleConfigs returns the configurations that may be in force during a request, if gateways have them in force
// within the given time: the newest that was accepted before that, and all that were sent later.
func (v *View) possibleConfigs(s *SentRequest, applyTime time.Duration) []Publication {
	first := 0
	for n, p := range v.Publications {
		if p.AckedAt.Add(applyTime).Before(s.StartedAt) {
			first = n
		}
	}
	return slices.DeleteFunc(slices.Clone(v.Publications[first:]), func(p Publication) bool { return p.SentAt.After(s.DoneAt) })
}

// allows reports whether the configuration allows what a request met: the refusal, or the services that ran it.
func (v *View) allows(p *Publication, s *SentRequest) bool {
	route, found := p.RouteOf(s.Path)
	switch s.Status {
	case http.StatusNotFound:
		return !found
	case http.StatusUnauthorized:
		return !found || !p.HasKey(s.Key)
	}
	return !slices.ContainsFunc(v.allRuns[s.ID], func(r target.Run) bool {
		return !found || r.Service != route.Service
	})
}

// outdatedAnswers finds requests that a gateway in contact handled as only an outdated configuration allows: refused
// although the route and the key are there, or run by a service that the route no longer leads to.
func outdatedAnswers(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		possible := v.possibleConfigs(s, maxApplyTime)
		judged := len(possible) > 0 && (s.Status > 0 || len(v.allRuns[s.ID]) > 0) && v.inContact(s.Gateway, s.StartedAt, s.DoneAt)
		return judged && !slices.ContainsFunc(possible, func(p Publication) bool { return v.allows(&p, s) })
	})
}

// runsWithRevokedKeys finds requests that ran although their key was revoked more than maxRevokeTime before. Neither the
// state of the store nor that of the gateway excuses them.
func runsWithRevokedKeys(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		possible := v.possibleConfigs(s, maxRevokeTime)
		revoked := len(possible) > 0 && !slices.ContainsFunc(possible, func(p Publication) bool { return p.HasKey(s.Key) })
		return revoked && len(v.allRuns[s.ID]) > 0
	})
}

// inContact reports whether a gateway and the store were there all the time between from and to, and since contactTime
// before.
func (v *View) inContact(gateway int, from, to time.Time) bool {
	started := slices.ContainsFunc(v.Stops[gateway], func(s Stop) bool { return s.overlaps(from.Add(-contactTime), to) })
	return !started && !v.hadOutage(gateway, from, to) && !v.storeAway(from, to, contactTime)
}

// storeAway reports whether the store was away, or back for less than the given time, at some moment between from and to.
func (v *View) storeAway(from, to time.Time, recovery time.Duration) bool {
	return slices.ContainsFunc(v.StoreOutages, func(s TimeSpan) bool { return s.overlaps(from.Add(-recovery), to) })
}

// leavingKnownFrom returns the moment from which a gateway knows that a target leaves, which the store accepted at the
// given time. If the store went away before all gateways had read it, or while a gateway that has started since had not,
// the target has to write it again.
func (v *View) leavingKnownFrom(gateway int, accepted, to time.Time) time.Time {
	known := accepted
	for _, s := range v.StoreOutages {
		unread := s.overlaps(known, known.Add(maxDrainTime))
		started := s.overlaps(known, to) && slices.ContainsFunc(v.Stops[gateway], func(stop Stop) bool { return stop.overlaps(known, to) })
		if unread || started {
			known = s.To.Add(maxTargetRewrite)
		}
	}
	return known
}
