package dispatch

import (
	"maps"
	"slices"
	"time"
)

// TeamStatus is the state of one team at a shard, for status reports.
type TeamStatus struct {
	Team    uint32  // number of the team
	Served  uint64  // measured cost units from this shard
	Virtual float64 // service received and charged in all places, divided by the weight
	Waiting int     // tickets waiting here
	Running int     // slots held here
}

// TargetStatus is the state of one target at its shard, for status reports.
type TargetStatus struct {
	Target  uint32 // number of the target
	Running int    // slots in use
	Limit   int    // slots that may be in use now
	Slots   int    // configured slots
	Leaving bool   // takes no new work
	Ejected bool   // gets no work for a while after failures
}

// TeamStatus returns the state of all teams, ordered by number.
func (s *Shard) TeamStatus(now time.Time) []TeamStatus {
	var list []TeamStatus
	for _, number := range slices.Sorted(maps.Keys(s.teams)) {
		tm := s.teams[number]
		list = append(list, TeamStatus{
			Team: number, Served: tm.served, Virtual: s.virtualService(now, tm),
			Waiting: len(tm.queue), Running: tm.running,
		})
	}
	return list
}

// TargetStatus returns the state of all targets, ordered by number.
func (s *Shard) TargetStatus() []TargetStatus {
	var list []TargetStatus
	for _, number := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[number]
		list = append(list, TargetStatus{
			Target: number, Running: t.running, Limit: int(t.limit), Slots: t.slots,
			Leaving: t.leaving, Ejected: !t.ejectedUntil.IsZero(),
		})
	}
	return list
}

// RaiseIncarnation raises the incarnation under which this host owns the shard. It is called after another
// host owned the shard meanwhile.
func (s *Shard) RaiseIncarnation(incarnation uint64) {
	s.config.Incarnation = max(s.config.Incarnation, incarnation)
}
