package host

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/wire"
)

const maxSteps = 256 // changes kept for peers that are behind

// Apply takes a configuration. It is put in force only if its revision is
// higher than the one in force at this moment.
func (h *Host) Apply(now time.Time, set *catalog.Set) bool {
	h.tickAt(now)
	former := h.view.Set
	if set.Revision <= former.Revision {
		return false
	}
	if former.Revision > 0 {
		h.steps = append(h.steps, catalog.Diff(former, set))
		h.steps = h.steps[max(0, len(h.steps)-maxSteps):]
	}
	h.install(now, set)
	return true
}

func (h *Host) install(now time.Time, set *catalog.Set) {
	h.view = catalog.NewView(set)
	h.out.View = h.view
	first := h.roster.Place() == 0
	h.roster.SetPlace(h.view.PlaceNumber(h.config.Place))
	h.reshard(now)
	for _, shard := range h.ownShards() {
		h.shards[shard].Configure(now, h.view)
	}
	h.beatAll(now, true)
	h.tellPlaces(now, first)
	h.settle()
}

// compare asks a peer for its configuration if it is newer.
func (h *Host) compare(now time.Time, from netip.AddrPort, revision uint64) {
	if revision <= h.view.Set.Revision || now.Sub(h.asked) < askDelay {
		return
	}
	h.asked = now
	h.send(from, &wire.Ask{Have: h.view.Set.Revision})
}

// answerAsk sends the changes since a revision, or all if they are not kept.
func (h *Host) answerAsk(from netip.AddrPort, m *wire.Ask) {
	set := h.view.Set
	if set.Revision <= m.Have {
		return
	}
	for i, step := range h.steps {
		if step.From == m.Have {
			h.send(from, &wire.Steps{From: m.Have, Bodies: encodeSteps(h.steps[i:])})
			return
		}
	}
	h.send(from, &wire.Snapshot{Revision: set.Revision, Body: set.Encode()})
}

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

func (h *Host) takeSnapshot(now time.Time, m *wire.Snapshot) {
	set, err := catalog.ParseSet(m.Body)
	if err == nil && set.Revision == m.Revision {
		h.Apply(now, set)
	}
}

// takeSteps applies changes one by one. If they do not fit, it asks for all.
func (h *Host) takeSteps(now time.Time, from netip.AddrPort, m *wire.Steps) {
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
			h.send(from, &wire.Ask{Have: 0})
			return
		}
	}
	h.Apply(now, set)
}

// poll asks the platform now and then if this host speaks for its place.
func (h *Host) poll(now time.Time) {
	if now.Sub(h.polled) < h.config.Poll {
		return
	}
	if h.view.Set.Revision > 0 && !h.roster.IsHead() {
		return
	}
	h.polled = now
	h.out.Poll = true
}
