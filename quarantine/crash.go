package quarantine

import (
	"slices"
	"time"
)

// crash is a crash of a target.
type crash struct {
	target string
	at     time.Time
	traits map[Trait]struct{} // of the requests that the target had not begun to answer, unless they were answered since

	topScore int // highest score of these traits
}

// crash returns the crash that a report is about and creates it if it is not known.
func (t *Table) crash(target string, at time.Time) *crash {
	for _, c := range slices.Backward(t.crashes) {
		if c.target == target && c.at.Sub(at).Abs() < restartTime {
			return c
		}
	}
	c := &crash{target: target, at: at, traits: map[Trait]struct{}{}}
	t.crashes = append(t.crashes, c)
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	return c
}

// add adds a trait. It returns false if there are too many.
func (c *crash) add(trait Trait) bool {
	if len(c.traits) >= maxTraitsPerCrash && !c.suspects(trait) {
		return false
	}
	c.traits[trait] = struct{}{}
	return true
}

// suspects reports whether a trait may be the cause of the crash.
func (c *crash) suspects(trait Trait) bool {
	_, ok := c.traits[trait]
	return ok
}

// raiseScores raises the highest scores of the crashes that speak against a trait.
func (r *record) raiseScores() {
	for _, e := range r.evidence {
		e.crash.topScore = max(e.crash.topScore, r.score())
	}
}

// exonerate removes a trait from the possible causes of the crashes that speak against it, and returns these
// crashes.
func (t *Table) exonerate(trait Trait, r *record) []*crash {
	var crashes []*crash
	for _, e := range r.evidence {
		t.removeSuspect(e.crash, trait)
		crashes = append(crashes, e.crash)
	}
	return crashes
}

// removeSuspect removes a trait from the possible causes of a crash.
func (t *Table) removeSuspect(c *crash, trait Trait) {
	delete(c.traits, trait)
	c.topScore = 0
	for other := range c.traits {
		if r, ok := t.lookup(other); ok {
			c.topScore = max(c.topScore, r.score())
		}
	}
}

// reassess settles all traits that may be the cause of some crashes, after the scores there changed. It
// returns what changed.
func (t *Table) reassess(now time.Time, crashes []*crash) []Change {
	var changes []Change
	for _, c := range crashes {
		for trait := range c.traits {
			if r, ok := t.lookup(trait); ok {
				changes = append(changes, t.settle(now, trait, r)...)
			}
		}
	}
	return changes
}

// explainedWithout reports whether another held trait, which a request lacks, was at all crashes of a
// trait and at as many incidents. The request then tells which of the two is the cause, and is likely
// sound. Without the crashes of all incidents it is not known.
func (t *Table) explainedWithout(trait Trait, r *record, traits []Trait) bool {
	incidents := r.incidents()
	if seen, _ := r.seenIncidents(time.Time{}); seen < incidents {
		return false
	}
	for _, other := range t.held.Keys() {
		if other == trait || slices.Contains(traits, other) {
			continue
		}
		if o, _ := t.held.Peek(other); o.incidents() >= incidents && r.sharesCrashesWith(other) {
			return true
		}
	}
	return false
}

// sharesCrashesWith reports whether another trait may be the cause of all crashes of a trait.
func (r *record) sharesCrashesWith(other Trait) bool {
	return !slices.ContainsFunc(r.evidence, func(e evidence) bool { return !e.crash.suspects(other) })
}
