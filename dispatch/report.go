package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

const (
	keepAliveEvery       = time.Second
	minReportDelay       = 15 * time.Millisecond // also for urgent reports
	hurriesPerSecond     = 3.0                   // urgent reports in the long run
	maxHurries           = 4.0                   // urgent reports in quick succession
	minReportPeriod      = 250 * time.Millisecond
	maxReportPeriod      = 2 * time.Second
	reportBytesPerSecond = 2000 // that an owner spends on reports
	headBytes            = 30   // of a report, frame and acknowledgement included
	rowBytes             = 26   // of a team in a report
	toldRequests         = 0.5  // change of a team's service that is told, in costliest requests
)

// notice makes a report due at once if slots became free or tickets began or
// ceased to wait.
func (s *Shard) notice() {
	if s.state != s.current() {
		s.urgent = true
	}
}

func (s *Shard) current() [2]bool {
	return [2]bool{len(s.free) > 0, len(s.tickets) > 0}
}

// report tells the owners in other places and the standby what changed.
func (s *Shard) report(now time.Time) {
	since := now.Sub(s.reported)
	if since < s.period() && !s.hurried(now, since) {
		return
	}
	rows := s.changed(now)
	if len(rows) == 0 && !s.urgent && since < keepAliveEvery {
		return
	}
	s.tell(now, rows, false)
}

// Hurry reports at once what other places wait to hear: that slots became free,
// or that tickets began to wait.
func (s *Shard) Hurry(now time.Time) {
	if s.urgent {
		s.report(now)
	}
}

// hurried returns whether a report may go out before its time. A few may do so in
// quick succession, then there is a pause between them.
func (s *Shard) hurried(now time.Time, since time.Duration) bool {
	if !s.urgent || since < minReportDelay {
		return false
	}
	earned := now.Sub(s.hurriedAt).Seconds() * hurriesPerSecond
	s.hurries, s.hurriedAt = min(maxHurries, s.hurries+earned), now
	if s.hurries < 1 {
		return false
	}
	s.hurries--
	return true
}

// period returns the time between two reports: as short as the bytes that an
// owner may spend on them allow.
func (s *Shard) period() time.Duration {
	spent := time.Duration(float64(s.reportBytes) / reportBytesPerSecond * float64(time.Second))
	return min(max(minReportPeriod, spent), maxReportPeriod)
}

// changed returns the rows of the teams that have or had tickets waiting, or
// whose service changed by more than a part of a costliest request, since the
// last report; or of all teams now and then.
func (s *Shard) changed(now time.Time) []wire.Row {
	whole := s.sequence%wholeReportEvery == 0
	var rows []wire.Row
	for _, number := range slices.Sorted(maps.Keys(s.teams)) {
		row := s.teams[number]
		if whole || row.dirty && s.matters(now, row) {
			rows = append(rows, s.row(now, row))
			row.dirty = false
		}
	}
	return rows
}

// matters returns whether other owners need the news of a team soon. A team
// without tickets takes part in no choice until it has some.
func (s *Shard) matters(now time.Time, row *team) bool {
	waiting := len(row.queue) > 0
	if waiting || row.toldWaiting {
		return true
	}
	received := float64(row.served) + s.charge(now, row)
	return received-row.toldReceived > toldRequests*s.costly
}

func (s *Shard) row(now time.Time, row *team) wire.Row {
	r := wire.Row{
		Team:    row.number,
		Served:  row.served,
		Charged: uint64(s.charge(now, row)),
		Lift:    s.book.Lift(row.number),
		Waiting: uint32(len(row.queue)),
		Running: uint32(row.running),
	}
	s.book.Set(s.config.Shard.Place, r)
	row.toldWaiting, row.toldReceived = r.Waiting > 0, float64(r.Served+r.Charged)
	return r
}

// tell sends a report. A report that is over gives the shard up.
func (s *Shard) tell(now time.Time, rows []wire.Row, over bool) {
	whole := s.sequence%wholeReportEvery == 0
	s.sequence++
	s.reported, s.urgent, s.state = now, false, s.current()
	for _, row := range s.teams {
		row.told = row.running
	}
	m := &wire.Totals{
		Shard:       s.config.Shard,
		Incarnation: s.config.Incarnation,
		Sequence:    s.sequence,
		Complete:    whole || over,
		Released:    over,
		Slots:       uint32(s.slots),
		Level:       s.book.Level(),
		Rows:        rows,
	}
	if s.settled {
		m.Free = uint32(max(0, s.slots-s.used))
	}
	s.reportBytes = (headBytes + rowBytes*len(rows)) * (len(s.peers) + 1)
	for _, peer := range s.peers {
		s.send(peer.Owner, m)
	}
	if s.standby.IsValid() {
		s.send(s.standby, m)
	}
}

// Introduce sends a whole report to one host, such as a new owner.
func (s *Shard) Introduce(now time.Time) {
	s.sequence += wholeReportEvery - s.sequence%wholeReportEvery
	s.tell(now, s.changed(now), false)
}

// HandOver tells the standby and the other places that this owner stops, and
// returns the waiting tickets to their entries.
func (s *Shard) HandOver(now time.Time) {
	for _, row := range s.teams {
		row.dirty = true
	}
	s.tell(now, s.changed(now), true)
	for _, key := range sortedKeys(s.tickets) {
		s.send(key.Host, &wire.Move{ID: key.ID, Shard: s.config.Shard, Place: s.config.Shard.Place})
	}
}
