package quarantine

import (
	"slices"
	"time"
)

const (
	maxVouches = 64                     // traits that wait to be vouched for
	vouchDelay = 100 * time.Millisecond // longest time until a host vouches for a trait; it differs between hosts, and the first one spares the others
)

// vouch is a held trait that requests were answered with before, which other hosts may not know.
type vouch struct {
	trait Trait
	due   time.Time
}

// addVouch remembers to vouch for a trait that is held from now on, if it is known here.
func (t *Table) addVouch(now time.Time, trait Trait) {
	if !t.known.Contains(trait) || len(t.vouches) >= maxVouches {
		return
	}
	delay := time.Duration(hostFraction(t.self, trait) * float64(vouchDelay))
	t.vouches = append(t.vouches, vouch{trait: trait, due: now.Add(delay)})
}

// Vouches returns the held traits of which this host is to tell the others that requests with them were
// answered before, so that none of them holds these for as long as unknown ones.
func (t *Table) Vouches(now time.Time) []Trait {
	var due []Trait
	t.vouches = slices.DeleteFunc(t.vouches, func(v vouch) bool {
		if now.Before(v.due) {
			return false
		}
		if t.held.Contains(v.trait) {
			due = append(due, v.trait)
		}
		return true
	})
	return due
}

// RecordKnown records that requests with some traits were answered at another host before.
func (t *Table) RecordKnown(traits []Trait) {
	for _, trait := range traits {
		t.known.Add(trait, struct{}{})
	}
	t.vouches = slices.DeleteFunc(t.vouches, func(v vouch) bool { return slices.Contains(traits, v.trait) })
}
