// Package history orders what is read from a store that may come back from a copy of itself. The store numbers
// its eras: each return begins a new one, in which versions of the era before are given out again. A version
// alone says nothing then, so whatever is remembered of the store carries a Position.
package history

import (
	"cmp"
	"sync"
	"time"
)

// Position is a point in the history of the store. The zero value is before all others.
type Position struct {
	Era     uint64 // number of the era, 0 if the store does not number its eras
	Version uint64 // version of the store within the era
}

// Compare returns -1, 0 or 1 if the position is before, at or after another one. Any position of an era is after
// all positions of earlier eras.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version))
}

// Sizes of a packed position.
const (
	versionBits   = 48
	maxVersion    = 1<<versionBits - 1
	maxPackedEras = 1<<(64-versionBits) - 1
)

// Pack returns the position as one number of the same order, which equals the version in a store without eras.
// Hosts exchange it in that form: a release that knows no eras takes it for a version and needs no other message.
// Versions from 2^48 and eras from 2^16 on are packed as the largest that fits, and have no order among each other.
func (p Position) Pack() uint64 {
	return min(p.Era, maxPackedEras)<<versionBits | min(p.Version, maxVersion)
}

// Unpack returns the position that was packed into a number.
func Unpack(packed uint64) Position {
	return Position{Era: packed >> versionBits, Version: packed & maxVersion}
}

// Relation tells how the era of an answer relates to the newest one seen before it.
type Relation uint8

// Relations of eras.
const (
	Unnumbered  Relation = iota // no answer had an era so far
	First                       // the first era that was seen
	Same                        // the newest era
	Newer                       // the store came back from a copy since the newest answer
	Older                       // the answer was on its way while the store came back
	Missing                     // the answer has no era, though earlier ones had
	Implausible                 // the era is too far beyond the newest one
)

// Limits for eras that contradict the newest one.
const (
	maxEraStep   = 1000            // highest rise between two answers that is believed at once
	eraSettleFor = 5 * time.Second // for which all answers have to name another era until it is believed; no call lasts as long
)

// Tracker knows the newest era that an answer of the store had. It may be used by several goroutines at once; its
// zero value has seen no answer.
type Tracker struct {
	mu       sync.Mutex
	numbered bool // an answer had an era
	era      uint64
	restores uint64
	other    uint64    // era that contradicts the newest one and that the last answers had
	since    time.Time // when the first of them came, zero if there is none
}

// Note records the era of an answer that came at a time, valid if it has one, and returns how it relates to the
// newest era before. An era that is lower or implausibly high is believed once no answer had another one for a while:
// the newest one was wrong then, and the store would not be read any more.
func (t *Tracker) Note(now time.Time, era uint64, valid bool) Relation {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.relation(era, valid)
	switch {
	case r == Missing:
		return r
	case r != Older && r != Implausible:
		t.since = time.Time{}
		return r
	case t.other != era || t.since.IsZero():
		t.other, t.since = era, now
	}
	if now.Sub(t.since) < eraSettleFor {
		return r
	}
	t.era, t.since, t.restores = era, time.Time{}, t.restores+1
	return Newer
}

// relation returns how the era of an answer relates to the newest one, which it replaces if it is plausible. The caller
// holds the lock.
func (t *Tracker) relation(era uint64, valid bool) Relation {
	switch {
	case !valid && !t.numbered:
		return Unnumbered
	case !valid:
		return Missing
	case !t.numbered:
		t.numbered, t.era = true, era
		return First
	case era < t.era:
		return Older
	case era == t.era:
		return Same
	case era-t.era > maxEraStep:
		return Implausible
	}
	t.era, t.restores = era, t.restores+1
	return Newer
}

// Resume returns the position from which a read of what has changed may go on: the one given, or version 0 of its
// era if that is over, so that all has to be read again.
func (t *Tracker) Resume(p Position) Position {
	if p.Era != t.Era() {
		p.Version = 0
	}
	return p
}

// Era returns the newest era, 0 if none was seen.
func (t *Tracker) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Restores returns how often a newer era followed an earlier one.
func (t *Tracker) Restores() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restores
}
