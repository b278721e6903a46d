// Package quarantine keeps requests away from targets if something in them makes targets crash.
//
// A request may crash each target that begins to answer it, because of a property that it shares
// with requests of other callers. After a crash, each property of a request that the target had and
// had not begun to answer is suspected, until a request with it is answered anywhere. A property that
// was sent again after a crash, and whose target crashed again, is held: requests with it are
// refused for a time that grows with each further crash. Then one request at a time may probe it.
//
// The package does no I/O, starts no goroutines and reads no clock: the time is passed to every call.
// Hosts tell each other what they see, and each decides by itself.
package quarantine

import (
	"math"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of a Table.
const (
	// MaxReportedTraits is the number of traits of one request that count after a crash.
	MaxReportedTraits = 64

	maxSuspected      = 4096             // traits that are suspected but not held
	maxHeld           = 512              // traits that are held
	maxKnown          = 16384            // traits that are known to have been answered
	maxCrashes        = 128              // crashes that are remembered
	maxTraitsPerCrash = 1024             // traits that are remembered of one crash
	maxEvidence       = 8                // crashes that are remembered of one trait
	maxReleases       = 8                // traits that are reported as released
	suspicionLifetime = 10 * time.Minute // after the last crash or the end of the hold
	releaseLifetime   = 10 * time.Second // for which other hosts are told that a trait is released
)

// Times of a held trait.
const (
	holdIncidents     = 2                // incidents from which on a trait is held
	firstHold         = 10 * time.Second // after as many incidents
	holdGrowth        = 6                // factor for each further incident
	maxHold           = time.Hour
	knownHoldFraction = 0.1             // of these, for a trait that was answered before: it is more likely sound
	holdJitter        = 0.25            // largest fraction by which the hold differs between hosts, so that they do not all probe at once
	probeTimeout      = 2 * time.Second // after which a probe without a result does not keep others back
	minRetryAfter     = 200 * time.Millisecond
	tickInterval      = time.Second // between two searches for traits to forget
	restartTime       = time.Second // reports of crashes of one target within this time are of the same crash
)

// Trait identifies a property that requests may have in common, such as a part of their prompts. The
// identity is a hash.
type Trait uint64

// Numbers returns traits as plain numbers, as messages carry them.
func Numbers(traits []Trait) []uint64 {
	list := make([]uint64, 0, len(traits))
	for _, trait := range traits {
		list = append(list, uint64(trait))
	}
	return list
}

// Traits returns the traits with some numbers.
func Traits(numbers []uint64) []Trait {
	list := make([]Trait, 0, len(numbers))
	for _, number := range numbers {
		list = append(list, Trait(number))
	}
	return list
}

// Report describes a crash of a target, as seen by a host whose request the target had not begun to
// answer.
type Report struct {
	Target string
	At     time.Time // when the target crashed
	SentAt time.Time // when the request was sent to it
	Traits []Trait   // of the request; those beyond MaxReportedTraits are ignored
}

// Change says that a trait is held, or not held any more.
type Change struct {
	Trait     Trait
	Held      bool
	Incidents int
	Hold      time.Duration // for which requests with the trait are refused
	HeldFor   time.Duration // since it was held first, if it is not held any more
	Evicted   bool          // it was forgotten because too many traits are held
}

// Decision says whether a request may be sent to a target.
type Decision struct {
	Refused    bool
	Trait      Trait         // why it is refused
	RetryAfter time.Duration // after which the trait may be probed
	Probes     []Trait       // traits that the request would probe
}

// Table holds the traits that are suspected of crashing targets.
type Table struct {
	self      uint64
	suspected *lru.Cache[Trait, *record]
	held      *lru.Cache[Trait, *record]
	known     *lru.Cache[Trait, struct{}] // traits that were answered
	crashes   []*crash                    // in the order in which they became known
	vouches   []vouch                     // held traits that are known here and that other hosts may not know
	released  []release                   // traits that were held until they were answered, the oldest first
	lastTick  time.Time                   // when Tick last had an effect
}

// NewTable returns an empty Table of the host with an identity.
func NewTable(self uint64) *Table {
	suspected, _ := lru.New[Trait, *record](maxSuspected) // fails only for a size of 0
	held, _ := lru.New[Trait, *record](maxHeld)
	known, _ := lru.New[Trait, struct{}](maxKnown)
	return &Table{self: self, suspected: suspected, held: held, known: known}
}

// Empty reports whether no trait is held, so that no request is refused.
func (t *Table) Empty() bool { return t.held.Len() == 0 }

// Reported returns the traits of a request that count after a crash: the first and the last ones if there are more
// than MaxReportedTraits.
func Reported(traits []Trait) []Trait {
	const half = MaxReportedTraits / 2
	if len(traits) <= MaxReportedTraits {
		return traits
	}
	return append(traits[:half:half], traits[len(traits)-half:]...)
}

// RecordCrash records a report of this or another host and returns what changed.
func (t *Table) RecordCrash(now time.Time, r *Report) []Change {
	c := t.crash(r.Target, r.At)
	affected := []*crash{c}
	for _, trait := range r.Traits[:min(len(r.Traits), MaxReportedTraits)] {
		record := t.recordOf(trait)
		if !c.at.After(record.answeredAt) || !c.add(trait) {
			continue
		}
		record.addEvidence(c, r.SentAt)
		if dropped := record.trimEvidence(); dropped != nil {
			t.removeSuspect(dropped, trait)
		}
		record.raiseScores()
		for _, e := range record.evidence {
			if !slices.Contains(affected, e.crash) {
				affected = append(affected, e.crash)
			}
		}
	}
	return t.reassess(now, affected)
}

// RecordAnswer records that a target began to answer a request, which clears the traits of the
// request. It returns the traits that were suspected and what changed.
func (t *Table) RecordAnswer(now time.Time, traits []Trait) ([]Trait, []Change) {
	var cleared []Trait
	var changes []Change
	for _, trait := range traits {
		t.known.Add(trait, struct{}{})
		record, ok := t.lookup(trait)
		if !ok || !record.suspected() {
			continue
		}
		cleared = append(cleared, trait)
		changes = append(changes, t.answer(now, now, trait, record)...)
	}
	return cleared, changes
}

// answer records that a request with a trait was answered at a time, and returns what changed.
func (t *Table) answer(now, at time.Time, trait Trait, r *record) []Change {
	crashes := t.exonerate(trait, r)
	r.answer(at)
	return append(t.settle(now, trait, r), t.reassess(now, crashes)...)
}

// Check returns whether a request with some traits may be sent to a target now.
func (t *Table) Check(now time.Time, traits []Trait) Decision {
	var d Decision
	if t.Empty() {
		return d
	}
	for _, trait := range traits {
		record, ok := t.held.Peek(trait)
		if !ok {
			continue
		}
		left := record.probeUntil.Sub(now)
		if !t.explainedWithout(trait, record, traits) {
			left = max(left, t.heldUntil(trait, record).Sub(now))
		}
		if left <= 0 {
			d.Probes = append(d.Probes, trait)
			continue
		}
		if !d.Refused || left > d.RetryAfter {
			d.Refused, d.Trait, d.RetryAfter = true, trait, left
		}
	}
	d.RetryAfter = max(d.RetryAfter, minRetryAfter)
	return d
}

// Ends returns whether a request with some traits, which a target has but has not begun to answer, is to be
// ended because of one of these. Requests with a trait that was ever answered here go on: if the trait is
// sound, one of them shows it soon.
func (t *Table) Ends(now time.Time, trait Trait, traits []Trait) bool {
	record, ok := t.held.Peek(trait)
	if !ok || t.known.Contains(trait) || !slices.Contains(traits, trait) || t.explainedWithout(trait, record, traits) {
		return false
	}
	return now.Before(t.heldUntil(trait, record))
}

// Held returns the number of traits that are held.
func (t *Table) Held() int { return t.held.Len() }

// Incidents returns the number of incidents that count against a trait.
func (t *Table) Incidents(trait Trait) int {
	if record, ok := t.lookup(trait); ok {
		return record.incidents()
	}
	return 0
}

// BeginProbe records that this or another host sends a request that probes some traits. Until the
// probe has a result, no other request with them is sent.
func (t *Table) BeginProbe(now time.Time, traits []Trait) {
	for _, trait := range traits {
		if record, ok := t.held.Peek(trait); ok {
			record.probeUntil = now.Add(probeTimeout)
		}
	}
}

// EndProbe records that a probe of this host ended without a result.
func (t *Table) EndProbe(traits []Trait) {
	for _, trait := range traits {
		if record, ok := t.held.Peek(trait); ok {
			record.probeUntil = time.Time{}
		}
	}
}

// Tick forgets traits about which nothing was heard for a long time. It returns what changed.
func (t *Table) Tick(now time.Time) []Change {
	if now.Sub(t.lastTick) < tickInterval {
		return nil
	}
	t.lastTick = now
	var changes []Change
	for _, trait := range t.held.Keys() {
		if record, _ := t.held.Peek(trait); now.Sub(t.heldUntil(trait, record)) > suspicionLifetime {
			t.held.Remove(trait)
			changes = append(changes, Change{Trait: trait})
		}
	}
	for trait, record, ok := t.suspected.GetOldest(); ok && record.expired(now); trait, record, ok = t.suspected.GetOldest() {
		t.suspected.Remove(trait)
	}
	t.released = slices.DeleteFunc(t.released, func(r release) bool { return now.Sub(r.at) > releaseLifetime })
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > suspicionLifetime })
	return changes
}

