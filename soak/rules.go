package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	closeRaceWindow   = 200 * ms        // after the last byte of a request, in which a close may cross it
	timeoutTolerance  = 250 * ms        // before the end of a request's time, from which its time is over
	overlapTolerance  = 400 * ms        // in which a target notices that a run is to end
	maxDrainTime      = 2 * time.Second // after a target was said to be leaving
	pauseNoticeTime   = 500 * ms        // requests on their way to a target that pauses
	maxPausedRequests = 2               // requests of a gateway that may reach it after that
)

// View is all that callers and targets saw.
type View struct {
	Requests []SentRequest
	target.Records
	Outages         map[int][]TimeSpan // of gateways that were not in touch
	Stops           map[int][]Stop     // of gateways, planned
	UnexpectedExits map[int]int        // processes that ended by themselves
	MinTimeouts     map[RequestKind]time.Duration

	Stalls int // times that the machine held the soak up

	allRuns   map[string][]target.Run // by request, in the order in which they arrived
	begunRuns map[string][]target.Run // those that began
	arrived   map[string]bool
	gatewayOf map[string]int // gateway that took a request
}

// buildIndex prepares a view for the rules.
func (v *View) buildIndex() {
	v.allRuns, v.begunRuns = map[string][]target.Run{}, map[string][]target.Run{}
	v.arrived, v.gatewayOf = map[string]bool{}, map[string]int{}
	slices.SortStableFunc(v.Runs, func(a, b target.Run) int { return a.Arrived.Compare(b.Arrived) })
	for _, r := range v.Runs {
		v.allRuns[r.ID] = append(v.allRuns[r.ID], r)
		if !r.Began.IsZero() {
			v.begunRuns[r.ID] = append(v.begunRuns[r.ID], r)
		}
	}
	for _, a := range v.Arrivals {
		v.arrived[a.ID] = true
	}
	for _, s := range v.Requests {
		v.gatewayOf[s.ID] = s.Gateway
	}
}

// hadOutage returns whether a gateway was out of touch at a moment of a time span.
func (v *View) hadOutage(gateway int, from, to time.Time) bool {
	for _, s := range v.Outages[gateway] {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// timedOut returns whether the time of a request was over when its answer ended.
func (v *View) timedOut(s *SentRequest) bool {
	timeout := s.Timeout
	if minTimeout, ok := v.MinTimeouts[s.Kind]; ok {
		timeout = min(timeout, minTimeout)
	}
	return s.DoneAt.Sub(s.StartedAt) >= timeout-timeoutTolerance
}

// targetFailed returns whether a target did not answer a request as it should.
func (v *View) targetFailed(s *SentRequest) bool {
	for _, r := range v.allRuns[s.ID] {
		if r.Faulty || r.End == target.EndBroke || r.End == target.EndFailed {
			return true
		}
	}
	return false
}

// excused returns whether a request need not have a whole answer.
func (v *View) excused(s *SentRequest) bool {
	return v.targetFailed(s) || v.timedOut(s) || v.hadOutage(s.Gateway, s.SentAt, s.DoneAt) || v.cutByStop(s)
}

// Rule is a promise and its checker.
type Rule struct {
	Name          string
	Violations    func(v *View) []string // one line for each case
	RequiredFault Fault                  // the rule is judged only where this fault is played, if there is one
}

// Rules are all promises that a soak judges.
var Rules = []Rule{
	{Name: "lost", Violations: lostRequests},
	{Name: "failed", Violations: failedRequests},
	{Name: "refused", Violations: refusedButRun},
	{Name: "twice", Violations: repeatedRuns},
	{Name: "order", Violations: misorderedStreams},
	{Name: "mixed", Violations: mixedUpAnswers},
	{Name: "overlap", Violations: overlappingRuns},
	{Name: "drain", Violations: requestsWhileDraining},
	{Name: "ended", Violations: unexpectedExits},
	{Name: "outlived", Violations: exceededGracePeriods},
	{Name: "unlogged", Violations: missingStopLogs},
	{Name: "leaving", Violations: requestsAfterLeavingNotice, RequiredFault: FaultLeavingNotice},
	{Name: "paused", Violations: requestsWhilePaused, RequiredFault: FaultRetryAfter},
}

// checkRequests returns a line for checkRequests request that breaks a rule.
func (v *View) checkRequests(violates func(s *SentRequest) bool) []string {
	var lines []string
	for n := range v.Requests {
		if s := &v.Requests[n]; violates(s) {
			lines = append(lines, v.describe(s))
		}
	}
	return lines
}

// describe describes a request and its runs.
func (v *View) describe(s *SentRequest) string {
	line := fmt.Sprintf("%s %s host%d sent %s took %v status %d answer of %q whole %v events %d of %d error %v",
		s.ID, s.Kind, s.Gateway+1, s.SentAt.UTC().Format("15:04:05.000"), s.DoneAt.Sub(s.SentAt).Round(time.Millisecond),
		s.Status, s.AnswerID, s.Complete, strings.Count(s.Body, "\n\n"), s.ExpectedEvents, s.Err)
	for _, r := range v.allRuns[s.ID] {
		begun := "not begun"
		if !r.Began.IsZero() {
			begun = fmt.Sprintf("begun +%v", r.Began.Sub(s.SentAt).Round(time.Millisecond))
		}
		line += fmt.Sprintf("; %s arrived +%v %s ended +%v %s", r.Target, r.Arrived.Sub(s.SentAt).Round(time.Millisecond), begun,
			r.Ended.Sub(s.SentAt).Round(time.Millisecond), r.End)
		if r.Shape != "" {
			line += " with " + r.Shape
		}
	}
	return line
}

// lostRequests: a request that was read has a whole answer while its target is sound.
func lostRequests(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		crossed := !v.arrived[s.ID] && s.DoneAt.Sub(s.SentAt) <= closeRaceWindow
		return !s.Complete && !crossed && !v.excused(s)
	})
}

