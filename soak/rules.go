package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	lossSlack    = 200 * ms        // after the last byte of a request, in which a close may cross it
	timeSlack    = 250 * ms        // before the end of a request's time, from which its time is over
	overlapSlack = 400 * ms        // in which a target notices that a run is to end
	drainBound   = 2 * time.Second // after a target was said to be leaving
	pauseGrace   = 500 * ms        // requests on their way to a target that pauses
	pauseMost    = 2               // requests of a gateway that may reach it after that
)

// View is all that callers and targets saw.
type View struct {
	Seen []Seen
	target.Records
	Away  map[int][]Span // of gateways that were not in touch
	Stops map[int][]Stop // of gateways, planned
	Ended map[int]int    // processes that ended by themselves
	Least map[Kind]time.Duration

	Stalls int // times that the machine held the soak up

	entered map[string][]target.Run // by request, in the order in which they arrived
	runs    map[string][]target.Run // those that began
	arrived map[string]bool
	sentVia map[string]int // gateway that took a request
}

// index prepares a view for the rules.
func (v *View) index() {
	v.entered, v.runs = map[string][]target.Run{}, map[string][]target.Run{}
	v.arrived, v.sentVia = map[string]bool{}, map[string]int{}
	slices.SortStableFunc(v.Runs, func(a, b target.Run) int { return a.Arrived.Compare(b.Arrived) })
	for _, r := range v.Runs {
		v.entered[r.ID] = append(v.entered[r.ID], r)
		if !r.Began.IsZero() {
			v.runs[r.ID] = append(v.runs[r.ID], r)
		}
	}
	for _, a := range v.Arrivals {
		v.arrived[a.ID] = true
	}
	for _, s := range v.Seen {
		v.sentVia[s.ID] = s.Gateway
	}
}

