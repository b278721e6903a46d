package load

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiachute/cassiachute/entry"
)

const (
	gridStep         = 100 * time.Millisecond
	maxLatencyMicros = 10 * 60 * 1e6
	latencyDigits    = 3
	idleWindow       = 300 * time.Millisecond
	maxFaults        = 10
)

// Measures are the results of a run.
type Measures struct {
	Gap       float64        `json:"gap"`     // largest service difference per weight, in costliest requests
	Half      float64        `json:"half"`    // the same for the first half of the run
	Busy      float64        `json:"busy"`    // part of slot time used while work waited
	Control   float64        `json:"control"` // control bytes a second of the busiest host
	Mean      float64        `json:"mean"`    // control bytes a second, mean over hosts
	Kept      float64        `json:"kept"`    // part of its service that other work keeps in a flood, worst phase
	Waited    int            `json:"waited"`  // refused though capacity was idle
	Wrong     int            `json:"wrong"`   // incomplete or not one's own
	Doubled   int            `json:"doubled"` // orders run twice
	Untrue    int            `json:"untrue"`  // refused as not run, and ran
	Served    int            `json:"served"`
	Sent      int            `json:"sent"`
	Refused   int            `json:"refused"`
	Abandoned int            `json:"abandoned"` // still open at the end of the run
	Broken    int            `json:"broken"`    // answers that broke off visibly
	Lost      int            `json:"lost"`      // connections that ended without an answer
	Codes     []Count        `json:"codes,omitempty"`
	Faults    []string       `json:"faults,omitempty"` // of the first lost or broken answers
	Traffic   []KindMeasure  `json:"traffic,omitempty"`
	Teams     []TeamMeasure  `json:"teams"`
	Phases    []PhaseMeasure `json:"phases,omitempty"`
	Series    []Point        `json:"series,omitempty"`
	Services  []GapMeasure   `json:"services"`
}

// Count is how often a refusal's code came up.
type Count struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// GapMeasure is the gap and the use of one service.
type GapMeasure struct {
	Service  string  `json:"service"`
	Gap      float64 `json:"gap"`
	Pair     string  `json:"pair"` // the two teams
	Costly   float64 `json:"costly"`
	Busy     float64 `json:"busy"`
	Observed float64 `json:"observed"` // seconds with waiting work
}

// TeamMeasure is what one team got of one service.
type TeamMeasure struct {
	Team    string  `json:"team"`
	Service string  `json:"service"`
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Cost    float64 `json:"cost"` // service received, in cost units
	Wait50  float64 `json:"wait50"`
	Wait99  float64 `json:"wait99"` // milliseconds
	First50 float64 `json:"first50"`
	First99 float64 `json:"first99"` // milliseconds from sending to the first token
}

// Point is the state of a run at a time, for plots.
type Point struct {
	At   float64 `json:"at"`   // seconds
	Gap  float64 `json:"gap"`  // difference of the pair with the widest gap since both had work waiting, in costliest requests
	Busy float64 `json:"busy"` // part of the slots in use
	Kept float64 `json:"kept"` // service of the work outside floods, in cost units a second
}

// measure works out the measures from the records.
func (r *Run) measure() *Measures {
	m := &Measures{Kept: 1}
	r.count(m)
	m.Teams = r.teams()
	for _, service := range r.services() {
		g := r.gap(service, r.plan.Length.Duration)
		half := r.gap(service, r.plan.Length.Duration/2)
		g.Busy, g.Observed = r.busy(service)
		m.Services = append(m.Services, g)
		m.Gap = max(m.Gap, g.Gap)
		m.Half = max(m.Half, half.Gap)
	}
	m.Busy = r.allBusy()
	m.Control, m.Mean = r.control()
	m.Traffic = r.traffic()
	m.Phases = r.phases()
	m.Series = r.series()
	for _, p := range m.Phases {
		if p.Flood {
			m.Kept = min(m.Kept, p.Kept)
		}
	}
	return m
}

// count counts the outcomes, and checks them against the stand-ins' records.
func (r *Run) count(m *Measures) {
	codes := map[string]int{}
	for _, record := range r.records {
		m.Sent++
		ran := r.runs[record.ID] > 0
		if record.Fault != "" && !record.Abandoned && len(m.Faults) < maxFaults {
			m.Faults = append(m.Faults, record.ID+": "+record.Fault)
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
				m.Untrue++
			}
			if r.idleWhile(record) {
				m.Waited++
			}
		}
	}
	for _, runs := range r.orders {
		if runs > 1 {
			m.Doubled++
		}
	}
	for code, count := range codes {
		m.Codes = append(m.Codes, Count{Code: code, Count: count})
	}
	slices.SortFunc(m.Codes, func(a, b Count) int { return strings.Compare(a.Code, b.Code) })
}

// idleWhile returns whether a request was refused for want of a slot although
// slots were free all the time before.
func (r *Run) idleWhile(record *Record) bool {
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
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d.Microseconds(), maxLatencyMicros)))
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// teams returns what each team got.
func (r *Run) teams() []TeamMeasure {
	var list []TeamMeasure
	seen := map[string]bool{}
	for _, s := range r.plan.Streams {
		key := s.Team + " " + s.Service
		if !seen[key] {
			seen[key] = true
			list = append(list, r.team(s.Team, s.Service))
		}
	}
	return list
}

func (r *Run) team(team, service string) TeamMeasure {
	t := TeamMeasure{Team: team, Service: service}
	waits, firsts := newHistogram(), newHistogram()
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
		note(waits, record.Waited)
		note(firsts, record.First-record.Sent)
	}
	t.Wait50, t.Wait99 = millis(waits, 50), millis(waits, 99)
	t.First50, t.First99 = millis(firsts, 50), millis(firsts, 99)
	return t
}
