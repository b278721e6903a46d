package load

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// teamUsage is the cost that one team received and the number of its requests that
// were waiting, at each grid point.
type teamUsage struct {
	team         string
	weight       float64
	costReceived []float64
	waiting      []int
}

// isPlain reports whether the cost of a service is slot time and not tokens.
func (r *Run) isPlain(service string) bool {
	for _, s := range r.plan.Streams {
		if s.Service == service {
			return s.Kind == KindPlain || s.Kind == KindOrder
		}
	}
	return false
}

// teamUsages returns the usage of each team of a service, and the cost of its most
// expensive request. Only streams that include accepts are counted.
func (r *Run) teamUsages(service string, include func(s Stream) bool) ([]*teamUsage, float64) {
	points := int(r.plan.Length.Duration/gridStep) + 1
	byTeam := map[string]*teamUsage{}
	maxCost := 0.0
	isPlain := r.isPlain(service)
	for _, record := range r.records {
		s := r.plan.Streams[record.Stream]
		if s.Service != service || record.Lost || !include(s) {
			continue
		}
		a := byTeam[s.Team]
		if a == nil {
			a = &teamUsage{team: s.Team, weight: cmp.Or(s.Weight, 1), costReceived: make([]float64, points), waiting: make([]int, points)}
			byTeam[s.Team] = a
		}
		a.add(record, isPlain)
		if record.Status == statusOK {
			maxCost = max(maxCost, record.Cost(isPlain))
		}
	}
	var list []*teamUsage
	for _, a := range byTeam {
		a.accumulate()
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *teamUsage) int { return strings.Compare(a.team, b.team) })
	return list, maxCost
}

// add adds the cost of a request as increments between grid points, and counts the
// request as waiting at the points before its grant.
func (a *teamUsage) add(record *Record, isPlain bool) {
	previous := 0.0
	for n := int(record.Sent/gridStep) + 1; n < len(a.costReceived); n++ {
		at := time.Duration(n) * gridStep
		if at < record.GrantedAt() {
			a.waiting[n]++
		}
		current := record.CostUntil(at, isPlain)
		a.costReceived[n] += current - previous
		previous = current
		if at >= record.End {
			return
		}
	}
}

// accumulate turns the increments into totals since the start of the run.
func (a *teamUsage) accumulate() {
	for n := 1; n < len(a.costReceived); n++ {
		a.costReceived[n] += a.costReceived[n-1]
	}
}

// serviceReport returns the fairness gap of a service: the largest change of the
// difference between the service per weight that two teams received, over any
// period in which both had requests waiting.
func (r *Run) serviceReport(service string, until time.Duration) ServiceReport {
	usages, maxCost := r.teamUsages(service, func(Stream) bool { return true })
	g := ServiceReport{Service: service, MaxCost: maxCost}
	if maxCost == 0 {
		return g
	}
	for i, a := range usages {
		for _, b := range usages[i+1:] {
			if gap := gapBetween(a, b, int(until/gridStep)) / maxCost; gap > g.Gap {
				g.Gap, g.Pair = gap, a.team+" "+b.team
			}
		}
	}
	return g
}

// gapBetween returns the fairness gap of two teams in cost units, over a number of
// grid points.
func gapBetween(a, b *teamUsage, points int) float64 {
	largest, low, high := 0.0, 0.0, 0.0
	bothWaiting := false
	for n := range min(points, len(a.costReceived)) {
		if a.waiting[n] == 0 || b.waiting[n] == 0 {
			bothWaiting = false
			continue
		}
		difference := a.costReceived[n]/a.weight - b.costReceived[n]/b.weight
		if !bothWaiting {
			low, high, bothWaiting = difference, difference, true
		}
		low, high = min(low, difference), max(high, difference)
		largest = max(largest, high-low)
	}
	return largest
}
