package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	bufferPart = 4 // a shard keeps this part of its slots as waiting tickets
	pullPart   = 2 // most tickets pulled for fairness at once, as a part of the slots
)

// pullKey names the tickets of a team at a place.
type pullKey struct {
	place uint32
	team  uint32
}

// Merged takes the news that the book has a new account of a place. silent is
// the time since the account before.
func (s *Shard) Merged(now time.Time, place uint32, silent time.Duration) {
	if silent > staleAfter {
		s.healed = now
	}
	delete(s.pushed, place)
	for key := range s.pulled {
		if key.place == place {
			delete(s.pulled, key)
		}
	}
}

// Balance moves tickets between places after news of another place.
func (s *Shard) Balance(now time.Time) { s.place(now) }

// place moves tickets between places: to free slots elsewhere, and from places
// where a team waits that has received less than the ones waiting here.
func (s *Shard) place(now time.Time) {
	if !s.config.Policy.Fair || s.service == nil || !s.settled {
		return
	}
	s.push(now)
	for _, peer := range s.peers {
		if a := s.account(now, peer.Place); a != nil {
			s.pull(now, peer, a)
		}
	}
}

// account returns the account of a place that was heard of lately, or nil.
func (s *Shard) account(now time.Time, place uint32) *ledger.Account {
	a := s.book.Account(place)
	if a == nil || now.Sub(a.Heard) > staleAfter {
		return nil
	}
	return a
}

// push moves waiting tickets to free slots of other places.
func (s *Shard) push(now time.Time) {
	if len(s.free) > 0 && s.share >= 1 {
		return
	}
	for _, peer := range s.peers {
		a := s.account(now, peer.Place)
		for a != nil && a.Free > s.pushed[peer.Place] && len(s.waiting) > 0 {
			tk := s.waiting[0].queue[0]
			if tk.hops >= maxHops {
				return
			}
			s.pushed[peer.Place]++
			s.move(now, tk, peer.Place)
		}
	}
}

func (s *Shard) move(now time.Time, tk *ticket, place uint32) {
	s.unqueue(now, tk)
	s.send(tk.key.Host, &wire.Move{
		ID: tk.key.ID, Shard: s.config.Shard, Place: place, Lift: s.book.Lift(tk.team.number),
	})
}

// pull asks a place for tickets: for idle slots, to keep a buffer of waiting
// tickets, and of teams that have received less than those waiting here.
func (s *Shard) pull(now time.Time, peer Peer, a *ledger.Account) {
	room := s.slots - s.used - len(s.tickets)
	buffer := s.slots/bufferPart - len(s.tickets)
	local := math.Inf(1)
	if len(s.waiting) > 0 {
		local = s.waiting[0].level
	}
	spare := s.surplus(a)
	for _, number := range slices.Sorted(maps.Keys(a.Rows)) {
		key := pullKey{place: peer.Place, team: number}
		waiting := int(a.Rows[number].Waiting) - s.pulled[key]
		if waiting <= 0 {
			continue
		}
		count := max(room, min(buffer, spare), s.lag(now, number, local), s.stock(number, waiting))
		count = min(count, waiting)
		if count <= 0 {
			continue
		}
		s.pulled[key] += count
		room -= count
		buffer -= count
		spare -= count
		s.send(peer.Owner, &wire.Pull{
			Shard: wire.Shard{Service: s.config.Shard.Service, Place: peer.Place},
			Team:  number, Place: s.config.Shard.Place, Count: uint32(count),
		})
	}
}

// surplus returns how many tickets wait at a place beyond its own buffer.
func (s *Shard) surplus(a *ledger.Account) int {
	waiting := 0
	for _, row := range a.Rows {
		waiting += int(row.Waiting)
	}
	return waiting - a.Slots/bufferPart
}

// lag returns how many requests a team is behind the first team waiting here.
func (s *Shard) lag(now time.Time, number uint32, local float64) int {
	if math.IsInf(local, 1) {
		return 0
	}
	row := s.team(number)
	step := s.estimateOf(row).rate * s.mean.duration / row.weight
	behind := (local - s.virtual(now, row)) / max(step, 1)
	return min(int(behind)-len(row.queue), s.slots/pullPart+1)
}

// stock returns how many tickets of a team to fetch so that the team can be
// served here until the next report, without taking more than half of what
// waits elsewhere beyond what waits here.
func (s *Shard) stock(number uint32, waiting int) int {
	turnover := float64(s.slots) * s.period().Seconds() / max(s.mean.duration, minDurationSecond)
	wanted := int(turnover/float64(len(s.waiting)+1)) + 1
	here := 0
	if row := s.teams[number]; row != nil {
		here = len(row.queue)
	}
	return min(wanted-here, (waiting-here)/2)
}

// Pulled moves tickets of a team to the place that asks for them.
func (s *Shard) Pulled(now time.Time, m *wire.Pull) {
	row := s.teams[m.Team]
	for range m.Count {
		if row == nil || len(row.queue) == 0 || row.queue[0].hops >= maxHops {
			return
		}
		s.move(now, row.queue[0], m.Place)
	}
}
