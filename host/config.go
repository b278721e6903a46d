package host

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/wire"
)

// maxSteps limits the configuration changes that are kept for peers with an
// older revision. A peer that is further behind gets the whole configuration.
const maxSteps = 256

// Apply puts a configuration in force if its revision is higher than the
// current one, and reports whether it did.
func (h *Host) Apply(now time.Time, set *catalog.Set) bool {
	h.setTime(now)
	current := h.view.Set
	if set.Revision <= current.Revision {
		return false
	}
	if current.Revision > 0 {
		h.recentSteps = append(h.recentSteps, catalog.Diff(current, set))
		h.recentSteps = h.recentSteps[max(0, len(h.recentSteps)-maxSteps):]
	}
	h.install(now, set)
	return true
}

// install makes a configuration the one in force, updates the shards that
// depend on it, and tells peers its revision.
func (h *Host) install(now time.Time, set *catalog.Set) {
	h.view = catalog.NewView(set)
	h.commands.View = h.view
	placeUnknown := h.roster.Place() == 0
	h.roster.SetPlace(h.view.PlaceNumber(h.config.Place))
	h.updateOwnership(now)
	for _, shard := range h.ownedShards() {
		h.shards[shard].Configure(now, h.view)
	}
	h.sendHeartbeats(now, true)
	h.sendRosterToPlaces(now, placeUnknown)
	h.deliverPending()
}

// requestNewerConfig asks a peer for its configuration if the revision that it
// reported is higher than the one in force.
func (h *Host) requestNewerConfig(now time.Time, from netip.AddrPort, revision uint64) {
	if revision <= h.view.Set.Revision || now.Sub(h.configRequestedAt) < minConfigRequestInterval {
		return
	}
	h.configRequestedAt = now
	h.send(from, &wire.ConfigRequest{Have: h.view.Set.Revision})
}

// sendConfigSince answers a request for the configuration with the changes
// since the revision that the peer has, or with the whole configuration if
// these changes are no longer kept.
func (h *Host) sendConfigSince(from netip.AddrPort, m *wire.ConfigRequest) {
	set := h.view.Set
	if set.Revision <= m.Have {
		return
	}
	for i, step := range h.recentSteps {
		if step.From == m.Have {
			h.send(from, &wire.ConfigSteps{From: m.Have, Bodies: encodeSteps(h.recentSteps[i:])})
			return
		}
	}
	h.send(from, &wire.ConfigSnapshot{Revision: set.Revision, Body: set.Encode()})
}

// encodeSteps returns the JSON of each configuration change.
func encodeSteps(steps []catalog.Step) [][]byte {
	var bodies [][]byte
	for _, step := range steps {
		body, err := json.Marshal(step)
		if err == nil {
			bodies = append(bodies, body)
		}
	}
	return bodies
}

// applySnapshot applies a whole configuration from a peer. One that is
// malformed or does not have the stated revision is ignored.
func (h *Host) applySnapshot(now time.Time, m *wire.ConfigSnapshot) {
	set, err := catalog.ParseSet(m.Body)
	if err == nil && set.Revision == m.Revision {
		h.Apply(now, set)
	}
}

// applySteps applies a peer's configuration changes in order. If one is
// malformed or does not follow from the revision before, the whole
// configuration is requested instead.
func (h *Host) applySteps(now time.Time, from netip.AddrPort, m *wire.ConfigSteps) {
	if m.From != h.view.Set.Revision {
		return
	}
	set := h.view.Set
	for _, body := range m.Bodies {
		var step catalog.Step
		err := json.Unmarshal(body, &step)
		if err == nil {
			set, err = set.Apply(step)
		}
		if err != nil {
			h.send(from, &wire.ConfigRequest{Have: 0})
			return
		}
	}
	h.Apply(now, set)
}

// pollPlatform requests a poll of the platform once per poll interval. Only the
// head of a place polls, and any host that has no configuration yet.
func (h *Host) pollPlatform(now time.Time) {
	if now.Sub(h.polledAt) < h.config.PollInterval {
		return
	}
	if h.view.Set.Revision > 0 && !h.roster.IsHead() {
		return
	}
	h.polledAt = now
	h.commands.Poll = true
}
