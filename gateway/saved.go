package gateway

import (
	"time"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/quarantine"
)

const (
	saveDelay       = time.Second            // for which a trait is held before it is saved; most are released sooner
	savedSyncPeriod = 250 * time.Millisecond // between two looks for traits to save
	savedLifetime   = 2 * time.Hour          // after the last crash, for which a saved trait is believed; longer than any hold
)

// savedTraits keeps the held traits of the store in line with what this host has seen itself, so that a fleet
// whose hosts all start again knows them.
type savedTraits struct {
	gateway *Gateway
	loaded  bool
	era     uint64                         // of the store, as of the last call
	written map[quarantine.Trait]bool      // rows that this host wrote and that are to be there
	removed map[quarantine.Trait]time.Time // rows that this host removed, and when
}

// Limits of what is remembered of removed rows.
const (
	removedMemory = 30 * time.Second // copies of the store are some seconds old
	maxRemoved    = 512
)

// newSavedTraits returns the saved traits of a gateway, which are not read yet.
func newSavedTraits(g *Gateway) *savedTraits {
	return &savedTraits{gateway: g, written: map[quarantine.Trait]bool{}, removed: map[quarantine.Trait]time.Time{}}
}

// sync reads the saved traits once, and writes or removes those that this host has to. It returns the time until the
// next call.
func (s *savedTraits) sync() time.Duration {
	if !s.loaded && !s.load() {
		return storeRetryDelay
	}
	now := time.Now()
	s.noteRestore(now)
	for _, trait := range s.gateway.core.traitsToSave(now) {
		if !s.save(trait) {
			return storeRetryDelay
		}
	}
	for _, trait := range s.gateway.core.traitsToRemove() {
		if !s.remove(trait) {
			return storeRetryDelay
		}
	}
	return savedSyncPeriod
}

// noteRestore has the rows written and removed again that this host wrote or removed, if the store came back from a copy
// since the last call.
func (s *savedTraits) noteRestore(now time.Time) {
	era, before := s.gateway.storeEra(), s.era
	s.era = era
	for trait, at := range s.removed {
		if now.Sub(at) >= removedMemory {
			delete(s.removed, trait)
		}
	}
	if era == before {
		return
	}
	for trait := range s.written {
		s.gateway.core.noteForSaving(trait, now.Add(-saveDelay))
	}
	for trait := range s.removed {
		s.gateway.core.noteForRemoval(trait)
	}
}

// load reads the saved traits. It returns false if that failed.
func (s *savedTraits) load() bool {
	g := s.gateway
	list, err := g.client.HeldTraits()
	g.recordStoreCall("traits", err)
	if err != nil {
		return false
	}
	s.loaded = true
	now, wall := time.Now(), time.Now().Round(0) // rows have the time of day
	for _, t := range list {
		age := max(0, wall.Sub(t.LastCrash))
		if age > savedLifetime {
			g.core.noteForRemoval(quarantine.Trait(t.Trait))
			continue
		}
		g.mergeStatus(now, quarantine.Status{Trait: quarantine.Trait(t.Trait), Incidents: t.Crashes, LastCrash: now.Add(-age)})
	}
	return true
}

// save writes a held trait, or forgets to if it is not held any more. It returns false if that failed.
func (s *savedTraits) save(trait quarantine.Trait) bool {
	g := s.gateway
	status, ok := g.core.heldStatus(trait)
	if ok {
		age := time.Since(status.LastCrash)
		err := g.client.PutHeldTrait(platform.HeldTrait{Trait: uint64(trait), Crashes: status.Incidents, LastCrash: time.Now().Add(-age)})
		g.recordStoreCall("traits", err)
		if err != nil {
			return false
		}
		g.record.traitSaved(trait, status.Incidents)
		s.written[trait] = true
		delete(s.removed, trait)
	}
	if !ok {
		delete(s.written, trait)
	}
	g.core.forgetTraitToSave(trait)
	return true
}

// remove removes the row of a trait. It returns false if that failed.
func (s *savedTraits) remove(trait quarantine.Trait) bool {
	g := s.gateway
	err := g.client.RemoveHeldTrait(uint64(trait))
	g.recordStoreCall("traits", err)
	if err != nil {
		return false
	}
	g.record.traitSaved(trait, 0)
	delete(s.written, trait)
	if len(s.removed) < maxRemoved {
		s.removed[trait] = time.Now()
	}
	g.core.forgetTraitToRemove(trait)
	return true
}

// recordStoreCall records the result of a call to the store. An error that comes while this host stops is left
// out, since it says nothing about the store.
func (g *Gateway) recordStoreCall(part string, err error) {
	if err != nil && g.ctx.Err() != nil {
		return
	}
	g.record.storeRead(part, err)
	g.record.storeEra(g.client.History())
}

// mergeStatus records what the store knows of a trait.
func (g *Gateway) mergeStatus(now time.Time, status quarantine.Status) {
	g.core.mu.Lock()
	changes := g.core.quarantine.Merge(now, status)
	g.core.mu.Unlock()
	g.applyTraitChanges(changes, g.settings.Store)
}

// noteForStore notes what the store has to be told of changes that this host has seen itself: traits that are held,
// and those that are not any more and were saved.
func (c *core) noteForStore(now time.Time, changes []quarantine.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		switch {
		case change.Held:
			c.toSave[change.Trait] = now
		case change.HeldFor >= saveDelay:
			c.toRemove[change.Trait] = true
		}
	}
}

// noteForSaving notes that the store is to be told of a trait that has been held since a time.
func (c *core) noteForSaving(trait quarantine.Trait, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toSave[trait] = since
}

// noteForRemoval notes that a trait is to be removed from the store.
func (c *core) noteForRemoval(trait quarantine.Trait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toRemove[trait] = true
}

// traitsToSave returns the traits that have been held for long enough and that the store is to be told of.
func (c *core) traitsToSave(now time.Time) []quarantine.Trait {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []quarantine.Trait
	for trait, since := range c.toSave {
		if now.Sub(since) >= saveDelay {
			list = append(list, trait)
		}
	}
	return list
}

// traitsToRemove returns the traits whose rows are to be removed from the store.
func (c *core) traitsToRemove() []quarantine.Trait {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]quarantine.Trait, 0, len(c.toRemove))
	for trait := range c.toRemove {
		list = append(list, trait)
	}
	return list
}

// forgetTraitToSave forgets a trait that was saved or is not held any more.
func (c *core) forgetTraitToSave(trait quarantine.Trait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.toSave, trait)
}

// forgetTraitToRemove forgets a trait whose row was removed.
func (c *core) forgetTraitToRemove(trait quarantine.Trait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.toRemove, trait)
}

// heldStatus returns what is known of a trait that other hosts have to hold as well, and false for any other trait.
func (c *core) heldStatus(trait quarantine.Trait) (quarantine.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.HeldStatus(trait)
}