// heldUntil returns the time until which this host refuses requests with a trait.
func (t *Table) heldUntil(trait Trait, r *record) time.Time {
	hold := min(maxHold.Seconds(), firstHold.Seconds()*math.Pow(holdGrowth, float64(r.incidents()-holdIncidents)))
	if t.known.Contains(trait) {
		hold *= knownHoldFraction
	}
	hold *= 1 + holdJitter*hostFraction(t.self, trait)
	return r.lastCrash().Add(time.Duration(hold * float64(time.Second)))
}

// lookup returns the record of a trait, if there is one.
func (t *Table) lookup(trait Trait) (*record, bool) {
	if record, ok := t.held.Peek(trait); ok {
		return record, true
	}
	return t.suspected.Peek(trait)
}

// recordOf returns the record of a trait and creates it if needed.
func (t *Table) recordOf(trait Trait) *record {
	if record, ok := t.lookup(trait); ok {
		return record
	}
	record := &record{}
	t.suspected.Add(trait, record)
	return record
}

// settle moves the record of a trait to the held ones or back, as its incidents require, and returns
// what changed.
func (t *Table) settle(now time.Time, trait Trait, r *record) []Change {
	incidents := r.incidents()
	wasHeld := t.held.Contains(trait)
	switch {
	case incidents < holdIncidents && wasHeld:
		t.held.Remove(trait)
		t.suspected.Add(trait, r)
		if !r.suspected() {
			t.addRelease(trait, r.answeredAt)
		}
		r.settled = 0
		return []Change{{Trait: trait, Incidents: incidents, HeldFor: now.Sub(r.heldSince)}}
	case incidents < holdIncidents || wasHeld && incidents == r.settled:
		return nil
	}
	r.settled, r.probeUntil = incidents, time.Time{}
	if !wasHeld {
		r.heldSince = now
		t.addVouch(now, trait)
	}
	changes := []Change{{Trait: trait, Held: true, Incidents: incidents, Hold: max(0, t.heldUntil(trait, r).Sub(now))}}
	if oldest, _, ok := t.held.GetOldest(); ok && !wasHeld && t.held.Len() >= maxHeld {
		changes = append(changes, Change{Trait: oldest, Evicted: true})
	}
	t.suspected.Remove(trait)
	t.held.Add(trait, r)
	return changes
}
