package dispatch

import (
	"maps"
	"slices"
	"time"
)

// TeamStatus is the state of a team at a shard.
type TeamStatus struct {
	Team    uint32
	Served  uint64  // measured cost units from this shard
	Virtual float64 // service per weight, fleet-wide
	Waiting int
	Running int
}

// TargetStatus is the state of a target at its shard.
type TargetStatus struct {
	Target  uint32
	Running int
	Limit   int
	Slots   int
	Leaving bool
	Resting bool
}

// TeamStatus returns the state of all teams, ordered by number.
func (s *Shard) TeamStatus(now time.Time) []TeamStatus {
	var list []TeamStatus
	for _, number := range slices.Sorted(maps.Keys(s.teams)) {
		row := s.teams[number]
		list = append(list, TeamStatus{
			Team: number, Served: row.served, Virtual: s.virtual(now, row),
			Waiting: len(row.queue), Running: row.running,
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
			Leaving: t.leaving, Resting: !t.rest.IsZero(),
		})
	}
	return list
}

// Renew gives the owner a higher incarnation after another host owned the
// shard meanwhile.
func (s *Shard) Renew(incarnation uint64) {
	s.config.Incarnation = max(s.config.Incarnation, incarnation)
}
