package quarantine

import (
	"slices"
	"time"
)

// maxStatuses is the largest number of traits in the state that a host reports.
const maxStatuses = 16

// Status is what a host knows of one trait, as it tells other hosts.
type Status struct {
	Trait      Trait
	Incidents  int       // 0 if the trait was answered
	LastCrash  time.Time // zero without incidents
	AnsweredAt time.Time // zero if it was not answered
	Known      bool      // requests with it were answered at some time before
}

// State returns what this host knows of traits that hosts which saw none of their crashes have to hold as
// well, and of those that were answered since. The newest come first.
func (t *Table) State() []Status {
	var list []Status
	for _, trait := range t.held.Keys() {
		if s, ok := t.HeldStatus(trait); ok {
			list = append(list, s)
		}
	}
	for _, r := range t.released {
		list = append(list, Status{Trait: r.trait, AnsweredAt: r.at, Known: true})
	}
	slices.SortStableFunc(list, func(a, b Status) int { return b.newest().Compare(a.newest()) })
	return list[:min(len(list), maxStatuses)]
}

// HeldStatus returns what this host knows of a trait. It returns false unless hosts that saw none of the
// crashes have to hold the trait as well.
func (t *Table) HeldStatus(trait Trait) (Status, bool) {
	record, ok := t.held.Peek(trait)
	if !ok {
		return Status{}, false
	}
	s := Status{
		Trait: trait, Incidents: record.incidents(), LastCrash: record.lastCrash(), AnsweredAt: record.answeredAt, Known: t.known.Contains(trait),
	}
	return s, s.convincing()
}

// convincing reports whether a host that saw none of the crashes is to hold the trait. One that requests
// were answered with before is held by others for the fewest incidents only until the next answer, which
// may come before they hear of it.
func (s *Status) convincing() bool {
	return s.Incidents > holdIncidents || s.Incidents == holdIncidents && !s.Known
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

// Merge records what another host knows of a trait and returns what changed. A host that knows as many
// crashes judges by itself.
func (t *Table) Merge(now time.Time, s Status) []Change {
	if _, known := t.lookup(s.Trait); !known && s.Incidents < holdIncidents {
		return nil
	}
	if s.Known {
		t.known.Add(s.Trait, struct{}{})
	}
	record := t.recordOf(s.Trait)
	var changes []Change
	if s.AnsweredAt.After(record.lastCrash()) && s.AnsweredAt.After(record.answeredAt) {
		changes = t.answer(now, s.AnsweredAt, s.Trait, record)
	}
	s.Known = t.known.Contains(s.Trait)
	if s.convincing() && s.LastCrash.After(record.answeredAt) && s.Incidents > max(record.score(), record.reported) {
		record.reported, record.reportedAt = s.Incidents, s.LastCrash
	}
	return append(changes, t.settle(now, s.Trait, record)...)
}
