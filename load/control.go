package load

import (
	"cmp"
	"slices"

	"github.com/cassiachute/cassiachute/entry"
)

// TrafficReport is the control traffic of one kind of message, averaged over the
// hosts.
type TrafficReport struct {
	Kind     string  `json:"kind"`
	Messages float64 `json:"messages"` // sent per second
	Bytes    float64 `json:"bytes"`    // sent per second
}

// controlRates returns the control bytes per second, sent and received, of the
// busiest host and the mean over the hosts.
func (r *Run) controlRates() (busiest, mean float64) {
	hosts := 0
	for i, after := range r.statusAfter {
		before := r.statusBefore[i]
		if before.Peer == "" || after.Peer == "" || after.Sent < before.Sent {
			continue
		}
		bytes := float64(after.Sent + after.Received - before.Sent - before.Received)
		rate := bytes / r.plan.Length.Seconds()
		busiest = max(busiest, rate)
		mean += rate
		hosts++
	}
	return busiest, mean / float64(max(1, hosts))
}

// trafficReports returns the mean rate at which the hosts sent each kind of
// message.
func (r *Run) trafficReports() []TrafficReport {
	totals := map[string]*TrafficReport{}
	for i, after := range r.statusAfter {
		addTraffic(totals, after.Traffic, 1)
		addTraffic(totals, r.statusBefore[i].Traffic, -1)
	}
	var list []TrafficReport
	for _, t := range totals {
		t.Messages /= r.plan.Length.Seconds() * float64(len(r.statusAfter))
		t.Bytes /= r.plan.Length.Seconds() * float64(len(r.statusAfter))
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b TrafficReport) int { return cmp.Compare(b.Bytes, a.Bytes) })
	return list
}

// addTraffic adds counters, multiplied by a sign, to the totals by kind.
func addTraffic(totals map[string]*TrafficReport, list []entry.Traffic, sign float64) {
	for _, t := range list {
		if totals[t.Kind] == nil {
			totals[t.Kind] = &TrafficReport{Kind: t.Kind}
		}
		totals[t.Kind].Messages += sign * float64(t.Messages)
		totals[t.Kind].Bytes += sign * float64(t.Bytes)
	}
}
