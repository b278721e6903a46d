package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// usageDecayTime is the time after which past usage has lost all but 1/e of its weight.
const usageDecayTime = 2 * time.Second

// decayingSum is a sum that decays exponentially with the time constant usageDecayTime.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

// add adds an amount at a time.
func (u *decayingSum) add(now time.Time, amount float64) {
	u.value = u.valueAt(now) + amount
	u.updatedAt = now
}

// subtract takes back an amount that was added recently.
func (u *decayingSum) subtract(now time.Time, amount float64) {
	u.value = max(0, u.valueAt(now)-amount)
	u.updatedAt = now
}

// valueAt returns what is left of the sum at a time.
func (u *decayingSum) valueAt(now time.Time) float64 {
	if u.value == 0 {
		return 0
	}
	return u.value * math.Exp(-max(0, now.Sub(u.updatedAt).Seconds())/usageDecayTime.Seconds())
}

// Demand is how much service a team recently received and asked for, in cost units.
type Demand struct {
	Team     string
	Received float64
	Asked    float64 // at least Received
}

// MaxMinShare returns the max-min fair share of a capacity: each team gets what it asked for,
// but no more than this level. It is infinite if the capacity suffices for all. A team that
// floods raises its own demand and not its share.
func MaxMinShare(demands []Demand, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int { return cmp.Compare(a.Asked, b.Asked) })
	for i, d := range sorted {
		even := capacity / float64(len(sorted)-i)
		if d.Asked >= even {
			return even
		}
		capacity -= d.Asked
	}
	return math.Inf(1)
}

// Standing compares the service a team recently received with its share.
type Standing uint8

// Standings of a team, from the least to the most service received.
const (
	Entitled           Standing = iota // up to its share of the promised capacity
	AboveEntitledShare                 // more than that, up to an even share of the service delivered
	AboveEvenShare                     // more than an even share
)

// String returns the name of the standing.
func (s Standing) String() string {
	return [...]string{"entitled", "above", "beyond"}[min(s, AboveEvenShare)]
}
