package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// usageLife is the time over which past usage loses all but 1/e of its weight.
const usageLife = 2 * time.Second

// usage is a decaying sum.
type usage struct {
	value float64
	at    time.Time
}

func (u *usage) add(now time.Time, amount float64) {
	u.value = u.read(now) + amount
	u.at = now
}

// take takes back an amount that was added of late.
func (u *usage) take(now time.Time, amount float64) {
	u.value = max(0, u.read(now)-amount)
	u.at = now
}

func (u *usage) read(now time.Time) float64 {
	if u.value == 0 {
		return 0
	}
	return u.value * math.Exp(-max(0, now.Sub(u.at).Seconds())/usageLife.Seconds())
}

// Demand is what a team received and asked for of late, in cost units.
type Demand struct {
	Team     string
	Received float64
	Asked    float64 // at least what it received
}

// Level returns the max-min share of a capacity: each team gets what it asked for,
// up to the level. It is infinite if the capacity is enough for all. It answers
// floods of one team: the flood raises its own demand and not its share.
func Level(demands []Demand, capacity float64) float64 {
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

// Standing tells what a team received of late compared with its share.
type Standing uint8

// The standings.
const (
	Entitled Standing = iota // less than its share of the capacity that is promised
	Above                    // more, and no more than an even part of what was handed out
	Beyond                   // more than that
)

// String returns the name of the standing.
func (s Standing) String() string {
	return [...]string{"entitled", "above", "beyond"}[min(s, Beyond)]
}
