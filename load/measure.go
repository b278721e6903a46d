package load

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiachute/cassiachute/entry"
)

const (
	gridStep          = 100 * time.Millisecond // resolution of the usage over time
	maxLatencyMicros  = 10 * 60 * 1e6
	significantDigits = 3
	idleWindow        = 300 * time.Millisecond // time before a refusal in which free slots make it a fault
	maxErrors         = 10
)

// Report holds the results of a run.
type Report struct {
	Gap              float64         `json:"gap"`     // fairness gap: largest change of the difference in service per weight between two teams, in most expensive requests
	FirstHalfGap     float64         `json:"half"`    // the same for the first half of the run
	Utilization      float64         `json:"busy"`    // share of slot time used while requests were waiting
	MaxControlRate   float64         `json:"control"` // control bytes per second of the busiest host
	MeanControlRate  float64         `json:"mean"`    // control bytes per second, mean over hosts
	RetainedShare    float64         `json:"kept"`    // share of their service that other streams retain in a flood, in the worst phase
	RefusedWhileIdle int             `json:"waited"`  // requests refused although slots were free
	Wrong            int             `json:"wrong"`   // answers that ended cleanly, but are incomplete or belong to another request
	DuplicateOrders  int             `json:"doubled"` // orders run more than once
	RanThoughNotRun  int             `json:"untrue"`  // requests refused as not run that a target ran
	Served           int             `json:"served"`
	Sent             int             `json:"sent"`
	Refused          int             `json:"refused"`
	Abandoned        int             `json:"abandoned"` // requests still open at the end of the run
	Broken           int             `json:"broken"`    // answers that ended early, visibly to the caller
	Lost             int             `json:"lost"`      // requests without an answer
	Codes            []Count         `json:"codes,omitempty"`
	Errors           []string        `json:"faults,omitempty"` // errors of the first lost or broken requests
	Traffic          []TrafficReport `json:"traffic,omitempty"`
	Teams            []TeamReport    `json:"teams"`
	Phases           []PhaseReport   `json:"phases,omitempty"`
	Series           []Point         `json:"series,omitempty"`
	Services         []ServiceReport `json:"services"`
}

// Count is the number of refusals with one code.
type Count struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// ServiceReport is the fairness gap and the utilization of one service.
type ServiceReport struct {
	Service        string  `json:"service"`
	Gap            float64 `json:"gap"`
	Pair           string  `json:"pair"` // names of the two teams with this gap
	MaxCost        float64 `json:"costly"`
	Utilization    float64 `json:"busy"`
	BacklogSeconds float64 `json:"observed"` // seconds in which requests were waiting
}

// TeamReport is the service that one team received from one service of the fleet.
type TeamReport struct {
	Team          string  `json:"team"`
	Service       string  `json:"service"`
	Sent          int     `json:"sent"`
	Served        int     `json:"served"`
	Refused       int     `json:"refused"`
	Cost          float64 `json:"cost"` // service received, in cost units
	WaitP50       float64 `json:"wait50"`
	WaitP99       float64 `json:"wait99"` // milliseconds
	FirstTokenP50 float64 `json:"first50"`
	FirstTokenP99 float64 `json:"first99"` // milliseconds from sending to the first token
}

// Point is the state of a run at one time, for plots.
type Point struct {
	At           float64 `json:"at"`   // seconds
	Gap          float64 `json:"gap"`  // difference between the two teams with the largest gap since both had requests waiting, in most expensive requests
	Utilization  float64 `json:"busy"` // share of the slots in use
	NonFloodRate float64 `json:"kept"` // service of the non-flood streams, in cost units per second
}

// report computes the results from the records.
func (r *Run) report() *Report {
	m := &Report{RetainedShare: 1}
	r.countOutcomes(m)
	m.Teams = r.teamReports()
	for _, service := range r.services() {
		g := r.serviceReport(service, r.plan.Length.Duration)
		half := r.serviceReport(service, r.plan.Length.Duration/2)
		g.Utilization, g.BacklogSeconds = r.utilization(service)
		m.Services = append(m.Services, g)
		m.Gap = max(m.Gap, g.Gap)
		m.FirstHalfGap = max(m.FirstHalfGap, half.Gap)
	}
	m.Utilization = r.totalUtilization()
	m.MaxControlRate, m.MeanControlRate = r.controlRates()
	m.Traffic = r.trafficReports()
	m.Phases = r.phaseReports()
	m.Series = r.timeSeries()
	for _, p := range m.Phases {
		if p.Flood {
			m.RetainedShare = min(m.RetainedShare, p.RetainedShare)
		}
	}
	return m
}

