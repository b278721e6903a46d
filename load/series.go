package load

import "time"

const seriesStep = 5 // grid points for one point of the series

// series returns the state of the run over time, for the service whose gap is
// the widest.
func (r *Run) series() []Point {
	service := ""
	widest := -1.0
	for _, name := range r.services() {
		if g := r.gap(name, r.plan.Length.Duration); g.Gap > widest {
			service, widest = name, g.Gap
		}
	}
	accounts, costly := r.accounts(service, func(Stream) bool { return true })
	others, _ := r.accounts(service, func(s Stream) bool { return !s.Flood })
	a, b := widestPair(accounts)
	var points []Point
	for n := seriesStep; n < int(r.plan.Length.Duration/gridStep); n += seriesStep {
		at := time.Duration(n) * gridStep
		p := Point{At: at.Seconds(), Busy: r.busyAt(service, at)}
		if a != nil && costly > 0 {
			p.Gap = (difference(a, b, n) - difference(a, b, since(a, b, n))) / costly
		}
		for _, o := range others {
			p.Kept += (o.received[n] - o.received[n-seriesStep]) / (seriesStep * gridStep.Seconds())
		}
		points = append(points, p)
	}
	return points
}

func widestPair(accounts []*account) (first, second *account) {
	widest := -1.0
	for i, a := range accounts {
		for _, b := range accounts[i+1:] {
			if wide := spread(a, b, len(a.received)); wide > widest {
				first, second, widest = a, b, wide
			}
		}
	}
	return first, second
}

func difference(a, b *account, n int) float64 {
	return a.received[n]/a.weight - b.received[n]/b.weight
}

// since returns the point from which two teams both had work waiting without a
// break, or the point itself.
func since(a, b *account, n int) int {
	for n > 0 && a.waiting[n] > 0 && b.waiting[n] > 0 {
		n--
	}
	return n
}

// busyAt returns the part of the slots of a service in use at a time.
func (r *Run) busyAt(service string, at time.Duration) float64 {
	for _, s := range r.samples[service] {
		if s.At >= at && s.Batch > 0 {
			return float64(s.Running) / float64(s.Batch)
		}
	}
	return 0
}
