package load

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// account is what one team received and had waiting at each grid point.
type account struct {
	team     string
	weight   float64
	received []float64
	waiting  []int
}

// isPlain returns whether the cost of a service is slot time.
func (r *Run) isPlain(service string) bool {
	for _, s := range r.plan.Streams {
		if s.Service == service {
			return s.Kind == KindPlain || s.Kind == KindOrder
		}
	}
	return false
}

// accounts returns the accounts of the teams of a service, and the cost of the
// costliest request.
func (r *Run) accounts(service string, include func(s Stream) bool) ([]*account, float64) {
	points := int(r.plan.Length.Duration/gridStep) + 1
	byTeam := map[string]*account{}
	costly := 0.0
	isPlain := r.isPlain(service)
	for _, record := range r.records {
		s := r.plan.Streams[record.Stream]
		if s.Service != service || record.Lost || !include(s) {
			continue
		}
		a := byTeam[s.Team]
		if a == nil {
			a = &account{team: s.Team, weight: cmp.Or(s.Weight, 1), received: make([]float64, points), waiting: make([]int, points)}
			byTeam[s.Team] = a
		}
		a.add(record, isPlain)
		if record.Status == statusOK {
			costly = max(costly, record.Cost(isPlain))
		}
	}
	var list []*account
	for _, a := range byTeam {
		a.accumulate()
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *account) int { return strings.Compare(a.team, b.team) })
	return list, costly
}

// add enters a record as increments between grid points.
func (a *account) add(record *Record, isPlain bool) {
	former := 0.0
	for n := int(record.Sent/gridStep) + 1; n < len(a.received); n++ {
		at := time.Duration(n) * gridStep
		if at < record.Granted() {
			a.waiting[n]++
		}
		now := record.Received(at, isPlain)
		a.received[n] += now - former
		former = now
		if at >= record.End {
			return
		}
	}
}

func (a *account) accumulate() {
	for n := 1; n < len(a.received); n++ {
		a.received[n] += a.received[n-1]
	}
}

// gap returns the largest change, over any time in which two teams both had
// work waiting, of the difference between their services per weight.
func (r *Run) gap(service string, until time.Duration) GapMeasure {
	accounts, costly := r.accounts(service, func(Stream) bool { return true })
	g := GapMeasure{Service: service, Costly: costly}
	if costly == 0 {
		return g
	}
	for i, a := range accounts {
		for _, b := range accounts[i+1:] {
			if wide := spread(a, b, int(until/gridStep)) / costly; wide > g.Gap {
				g.Gap, g.Pair = wide, a.team+" "+b.team
			}
		}
	}
	return g
}

func spread(a, b *account, points int) float64 {
	widest, low, high := 0.0, 0.0, 0.0
	within := false
	for n := range min(points, len(a.received)) {
		if a.waiting[n] == 0 || b.waiting[n] == 0 {
			within = false
			continue
		}
		difference := a.received[n]/a.weight - b.received[n]/b.weight
		if !within {
			low, high, within = difference, difference, true
		}
		low, high = min(low, difference), max(high, difference)
		widest = max(widest, high-low)
	}
	return widest
}
