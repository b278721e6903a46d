package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/wire"
)

// Limits of the movement of tickets between places.
const (
	bufferDivisor = 4 // a shard keeps at least slots/bufferDivisor tickets waiting
	pullDivisor   = 2 // a pull for fairness takes at most slots/pullDivisor+1 tickets
)

// placeTeam names the tickets of one team that wait at one place.
type placeTeam struct {
	place uint32
	team  uint32
}

// HandleReport records that the book received a new report of a place. silent is the time since the
// report before it. What was pushed to and pulled from the place is forgotten, since the report
// accounts for it.
func (s *Shard) HandleReport(now time.Time, place uint32, silent time.Duration) {
	if silent > staleAfter {
		s.healedAt = now
	}
	delete(s.pushed, place)
	for key := range s.pulled {
		if key.place == place {
			delete(s.pulled, key)
		}
	}
}

// Rebalance moves tickets between places. It is called after a report of another place arrived.
func (s *Shard) Rebalance(now time.Time) { s.rebalance(now) }

// rebalance pushes waiting tickets to free slots of other places, and pulls tickets from places
// where a team waits that has received less service than the teams waiting here.
func (s *Shard) rebalance(now time.Time) {
	if !s.config.Policy.Fair || s.service == nil || !s.recovered {
		return
	}
	s.pushTickets(now)
	for _, peer := range s.peers {
		if a := s.freshAccount(now, peer.Place); a != nil {
			s.pullTickets(now, peer, a)
		}
	}
}

// freshAccount returns the account of a place, or nil if no report of it arrived within
// staleAfter.
func (s *Shard) freshAccount(now time.Time, place uint32) *ledger.Account {
	a := s.book.Account(place)
	if a == nil || now.Sub(a.ReportedAt) > staleAfter {
		return nil
	}
	return a
}

// pushTickets moves waiting tickets to free slots of other places, the nearest place first. It
// does nothing while this shard has a free target and may use all its slots.
func (s *Shard) pushTickets(now time.Time) {
	if len(s.free) > 0 && s.usableShare >= 1 {
		return
	}
	for _, peer := range s.peers {
		a := s.freshAccount(now, peer.Place)
		for a != nil && a.Free > s.pushed[peer.Place] && len(s.waiting) > 0 {
			tk := s.waiting[0].queue[0]
			if tk.hops >= maxHops {
				return
			}
			s.pushed[peer.Place]++
			s.moveTicket(now, tk, peer.Place)
		}
	}
}

// moveTicket removes a ticket from the queue and tells the host that submitted it to submit it at
// another place.
func (s *Shard) moveTicket(now time.Time, tk *ticket, place uint32) {
	s.dequeue(now, tk)
	s.send(tk.key.Host, &wire.MoveTicket{
		ID: tk.key.ID, Shard: s.config.Shard, Place: place, Lift: s.book.Lift(tk.team.number),
	})
}

// pullTickets asks the owner of another place for tickets: to fill idle slots, to keep a buffer
// of waiting tickets, and to serve teams that have received less than those waiting here.
func (s *Shard) pullTickets(now time.Time, peer Peer, a *ledger.Account) {
	room := s.slots - s.used - len(s.tickets)
	buffer := s.slots/bufferDivisor - len(s.tickets)
	local := math.Inf(1)
	if len(s.waiting) > 0 {
		local = s.waiting[0].level
	}
	spare := s.surplusTickets(a)
	for _, number := range slices.Sorted(maps.Keys(a.Teams)) {
		key := placeTeam{place: peer.Place, team: number}
		waiting := int(a.Teams[number].Waiting) - s.pulled[key]
		if waiting <= 0 {
			continue
		}
		count := max(room, min(buffer, spare), s.requestsBehind(now, number, local), s.prefetchCount(number, waiting))
		count = min(count, waiting)
		if count <= 0 {
			continue
		}
		s.pulled[key] += count
		room -= count
		buffer -= count
		spare -= count
		s.send(peer.Owner, &wire.PullTickets{
			Shard: wire.Shard{Service: s.config.Shard.Service, Place: peer.Place},
			Team:  number, Place: s.config.Shard.Place, Count: uint32(count),
		})
	}
}

// surplusTickets returns how many tickets wait at a place beyond its own buffer.
func (s *Shard) surplusTickets(a *ledger.Account) int {
	waiting := 0
	for _, row := range a.Teams {
		waiting += int(row.Waiting)
	}
	return waiting - a.Slots/bufferDivisor
}

// requestsBehind returns how many requests of a team could be served before it reaches local, the
// level of the first team waiting here, less those that wait here already. The result is limited
// to slots/pullDivisor+1, and 0 if no team waits here.
func (s *Shard) requestsBehind(now time.Time, number uint32, local float64) int {
	if math.IsInf(local, 1) {
		return 0
	}
	tm := s.ensureTeam(number)
	step := s.estimateOf(tm).rate * s.meanEstimate.duration / tm.weight
	behind := (local - s.virtualService(now, tm)) / max(step, 1)
	return min(int(behind)-len(tm.queue), s.slots/pullDivisor+1)
}

// prefetchCount returns how many tickets of a team to fetch so that the team can be served here
// until the next report. waiting is the number that waits at the other place; at most half of its
// excess over the number waiting here is taken.
func (s *Shard) prefetchCount(number uint32, waiting int) int {
	turnover := float64(s.slots) * s.reportInterval().Seconds() / max(s.meanEstimate.duration, minDurationSeconds)
	wanted := int(turnover/float64(len(s.waiting)+1)) + 1
	here := 0
	if tm := s.teams[number]; tm != nil {
		here = len(tm.queue)
	}
	return min(wanted-here, (waiting-here)/2)
}

// HandlePullTickets answers a pull: it moves waiting tickets of a team to the place that asked for them, and
// stops at a ticket that has been moved maxHops times.
func (s *Shard) HandlePullTickets(now time.Time, m *wire.PullTickets) {
	tm := s.teams[m.Team]
	for range m.Count {
		if tm == nil || len(tm.queue) == 0 || tm.queue[0].hops >= maxHops {
			return
		}
		s.moveTicket(now, tm.queue[0], m.Place)
	}
}
