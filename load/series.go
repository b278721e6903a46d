package load

import "time"

const seriesStep = 5 // grid points between two points of the series

// timeSeries returns the state of the run over time for the service with the
// largest fairness gap.
func (r *Run) timeSeries() []Point {
	service := ""
	largest := -1.0
	for _, name := range r.services() {
		if g := r.serviceReport(name, r.plan.Length.Duration); g.Gap > largest {
			service, largest = name, g.Gap
		}
	}
	usages, maxCost := r.teamUsages(service, func(Stream) bool { return true })
	others, _ := r.teamUsages(service, func(s Stream) bool { return !s.Flood })
	a, b := widestPair(usages)
	var points []Point
	for n := seriesStep; n < int(r.plan.Length.Duration/gridStep); n += seriesStep {
		at := time.Duration(n) * gridStep
		p := Point{At: at.Seconds(), Utilization: r.utilizationAt(service, at)}
		if a != nil && maxCost > 0 {
			p.Gap = (serviceDifference(a, b, n) - serviceDifference(a, b, contentionStart(a, b, n))) / maxCost
		}
		for _, o := range others {
			p.NonFloodRate += (o.costReceived[n] - o.costReceived[n-seriesStep]) / (seriesStep * gridStep.Seconds())
		}
		points = append(points, p)
	}
	return points
}

// widestPair returns the two teams with the largest fairness gap.
func widestPair(usages []*teamUsage) (first, second *teamUsage) {
	largest := -1.0
	for i, a := range usages {
		for _, b := range usages[i+1:] {
			if gap := gapBetween(a, b, len(a.costReceived)); gap > largest {
				first, second, largest = a, b, gap
			}
		}
	}
	return first, second
}

// serviceDifference returns the difference between the service per weight of two
// teams at a grid point.
func serviceDifference(a, b *teamUsage, n int) float64 {
	return a.costReceived[n]/a.weight - b.costReceived[n]/b.weight
}

// contentionStart returns the last grid point up to n at which one of two teams
// had no request waiting, or 0.
func contentionStart(a, b *teamUsage, n int) int {
	for n > 0 && a.waiting[n] > 0 && b.waiting[n] > 0 {
		n--
	}
	return n
}

// utilizationAt returns the share of the slots of a service in use at a time.
func (r *Run) utilizationAt(service string, at time.Duration) float64 {
	for _, s := range r.samples[service] {
		if s.At >= at && s.Batch > 0 {
			return float64(s.Running) / float64(s.Batch)
		}
	}
	return 0
}