// failedRequests: no failure but a refusal is answered while the target is sound.
func failedRequests(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		return s.Complete && s.Status >= 500 && s.Status != 503 && !v.excused(s)
	})
}

// refusedButRun: a request that was refusedButRun does not run.
func refusedButRun(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		switch s.Status {
		case 503, 429, 408, 421:
			return len(v.begunRuns[s.ID]) > 0
		}
		return false
	})
}

// repeatedRuns: what may not be repeated runs once at most.
func repeatedRuns(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool { return !s.repeatable() && len(v.begunRuns[s.ID]) > 1 })
}

// misorderedStreams: the events of a stream come in misorderedStreams, none twice, and it ends after the last.
func misorderedStreams(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		if s.ExpectedEvents == 0 || s.Status != 200 {
			return false
		}
		rest, count := s.Body, 0
		for count < s.ExpectedEvents && rest != "" {
			after, ok := strings.CutPrefix(rest, target.Event(s.ID, count+1))
			if !ok {
				break
			}
			rest, count = after, count+1
		}
		if s.Complete {
			return rest != "" || count < s.ExpectedEvents
		}
		return count < s.ExpectedEvents && !strings.HasPrefix(target.Event(s.ID, count+1), rest) || count == s.ExpectedEvents && rest != ""
	})
}

// mixedUpAnswers: an answer is that of its request, as its target made it.
func mixedUpAnswers(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		success := s.Status >= 200 && s.Status < 300
		switch {
		case s.ExtraBytes, s.AnswerID != "" && s.AnswerID != s.ID, success && !s.Sealed:
			return true
		case success && s.Complete && s.ExpectedEvents == 0:
			return s.Body != target.Body(s.ID, s.Path, s.requestBody())
		}
		return false
	})
}

// overlappingRuns: a request does not go on at a target while another one works on it.
func overlappingRuns(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		runs := v.begunRuns[s.ID]
		for n := 1; n < len(runs); n++ {
			previous, began := runs[n-1], runs[n].Began
			running := previous.Ended.IsZero() || previous.Ended.After(began.Add(overlapTolerance))
			if s.ExpectedEvents > 0 && running && !v.hadOutage(s.Gateway, s.SentAt, began) {
				return true
			}
		}
		return false
	})
}

// requestsWhileDraining: a target that is leaving by the list gets nothing after some time.
func requestsWhileDraining(v *View) []string {
	var lines []string
	for _, a := range v.Arrivals {
		from, leaving := v.Leaving[a.Target]
		if !leaving || a.Mistaken || !a.At.After(from.Add(maxDrainTime)) {
			continue
		}
		if !v.hadOutage(v.gatewayOf[a.ID], from, a.At) {
			lines = append(lines, fmt.Sprintf("%s at %s %v after it was leaving, from host%d",
				a.ID, a.Target, a.At.Sub(from).Round(time.Millisecond), v.gatewayOf[a.ID]+1))
		}
	}
	return lines
}

// unexpectedExits: no gateway ends by itself.
func unexpectedExits(v *View) []string {
	var lines []string
	for g, count := range v.UnexpectedExits {
		if count > 0 {
			lines = append(lines, fmt.Sprintf("host%d ended %d times", g+1, count))
		}
	}
	return lines
}

// requestsAfterLeavingNotice: a target that says in an answer that it leaves gets nothing after some time from
// a gateway that passed that answer on.
func requestsAfterLeavingNotice(v *View) []string {
	var lines []string
	notifiedAt := map[string]time.Time{}
	for _, a := range v.Said {
		key := fmt.Sprint(a.Target, v.gatewayOf[a.ID])
		if _, ok := notifiedAt[key]; !ok && a.Wait == 0 {
			notifiedAt[key] = a.At
		}
	}
	for _, a := range v.Arrivals {
		g := v.gatewayOf[a.ID]
		from, ok := notifiedAt[fmt.Sprint(a.Target, g)]
		if ok && !a.Mistaken && a.At.After(from.Add(maxDrainTime)) && !v.hadOutage(g, from, a.At) {
			lines = append(lines, fmt.Sprintf("%s at %s from host%d", a.ID, a.Target, g+1))
		}
	}
	return lines
}

// requestsWhilePaused: a full target that said how long it wants no request gets almost none meanwhile.
func requestsWhilePaused(v *View) []string {
	var lines []string
	for _, said := range v.Said {
		g, count := v.gatewayOf[said.ID], 0
		from, to := said.At.Add(pauseNoticeTime), said.At.Add(said.Wait)
		for _, a := range v.Arrivals {
			if a.Target == said.Target && v.gatewayOf[a.ID] == g && a.At.After(from) && a.At.Before(to) {
				count++
			}
		}
		if count > maxPausedRequests && !v.hadOutage(g, said.At, to) {
			lines = append(lines, fmt.Sprintf("%d at %s from host%d after %s", count, said.Target, g+1, said.ID))
		}
	}
	return lines
}
