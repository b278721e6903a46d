package quarantine

import (
	"math"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// maxToldIncidents is the largest number of incidents that a message can carry.
const maxToldIncidents = math.MaxUint8

// Message returns the message that tells other hosts of a crash.
func (r *Report) Message(now time.Time) *wire.TargetCrash {
	return &wire.TargetCrash{
		Target: r.Target, Age: millisSince(now, r.At), SentAge: millisSince(now, r.SentAt), Traits: Numbers(r.Traits),
	}
}

// ReportOf returns the crash that a message tells of.
func ReportOf(now time.Time, m *wire.TargetCrash) *Report {
	return &Report{
		Target: m.Target, At: now.Add(-millis(m.Age)), SentAt: now.Add(-millis(m.SentAge)), Traits: Traits(m.Traits),
	}
}

// Message returns the message that tells other hosts of a trait.
func (s *Status) Message(now time.Time) wire.HeldTrait {
	return wire.HeldTrait{
		Trait: uint64(s.Trait), Incidents: uint8(min(s.Incidents, maxToldIncidents)),
		CrashAge: ageOf(now, s.LastCrash), AnsweredAge: ageOf(now, s.AnsweredAt), Known: s.Known,
	}
}

// StatusOf returns what a message tells of a trait.
func StatusOf(now time.Time, m wire.HeldTrait) Status {
	return Status{
		Trait: Trait(m.Trait), Incidents: int(m.Incidents),
		LastCrash: timeOf(now, m.CrashAge), AnsweredAt: timeOf(now, m.AnsweredAge), Known: m.Known,
	}
}

// millisSince returns the milliseconds since a time, 0 if it is yet to come.
func millisSince(now, at time.Time) uint32 {
	return uint32(min(math.MaxUint32, max(0, now.Sub(at).Milliseconds())))
}

// millis returns the duration of a number of milliseconds.
func millis(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

// ageOf returns the milliseconds since an event, at least 1, or 0 if there was none.
func ageOf(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return max(1, millisSince(now, at))
}

// timeOf returns the time of an event whose age a message carries, zero if there was none.
func timeOf(now time.Time, age uint32) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-millis(age))
}
