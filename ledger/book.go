// Package ledger keeps the amount of service, in cost units, that each team has received from all
// shards of one service.
//
// Only the owner of a shard writes the account of the shard. An account is superseded by a later
// message of the same incarnation or by a higher incarnation, so the size of the state is bounded by
// the number of shards. The lift of a team is an amount added to its virtual service. It holds for all
// shards and merges by maximum, so two owners that raise the lift of the same team at once agree.
package ledger

import (
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// Account is the state of one shard as its owner last reported it.
type Account struct {
	Incarnation uint64                    // of the owner
	Sequence    uint64                    // number of the last report of the incarnation
	ReportedAt  time.Time                 // when the last report arrived
	Free        int                       // free slots
	Slots       int                       // all slots
	Teams       map[uint32]wire.TeamUsage // by team
}

// Book holds the accounts of all shards of one service.
type Book struct {
	accounts      map[uint32]*Account // by place
	serviceByTeam map[uint32]uint64   // from all shards, charges for running requests included
	liftByTeam    map[uint32]uint64   // amount added to the virtual service
	level         uint64              // highest normalized service at which a ticket was granted
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{accounts: map[uint32]*Account{}, serviceByTeam: map[uint32]uint64{}, liftByTeam: map[uint32]uint64{}}
}

// Account returns the account of the shard in a place, or nil if none is known.
func (b *Book) Account(place uint32) *Account { return b.accounts[place] }

// Accounts returns the accounts by place. The caller must not change the map.
func (b *Book) Accounts() map[uint32]*Account { return b.accounts }

// Merge takes a report of the owner of a shard. It returns false if the report is older than the
// account.
func (b *Book) Merge(now time.Time, t *wire.ShardState) bool {
	a := b.accounts[t.Shard.Place]
	if a != nil && isOutdated(t, a) {
		return false
	}
	if a == nil {
		a = &Account{Teams: map[uint32]wire.TeamUsage{}}
		b.accounts[t.Shard.Place] = a
	}
	if t.AllTeams {
		for team := range a.Teams {
			b.setRow(a, wire.TeamUsage{Team: team, Served: a.Teams[team].Served})
		}
	}
	a.Incarnation, a.Sequence, a.ReportedAt = t.Incarnation, t.Sequence, now
	a.Free, a.Slots = int(t.Free), int(t.Slots)
	for _, row := range t.Teams {
		b.setRow(a, row)
	}
	b.level = max(b.level, t.Level)
	return true
}

// isOutdated returns whether a report is not newer than an account.
func isOutdated(t *wire.ShardState, a *Account) bool {
	if t.Incarnation != a.Incarnation {
		return t.Incarnation < a.Incarnation
	}
	return t.Sequence <= a.Sequence
}

// setRow replaces the row of a team in an account and updates the sums. Measured service never
// decreases.
func (b *Book) setRow(a *Account, row wire.TeamUsage) {
	former := a.Teams[row.Team]
	row.Served = max(row.Served, former.Served)
	b.serviceByTeam[row.Team] += row.Served + row.Charged - former.Served - former.Charged
	b.liftByTeam[row.Team] = max(b.liftByTeam[row.Team], row.Lift)
	a.Teams[row.Team] = row
}

// SetOwnUsage replaces the row of a team in the account of the shard that this host owns in a place.
func (b *Book) SetOwnUsage(place uint32, row wire.TeamUsage) {
	a := b.accounts[place]
	if a == nil {
		a = &Account{Teams: map[uint32]wire.TeamUsage{}}
		b.accounts[place] = a
	}
	b.setRow(a, row)
}

// Service returns the service of a team from all shards, charges for running requests included.
func (b *Book) Service(team uint32) uint64 { return b.serviceByTeam[team] }

// ServiceElsewhere returns the service of a team from all shards except the one in a place.
func (b *Book) ServiceElsewhere(team, place uint32) uint64 {
	total := b.serviceByTeam[team]
	if a := b.accounts[place]; a != nil {
		row := a.Teams[team]
		total -= row.Served + row.Charged
	}
	return total
}

// Lift returns the amount added to a team's virtual service.
func (b *Book) Lift(team uint32) uint64 { return b.liftByTeam[team] }

// RaiseLift raises the amount added to a team's virtual service. A lower value changes nothing.
func (b *Book) RaiseLift(team uint32, lift uint64) {
	b.liftByTeam[team] = max(b.liftByTeam[team], lift)
}

// Level returns the highest normalized service at which a ticket was granted by any shard.
func (b *Book) Level() uint64 { return b.level }

// RaiseLevel raises the value that Level returns. A lower value changes nothing.
func (b *Book) RaiseLevel(level uint64) { b.level = max(b.level, level) }

// WaitsElsewhere returns whether a team waits at any shard, except the one of a place, whose last report
// came after since.
func (b *Book) WaitsElsewhere(team, except uint32, since time.Time) bool {
	for place, a := range b.accounts {
		if place != except && a.ReportedAt.After(since) && a.Teams[team].Waiting > 0 {
			return true
		}
	}
	return false
}
