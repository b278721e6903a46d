package load

import (
	"cmp"
	"slices"

	"github.com/cassiachute/cassiachute/entry"
)

// KindMeasure is the control traffic of one kind of message, mean over hosts.
type KindMeasure struct {
	Kind     string  `json:"kind"`
	Messages float64 `json:"messages"` // sent a second
	Bytes    float64 `json:"bytes"`    // sent a second
}

// control returns the control bytes a second, sent and received, of the
// busiest host and the mean.
func (r *Run) control() (most, mean float64) {
	hosts := 0
	for i, after := range r.after {
		before := r.before[i]
		if before.Peer == "" || after.Peer == "" || after.Sent < before.Sent {
			continue
		}
		bytes := float64(after.Sent + after.Received - before.Sent - before.Received)
		rate := bytes / r.plan.Length.Seconds()
		most = max(most, rate)
		mean += rate
		hosts++
	}
	return most, mean / float64(max(1, hosts))
}

// traffic returns what a host sent a second of each kind of message, on average.
func (r *Run) traffic() []KindMeasure {
	totals := map[string]*KindMeasure{}
	for i, after := range r.after {
		addTraffic(totals, after.Traffic, 1)
		addTraffic(totals, r.before[i].Traffic, -1)
	}
	var list []KindMeasure
	for _, t := range totals {
		t.Messages /= r.plan.Length.Seconds() * float64(len(r.after))
		t.Bytes /= r.plan.Length.Seconds() * float64(len(r.after))
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b KindMeasure) int { return cmp.Compare(b.Bytes, a.Bytes) })
	return list
}

func addTraffic(totals map[string]*KindMeasure, list []entry.Traffic, sign float64) {
	for _, t := range list {
		if totals[t.Kind] == nil {
			totals[t.Kind] = &KindMeasure{Kind: t.Kind}
		}
		totals[t.Kind].Messages += sign * float64(t.Messages)
		totals[t.Kind].Bytes += sign * float64(t.Bytes)
	}
}
