// Package ledger keeps the service that each team has received from all shards
// of one service.
//
// Each shard's account is written by the shard's owner alone. A row is
// superseded by a later message of the same incarnation or by a higher
// incarnation, so the state is bounded by the number of shards. A team's lift is
// fleet-wide and merges by maximum, so two owners that lift the same team at
// once agree.
package ledger

import (
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// Account is the state of one shard as this host knows it.
type Account struct {
	Incarnation uint64
	Sequence    uint64
	Heard       time.Time
	Free        int
	Slots       int
	Rows        map[uint32]wire.Row // by team
}

// Book holds the accounts of all shards of one service.
type Book struct {
	accounts map[uint32]*Account // by place
	served   map[uint32]uint64   // by team: service of all shards, charges included
	lift     map[uint32]uint64   // by team: level of virtual service added
	level    uint64
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{accounts: map[uint32]*Account{}, served: map[uint32]uint64{}, lift: map[uint32]uint64{}}
}

// Account returns the account of a place's shard, or nil if none is known.
func (b *Book) Account(place uint32) *Account { return b.accounts[place] }

// Accounts returns the accounts by place. The caller does not change it.
func (b *Book) Accounts() map[uint32]*Account { return b.accounts }

// Merge takes a message of a shard's owner. It returns false if the message is
// older than what is known.
func (b *Book) Merge(now time.Time, t *wire.Totals) bool {
	a := b.accounts[t.Shard.Place]
	if a != nil && older(t, a) {
		return false
	}
	if a == nil {
		a = &Account{Rows: map[uint32]wire.Row{}}
		b.accounts[t.Shard.Place] = a
	}
	if t.Complete {
		for team := range a.Rows {
			b.set(a, wire.Row{Team: team, Served: a.Rows[team].Served})
		}
	}
	a.Incarnation, a.Sequence, a.Heard = t.Incarnation, t.Sequence, now
	a.Free, a.Slots = int(t.Free), int(t.Slots)
	for _, row := range t.Rows {
		b.set(a, row)
	}
	b.level = max(b.level, t.Level)
	return true
}

func older(t *wire.Totals, a *Account) bool {
	if t.Incarnation != a.Incarnation {
		return t.Incarnation < a.Incarnation
	}
	return t.Sequence <= a.Sequence
}

// set replaces a row. Measured service never shrinks.
func (b *Book) set(a *Account, row wire.Row) {
	former := a.Rows[row.Team]
	row.Served = max(row.Served, former.Served)
	b.served[row.Team] += row.Served + row.Charged - former.Served - former.Charged
	b.lift[row.Team] = max(b.lift[row.Team], row.Lift)
	a.Rows[row.Team] = row
}

// Set replaces a row of the shard that this host owns.
func (b *Book) Set(place uint32, row wire.Row) {
	a := b.accounts[place]
	if a == nil {
		a = &Account{Rows: map[uint32]wire.Row{}}
		b.accounts[place] = a
	}
	b.set(a, row)
}

// Service returns the service of a team from all shards, charges included.
func (b *Book) Service(team uint32) uint64 { return b.served[team] }

// Others returns the service of a team from all shards but one.
func (b *Book) Others(team, place uint32) uint64 {
	total := b.served[team]
	if a := b.accounts[place]; a != nil {
		row := a.Rows[team]
		total -= row.Served + row.Charged
	}
	return total
}

// Lift returns the level added to a team's virtual service.
func (b *Book) Lift(team uint32) uint64 { return b.lift[team] }

// Raise raises the level added to a team's virtual service.
func (b *Book) Raise(team uint32, lift uint64) { b.lift[team] = max(b.lift[team], lift) }

// Level returns the highest virtual service at which a ticket was granted.
func (b *Book) Level() uint64 { return b.level }

// Advance raises the level.
func (b *Book) Advance(level uint64) { b.level = max(b.level, level) }

// Waiting returns whether a team waits at a shard heard of since a time, other
// than the one of a place.
func (b *Book) Waiting(team, except uint32, since time.Time) bool {
	for place, a := range b.accounts {
		if place != except && a.Heard.After(since) && a.Rows[team].Waiting > 0 {
			return true
		}
	}
	return false
}
