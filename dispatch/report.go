package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// Limits of the reports that an owner sends to the owners in other places and to the standby.
const (
	keepAliveInterval     = time.Second            // longest time without a report
	minReportDelay        = 15 * time.Millisecond  // between any two reports, early ones included
	earlyReportsPerSecond = 3.0                    // refill rate of early reports
	maxEarlyReports       = 4.0                    // early reports in quick succession
	minReportInterval     = 250 * time.Millisecond // between two regular reports
	maxReportInterval     = 2 * time.Second        // between two regular reports, however large
	reportBytesPerSecond  = 2000                   // bandwidth of an owner for reports
	reportHeaderBytes     = 30                     // estimated size of a report without rows, frame and acknowledgement included
	reportRowBytes        = 26                     // estimated size of one row
	minReportedChange     = 0.5                    // change of a team's service that is reported, in requests of the highest cost seen
)

// markReportDue asks for an early report if the last report no longer tells whether slots are
// free or tickets wait.
func (s *Shard) markReportDue() {
	if s.reportedState != s.reportState() {
		s.reportDue = true
	}
}

// reportState returns whether a slot is free and whether a ticket waits.
func (s *Shard) reportState() [2]bool {
	return [2]bool{len(s.free) > 0, len(s.tickets) > 0}
}

// report sends the changed rows to the owners in other places and to the standby, if a report is
// due. A report without rows is sent early, or as a keep-alive.
func (s *Shard) report(now time.Time) {
	since := now.Sub(s.reportedAt)
	if since < s.reportInterval() && !s.allowEarlyReport(now, since) {
		return
	}
	rows := s.usagesToReport(now)
	if len(rows) == 0 && !s.reportDue && since < keepAliveInterval {
		return
	}
	s.sendReport(now, rows, false)
}

// ReportEarly sends a report early if other places wait for it: because slots became free or are free
// no longer, or because tickets began or ceased to wait.
func (s *Shard) ReportEarly(now time.Time) {
	if s.reportDue {
		s.report(now)
	}
}

// allowEarlyReport returns whether a report may be sent before the next regular one is due, and
// spends a token for it. A token bucket allows a few in quick succession, then
// earlyReportsPerSecond.
func (s *Shard) allowEarlyReport(now time.Time, sinceLastReport time.Duration) bool {
	if !s.reportDue || sinceLastReport < minReportDelay {
		return false
	}
	earned := now.Sub(s.tokensUpdatedAt).Seconds() * earlyReportsPerSecond
	s.earlyReportTokens, s.tokensUpdatedAt = min(maxEarlyReports, s.earlyReportTokens+earned), now
	if s.earlyReportTokens < 1 {
		return false
	}
	s.earlyReportTokens--
	return true
}

// reportInterval returns the time between two regular reports: as short as reportBytesPerSecond
// allows for reports of the size of the last one.
func (s *Shard) reportInterval() time.Duration {
	spent := time.Duration(float64(s.reportBytes) / reportBytesPerSecond * float64(time.Second))
	return min(max(minReportInterval, spent), maxReportInterval)
}

// usagesToReport returns the rows of the teams that changed since the last report and that other
// owners need to know of, or of all teams if a full report is due.
func (s *Shard) usagesToReport(now time.Time) []wire.TeamUsage {
	whole := s.sequence%fullReportEvery == 0
	var rows []wire.TeamUsage
	for _, number := range slices.Sorted(maps.Keys(s.teams)) {
		tm := s.teams[number]
		if whole || tm.dirty && s.needsReport(now, tm) {
			rows = append(rows, s.buildRow(now, tm))
			tm.dirty = false
		}
	}
	return rows
}

// needsReport returns whether other owners need the change of a team soon: it has or had tickets
// waiting at the last report, or its service grew by more than minReportedChange. A team without
// tickets is not a candidate for any grant until it has some.
func (s *Shard) needsReport(now time.Time, tm *team) bool {
	waiting := len(tm.queue) > 0
	if waiting || tm.reportedWaiting {
		return true
	}
	received := float64(tm.served) + s.runningCharge(now, tm)
	return received-tm.reportedService > minReportedChange*s.maxCost
}

// buildRow returns the row of a team for a report, and stores it in the book and as last
// reported.
func (s *Shard) buildRow(now time.Time, tm *team) wire.TeamUsage {
	r := wire.TeamUsage{
		Team:    tm.number,
		Served:  tm.served,
		Charged: uint64(s.runningCharge(now, tm)),
		Lift:    s.book.Lift(tm.number),
		Waiting: uint32(len(tm.queue)),
		Running: uint32(tm.running),
	}
	s.book.SetOwnUsage(s.config.Shard.Place, r)
	tm.reportedWaiting, tm.reportedService = r.Waiting > 0, float64(r.Served+r.Charged)
	return r
}

// sendReport sends a report to the owners in other places and to the standby. If over is set, the
// report tells them that this host gives up the shard.
func (s *Shard) sendReport(now time.Time, rows []wire.TeamUsage, over bool) {
	whole := s.sequence%fullReportEvery == 0
	s.sequence++
	s.reportedAt, s.reportDue, s.reportedState = now, false, s.reportState()
	for _, tm := range s.teams {
		tm.reportedRunning = tm.running
	}
	m := &wire.ShardState{
		Shard:       s.config.Shard,
		Incarnation: s.config.Incarnation,
		Sequence:    s.sequence,
		AllTeams:    whole || over,
		Released:    over,
		Slots:       uint32(s.slots),
		Level:       s.book.Level(),
		Teams:       rows,
	}
	if s.recovered {
		m.Free = uint32(max(0, s.slots-s.used))
	}
	s.reportBytes = (reportHeaderBytes + reportRowBytes*len(rows)) * (len(s.peers) + 1)
	for _, peer := range s.peers {
		s.send(peer.Owner, m)
	}
	if s.standby.IsValid() {
		s.send(s.standby, m)
	}
}

// SendFullReport sends a full report out of turn, so that a host that has just become an owner or the
// standby learns the whole state.
func (s *Shard) SendFullReport(now time.Time) {
	s.sequence += fullReportEvery - s.sequence%fullReportEvery
	s.sendReport(now, s.usagesToReport(now), false)
}

// HandOver sends a last report that gives up the shard, and returns the waiting tickets to the
// hosts that submitted them.
func (s *Shard) HandOver(now time.Time) {
	for _, tm := range s.teams {
		tm.dirty = true
	}
	s.sendReport(now, s.usagesToReport(now), true)
	for _, key := range sortedKeys(s.tickets) {
		s.send(key.Host, &wire.MoveTicket{ID: key.ID, Shard: s.config.Shard, Place: s.config.Shard.Place})
	}
}
