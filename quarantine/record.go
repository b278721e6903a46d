package quarantine

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// evidence is a crash of a target that had a request with a trait and had not begun to answer it.
type evidence struct {
	crash  *crash
	sentAt time.Time // when the last such request was sent to the target
}

// record is what is known of one trait.
type record struct {
	answeredAt time.Time  // when a request with the trait was last answered after it was suspected
	evidence   []evidence // crashes since then, the oldest first
	reported   int        // incidents since then that are known without their crashes, such as those that another host reports
	reportedAt time.Time  // when the last of these was
	trimmed    int        // incidents until crashes were last dropped because they were too many
	trimmedAt  time.Time  // when the last of these was
	heldSince  time.Time  // when it was held first since then
	settled    int        // incidents when the hold was last determined
	probeUntil time.Time  // until when a probe keeps other requests back
}

// suspected reports whether there is any evidence since the trait was last answered.
func (r *record) suspected() bool { return len(r.evidence) > 0 || r.reported > 0 }

// addEvidence adds a crash, or a request of another host to a crash that is known.
func (r *record) addEvidence(c *crash, sentAt time.Time) {
	for n := range r.evidence {
		if e := &r.evidence[n]; e.crash == c {
			if sentAt.After(e.sentAt) {
				e.sentAt = sentAt
			}
			return
		}
	}
	at, _ := slices.BinarySearchFunc(r.evidence, c, func(e evidence, c *crash) int { return e.crash.at.Compare(c.at) })
	r.evidence = slices.Insert(r.evidence, at, evidence{crash: c, sentAt: sentAt})
}

// trimEvidence drops the oldest crash if there are too many, and returns it. Its incident still counts.
func (r *record) trimEvidence() (dropped *crash) {
	if len(r.evidence) <= maxEvidence {
		return nil
	}
	r.trimmed, r.trimmedAt = r.incidents(), r.lastCrash()
	dropped = r.evidence[0].crash
	r.evidence = slices.Delete(r.evidence, 0, 1)
	return dropped
}

// score returns the number of crashes that speak against the trait.
func (r *record) score() int { return len(r.evidence) }

// incidents returns the number of crashes that came one after the other: the request was sent after
// the crash before. Targets that crash at the same moment, and requests that were on their way to
// several targets, count once. A crash does not count if another trait that was there explains it
// better, because more crashes speak against that one.
func (r *record) incidents() int {
	count, _ := r.seenIncidents(time.Time{})
	since, _ := r.seenIncidents(r.trimmedAt)
	return max(r.reported, count, r.trimmed+since)
}

// seenIncidents returns the number of incidents whose crashes are known and whose requests were sent after a time, and
// the time of the last one, or the given time.
func (r *record) seenIncidents(after time.Time) (count int, last time.Time) {
	last = after
	for _, e := range r.evidence {
		if e.crash.topScore <= r.score() && (last.IsZero() || e.sentAt.After(last)) {
			count++
			last = e.crash.at
		}
	}
	return count, last
}

// lastCrash returns the time of the last incident.
func (r *record) lastCrash() time.Time {
	_, last := r.seenIncidents(time.Time{})
	if _, since := r.seenIncidents(r.trimmedAt); since.After(last) {
		last = since
	}
	if r.reportedAt.After(last) {
		return r.reportedAt
	}
	return last
}

// answer records that a request with the trait was answered.
func (r *record) answer(at time.Time) {
	r.answeredAt = at
	r.evidence, r.reported, r.settled, r.probeUntil = nil, 0, 0, time.Time{}
	r.trimmed, r.trimmedAt = 0, time.Time{}
}

// expired reports whether the record says nothing of the present any more.
func (r *record) expired(now time.Time) bool {
	last := r.lastCrash()
	if r.answeredAt.After(last) {
		last = r.answeredAt
	}
	return now.Sub(last) > suspicionLifetime
}

// hostFraction maps a host and a trait to the range from 0 to 1.
func hostFraction(host uint64, trait Trait) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], host)
	binary.LittleEndian.PutUint64(buf[8:], uint64(trait))
	return float64(xxhash.Sum64(buf[:])) / math.MaxUint64
}
