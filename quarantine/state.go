package quarantine

import (
	"slices"
	"time"
)

// maxStatuses is the largest number of traits in the state that a host reports.
const maxStatuses = 64

// Status is what a host knows of one trait, as it tells other hosts.
type Status struct {
	Trait      Trait
	Incidents  int       // 0 if the trait was answered
	LastCrash  time.Time // zero without incidents
	AnsweredAt time.Time // zero if it was not answered
}

// State returns what this host knows of the traits that are held, and of those that were held and have
// been answered since. The newest come first.
func (t *Table) State() []Status {
	var list []Status
	for _, trait := range t.held.Keys() {
		record, _ := t.held.Peek(trait)
		list = append(list, Status{Trait: trait, Incidents: record.incidents(), LastCrash: record.lastCrash(), AnsweredAt: record.answeredAt})
	}
	for _, r := range t.released {
		list = append(list, Status{Trait: r.trait, AnsweredAt: r.at})
	}
	slices.SortStableFunc(list, func(a, b Status) int { return b.newest().Compare(a.newest()) })
	return list[:min(len(list), maxStatuses)]
}

// release is a trait that was held until it was answered.
type release struct {
	trait Trait
	at    time.Time
}

// addRelease remembers that a trait was answered, so that hosts that missed it are told.
func (t *Table) addRelease(trait Trait, at time.Time) {
	t.released = append(t.released, release{trait: trait, at: at})
	if len(t.released) > maxReleases {
		t.released = slices.Delete(t.released, 0, 1)
	}
}

// newest returns the time of the last crash or answer.
func (s *Status) newest() time.Time {
	if s.AnsweredAt.After(s.LastCrash) {
		return s.AnsweredAt
	}
	return s.LastCrash
}

// Merge records what another host knows of a trait and returns what changed.
func (t *Table) Merge(now time.Time, s Status) []Change {
	if _, known := t.lookup(s.Trait); !known && s.Incidents < holdIncidents {
		return nil
	}
	record := t.recordOf(s.Trait)
	if s.AnsweredAt.After(record.lastCrash()) && s.AnsweredAt.After(record.answeredAt) {
		record.answer(s.AnsweredAt)
		t.forgetSuspicion(s.Trait)
	}
	if s.LastCrash.After(record.answeredAt) && s.Incidents > record.incidents() {
		record.reported, record.reportedAt = s.Incidents, s.LastCrash
	}
	return t.settle(now, s.Trait, record)
}
