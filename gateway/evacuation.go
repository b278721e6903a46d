package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/platform"
)

// applyEvacuations updates the evacuated data centres from a page of the operator's table. A page that
// is read while the version of configPosition is 0 lists all of them, others list changes only.
func (w *watcher) applyEvacuations(page platform.Page) {
	if w.configPosition.Version == 0 || w.evacuated == nil {
		w.evacuated = map[string]bool{}
	}
	for _, row := range page.Rows {
		place, ok := platform.EvacuatedPlace(row.Key)
		switch {
		case !ok:
		case row.Removed:
			delete(w.evacuated, place)
		default:
			w.evacuated[place] = true
		}
	}
	w.gateway.updateEvacuated(slices.Sorted(maps.Keys(w.evacuated)), page.Position.Version)
}

// updateEvacuated replaces the evacuated data centres by those that the store listed at a version, unless they
// were read at a newer one.
func (g *Gateway) updateEvacuated(places []string, version uint64) {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	before, newer := g.storeCache.setEvacuated(places, version)
	if !newer || slices.Equal(before, places) {
		return
	}
	g.core.board.SetEvacuated(time.Now(), places)
	g.record.evacuated(places, version)
}

// setEvacuated stores the evacuated data centres as of a version of the store. It returns those stored before, and
// false if they were read at a newer version.
func (c *storeCache) setEvacuated(places []string, version uint64) (before []string, newer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.evacuated
	if version < c.evacuatedAsOf || version == 0 {
		return before, false
	}
	c.evacuated, c.evacuatedAsOf = places, version
	return before, true
}

// evacuatedCount returns the number of evacuated data centres.
func (c *storeCache) evacuatedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.evacuated)
}

// evacuated records which data centres are evacuated from now on.
func (r *recorder) evacuated(places []string, version uint64) {
	r.log.Info().Str("event", eventEvacuated).Strs("places", places).Uint64("version", version).Send()
}