// countOutcomes counts the outcomes of the requests and checks them against the
// runs that the stand-ins recorded.
func (r *Run) countOutcomes(m *Report) {
	codes := map[string]int{}
	for _, record := range r.records {
		m.Sent++
		ran := r.runsByRequest[record.ID] > 0
		if record.Error != "" && !record.Abandoned && len(m.Errors) < maxErrors {
			m.Errors = append(m.Errors, record.ID+": "+record.Error)
		}
		switch {
		case record.Abandoned:
			m.Abandoned++
		case record.Lost:
			m.Lost++
		case record.Wrong:
			m.Wrong++
		case record.Broken:
			m.Broken++
		case record.Served():
			m.Served++
		default:
			m.Refused++
			codes[record.Code]++
			if record.Outcome == entry.OutcomeNotRun && ran {
				m.RanThoughNotRun++
			}
			if r.refusedWhileIdle(record) {
				m.RefusedWhileIdle++
			}
		}
	}
	for _, runs := range r.runsByOrder {
		if runs > 1 {
			m.DuplicateOrders++
		}
	}
	for code, count := range codes {
		m.Codes = append(m.Codes, Count{Code: code, Count: count})
	}
	slices.SortFunc(m.Codes, func(a, b Count) int { return strings.Compare(a.Code, b.Code) })
}

// refusedWhileIdle reports whether a request was refused for lack of capacity
// although slots were free during all of the idle window before.
func (r *Run) refusedWhileIdle(record *Record) bool {
	if record.Code != "no_capacity" && record.Code != "team_limit" && record.Code != "queue_limit" {
		return false
	}
	service := r.plan.Streams[record.Stream].Service
	seen := 0
	for _, s := range r.samples[service] {
		if s.At < record.End-idleWindow || s.At > record.End {
			continue
		}
		seen++
		if s.Running >= s.Batch {
			return false
		}
	}
	return seen > 0
}

// services returns the names of the services in the order of the plan.
func (r *Run) services() []string {
	var list []string
	for _, s := range r.plan.Streams {
		if !slices.Contains(list, s.Service) {
			list = append(list, s.Service)
		}
	}
	return list
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// recordDuration records a duration in microseconds, limited to the range of the
// histogram.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d.Microseconds(), maxLatencyMicros)))
}

// quantileMillis returns a quantile in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// teamReports returns a report for each team and service of the plan.
func (r *Run) teamReports() []TeamReport {
	var list []TeamReport
	seen := map[string]bool{}
	for _, s := range r.plan.Streams {
		key := s.Team + " " + s.Service
		if !seen[key] {
			seen[key] = true
			list = append(list, r.teamReport(s.Team, s.Service))
		}
	}
	return list
}

// teamReport returns the report of one team at one service.
func (r *Run) teamReport(team, service string) TeamReport {
	t := TeamReport{Team: team, Service: service}
	waits, firstTokens := newHistogram(), newHistogram()
	isPlain := r.isPlain(service)
	for _, record := range r.records {
		s := r.plan.Streams[record.Stream]
		if s.Team != team || s.Service != service {
			continue
		}
		t.Sent++
		if !record.Served() {
			t.Refused++
			continue
		}
		t.Served++
		t.Cost += record.Cost(isPlain)
		recordDuration(waits, record.QueueTime)
		recordDuration(firstTokens, record.FirstByte-record.Sent)
	}
	t.WaitP50, t.WaitP99 = quantileMillis(waits, 50), quantileMillis(waits, 99)
	t.FirstTokenP50, t.FirstTokenP99 = quantileMillis(firstTokens, 50), quantileMillis(firstTokens, 99)
	return t
}