// away returns whether a gateway was out of touch at a moment of a time span.
func (v *View) away(gateway int, from, to time.Time) bool {
	for _, s := range v.Away[gateway] {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// timeOver returns whether the time of a request was over when its answer ended.
func (v *View) timeOver(s *Seen) bool {
	limit := s.Limit
	if least, ok := v.Least[s.Kind]; ok {
		limit = min(limit, least)
	}
	return s.Done.Sub(s.Began) >= limit-timeSlack
}

// faulty returns whether a target did not answer a request as it should.
func (v *View) faulty(s *Seen) bool {
	for _, r := range v.entered[s.ID] {
		if r.Faulty || r.End == target.EndBroke || r.End == target.EndFailed {
			return true
		}
	}
	return false
}

// excused returns whether a request need not have a whole answer.
func (v *View) excused(s *Seen) bool {
	return v.faulty(s) || v.timeOver(s) || v.away(s.Gateway, s.Sent, s.Done) || v.stopped(s)
}

// Rule is a promise and its checker.
type Rule struct {
	Name   string
	Broken func(v *View) []string // one line for each case
	Of     Fault                  // the rule is judged only where this fault is played, if there is one
}

// Rules are all promises that a soak judges.
var Rules = []Rule{
	{Name: "lost", Broken: lost},
	{Name: "failed", Broken: failed},
	{Name: "refused", Broken: refused},
	{Name: "twice", Broken: twice},
	{Name: "order", Broken: order},
	{Name: "mixed", Broken: mixed},
	{Name: "overlap", Broken: overlap},
	{Name: "drain", Broken: drain},
	{Name: "ended", Broken: ended},
	{Name: "outlived", Broken: outlived},
	{Name: "unlogged", Broken: unlogged},
	{Name: "leaving", Broken: leaving, Of: FaultLeaving},
	{Name: "paused", Broken: paused, Of: FaultRetry},
}

// each returns a line for each request that breaks a rule.
func (v *View) each(broken func(s *Seen) bool) []string {
	var lines []string
	for n := range v.Seen {
		if s := &v.Seen[n]; broken(s) {
			lines = append(lines, v.line(s))
		}
	}
	return lines
}

// line describes a request and its runs.
func (v *View) line(s *Seen) string {
	line := fmt.Sprintf("%s %s host%d sent %s took %v status %d answer of %q whole %v events %d of %d error %v",
		s.ID, s.Kind, s.Gateway+1, s.Sent.UTC().Format("15:04:05.000"), s.Done.Sub(s.Sent).Round(time.Millisecond),
		s.Status, s.AnswerID, s.Whole, strings.Count(s.Body, "\n\n"), s.Events, s.Err)
	for _, r := range v.entered[s.ID] {
		begun := "not begun"
		if !r.Began.IsZero() {
			begun = fmt.Sprintf("begun +%v", r.Began.Sub(s.Sent).Round(time.Millisecond))
		}
		line += fmt.Sprintf("; %s arrived +%v %s ended +%v %s", r.Target, r.Arrived.Sub(s.Sent).Round(time.Millisecond), begun,
			r.Ended.Sub(s.Sent).Round(time.Millisecond), r.End)
		if r.Shape != "" {
			line += " with " + r.Shape
		}
	}
	return line
}

// lost: a request that was read has a whole answer while its target is sound.
func lost(v *View) []string {
	return v.each(func(s *Seen) bool {
		crossed := !v.arrived[s.ID] && s.Done.Sub(s.Sent) <= lossSlack
		return !s.Whole && !crossed && !v.excused(s)
	})
}

// failed: no failure but a refusal is answered while the target is sound.
func failed(v *View) []string {
	return v.each(func(s *Seen) bool {
		return s.Whole && s.Status >= 500 && s.Status != 503 && !v.excused(s)
	})
}

// refused: a request that was refused does not run.
func refused(v *View) []string {
	return v.each(func(s *Seen) bool {
		switch s.Status {
		case 503, 429, 408, 421:
			return len(v.runs[s.ID]) > 0
		}
		return false
	})
}

// twice: what may not be repeated runs once at most.
func twice(v *View) []string {
	return v.each(func(s *Seen) bool { return !s.repeatable() && len(v.runs[s.ID]) > 1 })
}

// order: the events of a stream come in order, none twice, and it ends after the last.
func order(v *View) []string {
	return v.each(func(s *Seen) bool {
		if s.Events == 0 || s.Status != 200 {
			return false
		}
		rest, count := s.Body, 0
		for count < s.Events && rest != "" {
			after, ok := strings.CutPrefix(rest, target.Event(s.ID, count+1))
			if !ok {
				break
			}
			rest, count = after, count+1
		}
		if s.Whole {
			return rest != "" || count < s.Events
		}
		return count < s.Events && !strings.HasPrefix(target.Event(s.ID, count+1), rest) || count == s.Events && rest != ""
	})
}

// mixed: an answer is that of its request, as its target made it.
func mixed(v *View) []string {
	return v.each(func(s *Seen) bool {
		success := s.Status >= 200 && s.Status < 300
		switch {
		case s.Extra, s.AnswerID != "" && s.AnswerID != s.ID, success && !s.Sealed:
			return true
		case success && s.Whole && s.Events == 0:
			return s.Body != target.Body(s.ID, s.Path, s.text())
		}
		return false
	})
}

// overlap: a request does not go on at a target while another one works on it.
func overlap(v *View) []string {
	return v.each(func(s *Seen) bool {
		runs := v.runs[s.ID]
		for n := 1; n < len(runs); n++ {
			before, began := runs[n-1], runs[n].Began
			open := before.Ended.IsZero() || before.Ended.After(began.Add(overlapSlack))
			if s.Events > 0 && open && !v.away(s.Gateway, s.Sent, began) {
				return true
			}
		}
		return false
	})
}

// drain: a target that is leaving by the list gets nothing after some time.
func drain(v *View) []string {
	var lines []string
	for _, a := range v.Arrivals {
		from, leaves := v.Leaving[a.Target]
		if !leaves || a.Mistaken || !a.At.After(from.Add(drainBound)) {
			continue
		}
		if !v.away(v.sentVia[a.ID], from, a.At) {
			lines = append(lines, fmt.Sprintf("%s at %s %v after it was leaving, from host%d",
				a.ID, a.Target, a.At.Sub(from).Round(time.Millisecond), v.sentVia[a.ID]+1))
		}
	}
	return lines
}

// ended: no gateway ends by itself.
func ended(v *View) []string {
	var lines []string
	for g, count := range v.Ended {
		if count > 0 {
			lines = append(lines, fmt.Sprintf("host%d ended %d times", g+1, count))
		}
	}
	return lines
}

// leaving: a target that says in an answer that it leaves gets nothing after some time from
// a gateway that passed that answer on.
func leaving(v *View) []string {
	var lines []string
	told := map[string]time.Time{}
	for _, a := range v.Said {
		name := fmt.Sprint(a.Target, v.sentVia[a.ID])
		if _, ok := told[name]; !ok && a.Wait == 0 {
			told[name] = a.At
		}
	}
	for _, a := range v.Arrivals {
		g := v.sentVia[a.ID]
		from, ok := told[fmt.Sprint(a.Target, g)]
		if ok && !a.Mistaken && a.At.After(from.Add(drainBound)) && !v.away(g, from, a.At) {
			lines = append(lines, fmt.Sprintf("%s at %s from host%d", a.ID, a.Target, g+1))
		}
	}
	return lines
}

// paused: a full target that said how long it wants no request gets almost none meanwhile.
func paused(v *View) []string {
	var lines []string
	for _, said := range v.Said {
		g, count := v.sentVia[said.ID], 0
		from, to := said.At.Add(pauseGrace), said.At.Add(said.Wait)
		for _, a := range v.Arrivals {
			if a.Target == said.Target && v.sentVia[a.ID] == g && a.At.After(from) && a.At.Before(to) {
				count++
			}
		}
		if count > pauseMost && !v.away(g, said.At, to) {
			lines = append(lines, fmt.Sprintf("%d at %s from host%d after %s", count, said.Target, g+1, said.ID))
		}
	}
	return lines
}
