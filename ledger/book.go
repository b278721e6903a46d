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
	liftByTeam    map[uint32]uint64   // amount added to the virtual service of a team
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

// Merge updates the account of a shard from a report of its owner. It returns false if the report
// is not newer than the account.
func (b *Book) Merge(now time.Time, report *wire.ShardState) bool {
	a := b.accounts[report.Shard.Place]
	if a != nil && isOutdated(report, a) {
		return false
	}
	if a == nil {
		a = &Account{Teams: map[uint32]wire.TeamUsage{}}
		b.accounts[report.Shard.Place] = a
	}
	if report.AllTeams { // a team that is missing has nothing running or waiting
		for team := range a.Teams {
			b.setRow(a, wire.TeamUsage{Team: team, Served: a.Teams[team].Served})
		}
	}
	a.Incarnation, a.Sequence, a.ReportedAt = report.Incarnation, report.Sequence, now
	a.Free, a.Slots = int(report.Free), int(report.Slots)
	for _, usage := range report.Teams {
		b.setRow(a, usage)
	}
	b.level = max(b.level, report.Level)
	return true
}

// isOutdated returns whether a report is not newer than an account.
func isOutdated(report *wire.ShardState, a *Account) bool {
	if report.Incarnation != a.Incarnation {
		return report.Incarnation < a.Incarnation
	}
	return report.Sequence <= a.Sequence
}

// setRow replaces the usage of a team in an account and updates the sums over all accounts.
// Measured service never decreases.
func (b *Book) setRow(a *Account, usage wire.TeamUsage) {
	former := a.Teams[usage.Team]
	usage.Served = max(usage.Served, former.Served)
	b.serviceByTeam[usage.Team] += usage.Served + usage.Charged - former.Served - former.Charged
	b.liftByTeam[usage.Team] = max(b.liftByTeam[usage.Team], usage.Lift)
	a.Teams[usage.Team] = usage
}

// SetOwnUsage replaces the usage of a team in the account of the shard that this host owns in a
// place.
func (b *Book) SetOwnUsage(place uint32, usage wire.TeamUsage) {
	a := b.accounts[place]
	if a == nil {
		a = &Account{Teams: map[uint32]wire.TeamUsage{}}
		b.accounts[place] = a
	}
	b.setRow(a, usage)
}

// Service returns the service of a team from all shards, charges for running requests included.
func (b *Book) Service(team uint32) uint64 { return b.serviceByTeam[team] }

// ServiceElsewhere returns the service of a team from all shards except the one in a place.
func (b *Book) ServiceElsewhere(team, place uint32) uint64 {
	total := b.serviceByTeam[team]
	if a := b.accounts[place]; a != nil {
		usage := a.Teams[team]
		total -= usage.Served + usage.Charged
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

// WaitsElsewhere returns whether a team has waiting tickets at a shard whose last report arrived
// after since. The shard in exceptPlace does not count.
func (b *Book) WaitsElsewhere(team, exceptPlace uint32, since time.Time) bool {
	for place, a := range b.accounts {
		if place != exceptPlace && a.ReportedAt.After(since) && a.Teams[team].Waiting > 0 {
			return true
		}
	}
	return false
}
