package load

// PhaseMeasure is what the work outside a flood got in one phase.
type PhaseMeasure struct {
	Name    string  `json:"name"`
	Flood   bool    `json:"flood"`
	Share   float64 `json:"share"`   // part of the offered service that was received
	Kept    float64 `json:"kept"`    // share relative to the phase without a flood
	First99 float64 `json:"first99"` // of urgent requests, in milliseconds
}

// phases returns what the work outside floods got in each phase, relative to
// the phase without a flood.
func (r *Run) phases() []PhaseMeasure {
	var list []PhaseMeasure
	quiet := 0.0
	for _, p := range r.plan.Phases {
		m := r.phase(p)
		if !p.Flood {
			quiet = m.Share
		}
		list = append(list, m)
	}
	for i := range list {
		list[i].Kept = 1
		if quiet > 0 {
			list[i].Kept = list[i].Share / quiet
		}
	}
	return list
}

// phase compares the service received with the service that was asked for.
func (r *Run) phase(p Phase) PhaseMeasure {
	m := PhaseMeasure{Name: p.Name, Flood: p.Flood}
	firsts := newHistogram()
	received, offered := 0.0, 0.0
	for _, record := range r.records {
		s := r.plan.Streams[record.Stream]
		if s.Flood {
			continue
		}
		isPlain := r.isPlain(s.Service)
		received += record.Received(p.Until.Duration, isPlain) - record.Received(p.From.Duration, isPlain)
		if record.Sent < p.From.Duration || record.Sent >= p.Until.Duration {
			continue
		}
		offered += r.asked(record)
		if s.Urgency == "urgent" && record.Served() {
			note(firsts, record.First-record.Sent)
		}
	}
	if offered > 0 {
		m.Share = received / offered
	}
	m.First99 = millis(firsts, 99)
	return m
}

// asked returns the cost of a request, or the mean cost of its stream if it was
// not served.
func (r *Run) asked(record *Record) float64 {
	s := r.plan.Streams[record.Stream]
	if record.Served() {
		return record.Cost(r.isPlain(s.Service))
	}
	return float64(s.Least+s.Most)/2 + float64(s.Prompt)
}
