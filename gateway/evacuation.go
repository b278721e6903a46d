package gateway

import (
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/history"
	"github.com/cassiachute/cassiachute/platform"
)

// evacuationGrace is the time for which an evacuation is kept that a copy of the store lacks. The operator writes again
// what was lost, but not at once.
const evacuationGrace = 10 * time.Second

// applyEvacuations updates the evacuated data centres from a page of the operator's table. A page that
// is read while the version of configPosition is 0 lists all of them, others list changes only.
func (w *watcher) applyEvacuations(page platform.Page) {
	now := time.Now()
	if w.evacuated == nil {
		w.evacuated = history.NewKeys(evacuationGrace)
	}
	if w.configPosition.Version == 0 {
		var listed []string
		for _, row := range page.Rows {
			if place, ok := platform.EvacuatedPlace(row.Key); ok && !row.Removed {
				listed = append(listed, place)
			}
		}
		w.evacuated.Replace(now, page.Position.Era, listed, w.gateway.storeCache.evacuatedPlaces())
	} else {
		for _, row := range page.Rows {
			if place, ok := platform.EvacuatedPlace(row.Key); ok {
				w.evacuated.Set(place, !row.Removed)
			}
		}
	}
	w.gateway.updateEvacuated(w.evacuated.All(now), page.Position)
}

// updateEvacuated replaces the evacuated data centres by those that were known at a position in the store's history,
// unless they were read at a later one.
func (g *Gateway) updateEvacuated(places []string, position history.Position) {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	era := g.storeCache.era()
	before, newer := g.storeCache.setEvacuated(places, position)
	if newer && era != 0 && era != position.Era {
		g.core.noteCopy()
	}
	if !newer || slices.Equal(before, places) {
		return
	}
	g.core.board.SetEvacuated(time.Now(), places)
	g.record.evacuated(places, position)
}

// setEvacuated stores the evacuated data centres as of a position in the store's history. It returns those stored
// before, and false if they were read at a later position.
func (c *storeCache) setEvacuated(places []string, position history.Position) (before []string, newer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.evacuated
	if position.Version == 0 || position.Compare(c.evacuatedAsOf) < 0 {
		return before, false
	}
	c.evacuated, c.evacuatedAsOf = places, position
	return before, true
}

// evacuatedPlaces returns the evacuated data centres.
func (c *storeCache) evacuatedPlaces() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuated
}

// evacuatedCount returns the number of evacuated data centres.
func (c *storeCache) evacuatedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.evacuated)
}

// evacuated records which data centres are evacuated from now on.
func (r *recorder) evacuated(places []string, position history.Position) {
	r.log.Info().Str("event", eventEvacuated).Strs("places", places).Uint64("era", position.Era).Uint64("version", position.Version).Send()
}
