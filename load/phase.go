package load

// PhaseReport is the service that the non-flood streams received in one
// phase.
type PhaseReport struct {
	Name                string  `json:"name"`
	Flood               bool    `json:"flood"`
	ReceivedShare       float64 `json:"share"`   // share of the requested service that was received
	RetainedShare       float64 `json:"kept"`    // received share relative to the phase without a flood
	UrgentFirstTokenP99 float64 `json:"first99"` // of urgent requests, in milliseconds
}

// phaseReports returns a report for each phase. The retained share is relative to
// the phase without a flood.
func (r *Run) phaseReports() []PhaseReport {
	var list []PhaseReport
	baseline := 0.0
	for _, p := range r.plan.Phases {
		m := r.phaseReport(p)
		if !p.Flood {
			baseline = m.ReceivedShare
		}
		list = append(list, m)
	}
	for i := range list {
		list[i].RetainedShare = 1
		if baseline > 0 {
			list[i].RetainedShare = list[i].ReceivedShare / baseline
		}
	}
	return list
}

// phaseReport compares the service received in a phase with the service requested
// in it, for the non-flood streams.
func (r *Run) phaseReport(p Phase) PhaseReport {
	m := PhaseReport{Name: p.Name, Flood: p.Flood}
	firstTokens := newHistogram()
	received, offered := 0.0, 0.0
	for _, record := range r.records {
		s := r.plan.Streams[record.Stream]
		if s.Flood {
			continue
		}
		isPlain := r.isPlain(s.Service)
		received += record.CostUntil(p.Until.Duration, isPlain) - record.CostUntil(p.From.Duration, isPlain)
		if record.Sent < p.From.Duration || record.Sent >= p.Until.Duration {
			continue
		}
		offered += r.requestedCost(record)
		if s.Urgency == "urgent" && record.Served() {
			recordDuration(firstTokens, record.FirstByte-record.Sent)
		}
	}
	if offered > 0 {
		m.ReceivedShare = received / offered
	}
	m.UrgentFirstTokenP99 = quantileMillis(firstTokens, 99)
	return m
}

// requestedCost returns the cost of a request. For a request that was not served
// it is the mean cost of its stream.
func (r *Run) requestedCost(record *Record) float64 {
	s := r.plan.Streams[record.Stream]
	if record.Served() {
		return record.Cost(r.isPlain(s.Service))
	}
	return float64(s.MinSize+s.MaxSize)/2 + float64(s.PromptWords)
}
