package gateway

import (
	"net/netip"

	"github.com/cassiachute/cassiachute/route"
)

// storeRead records the result of reading a part of the store, or of writing the row of this
// host. Only changes between success and failure are logged.
func (r *recorder) storeRead(part string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	r.metrics.store.WithLabelValues(part, result).Inc()
	if !r.stateChanged(part, err != nil) {
		return
	}
	if err != nil {
		r.log.Warn().Str("event", eventStoreDown).Str("part", part).Err(err).Send()
		return
	}
	r.log.Info().Str("event", eventStoreUp).Str("part", part).Send()
}

// configApplied records that a configuration came into force.
func (r *recorder) configApplied(t *route.Table) {
	r.metrics.revision.Set(float64(t.Version))
	r.log.Info().Str("event", eventConfig).Uint64("revision", t.Version).Int("routes", len(t.Routes)).
		Int("teams", len(t.Teams)).Send()
}

// configUnreadable records a configuration that can't be used.
func (r *recorder) configUnreadable(err error) {
	r.log.Error().Str("event", eventBadConfig).Err(err).Send()
}

// peerAsked records whether another host answered a query for the store's content. Only
// changes between success and failure are logged.
func (r *recorder) peerAsked(peer netip.AddrPort, err error) {
	if r.stateChanged("peer "+peer.String(), err != nil) {
		r.log.Info().Str("event", eventPeerAsked).Stringer("peer", peer).Err(err).Send()
	}
}

// targetUnreadable records an entry of a target that can't be used. Each key is logged once.
func (r *recorder) targetUnreadable(key string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reportedTargets[key] || len(r.reportedTargets) >= maxReportedTargets {
		return
	}
	r.reportedTargets[key] = true
	r.log.Warn().Str("event", eventBadTarget).Str("target", key).Err(err).Send()
}

// maxReportedTargets limits the keys that targetUnreadable remembers. Further entries are not logged.
const maxReportedTargets = 1024

// targetsChanged records the size of the list of targets after a change.
func (r *recorder) targetsChanged(ready, leaving int) {
	r.log.Info().Str("event", eventTargets).Int("ready", ready).Int("leaving", leaving).Send()
}

// peerChanged records that another host is alive again or has gone silent.
func (r *recorder) peerChanged(address netip.AddrPort, place string, up bool) {
	event, name := r.log.Warn(), eventPeerDown
	if up {
		event, name = r.log.Info(), eventPeerUp
	}
	event.Str("event", name).Stringer("peer", address).Str("place", place).Send()
}

// peerFailed records that a message to or from other hosts failed. Only changes between
// success and failure are logged.
func (r *recorder) peerFailed(err error) {
	r.metrics.peerErrors.Inc()
	if r.stateChanged(peersPart, true) {
		r.log.Warn().Str("event", eventPeerFailed).Err(err).Send()
	}
}

// peersReached records that the state was sent to all hosts without an error.
func (r *recorder) peersReached() {
	if r.stateChanged(peersPart, false) {
		r.log.Info().Str("event", eventPeerSent).Send()
	}
}

// peersPart is the key for messages between hosts in recorder.failing.
const peersPart = "peers"

// stateChanged stores whether a part is failing. It returns whether that differs from before.
func (r *recorder) stateChanged(part string, down bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing[part] == down {
		return false
	}
	r.failing[part] = down
	return true
}
