package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	closeRaceWindow   = 200 * ms        // after the last byte of a request, during which the gateway may close the connection before it has read the request
	timeoutTolerance  = 250 * ms        // before the timeout of a request, from which the request counts as timed out
	overlapTolerance  = 400 * ms        // for a target to notice that a run was aborted
	maxDrainTime      = 2 * time.Second // after a target was marked as leaving, until it gets no more requests
	pauseNoticeTime   = 500 * ms        // for requests that are on their way when a target announces a pause
	maxPausedRequests = 2               // requests of one gateway that may reach the target after that
)

// View is everything that the callers and targets observed, as input of the rules.
type View struct {
	Requests []SentRequest
	target.Records
	Outages         map[int][]TimeSpan            // by gateway: spans in which it was out of contact
	Stops           map[int][]Stop                // by gateway: planned stops
	UnexpectedExits map[int]int                   // by gateway: number of processes that ended without a planned stop
	MinTimeouts     map[RequestKind]time.Duration // by kind of request: shortest timeout that a route can have

	Evacuations  []Evacuation
	Publications []Publication // in order
	StoreOutages []TimeSpan    // from when the store went away until it was back from a copy, in order
	StallSpans   []TimeSpan    // of the soak process

	allRuns   map[string][]target.Run // by request ID: all runs, in the order of arrival
	begunRuns map[string][]target.Run // by request ID: the runs that began
	arrived   map[string]bool         // by request ID: the request reached a target
	gatewayOf map[string]int          // by request ID: index of the gateway that it was sent to
}

// buildIndex fills the maps by request ID. It must be called before the rules are checked.
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

// hadOutage reports whether a gateway was out of contact at some moment between from and to.
func (v *View) hadOutage(gateway int, from, to time.Time) bool {
	for _, s := range v.Outages[gateway] {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// timedOut reports whether the answer ended no earlier than shortly before the timeout of the request or of
// its route.
func (v *View) timedOut(s *SentRequest) bool {
	timeout := s.Timeout
	if minTimeout, ok := v.MinTimeouts[s.Kind]; ok {
		timeout = min(timeout, minTimeout)
	}
	return s.DoneAt.Sub(s.StartedAt) >= timeout-timeoutTolerance
}

// targetFailed reports whether a target failed to answer the request properly.
func (v *View) targetFailed(s *SentRequest) bool {
	for _, r := range v.allRuns[s.ID] {
		if r.Corrupted || r.End == target.EndReset || r.End == target.EndFailed {
			return true
		}
	}
	return false
}

// excused reports whether the request may lack a complete answer.
func (v *View) excused(s *SentRequest) bool {
	return v.targetFailed(s) || v.resetUnseen(s) || v.timedOut(s) || v.hadOutage(s.Gateway, s.SentAt, s.DoneAt) || v.cutByStop(s)
}

// Rule is a guarantee of the gateways and the function that checks it.
type Rule struct {
	Name          string
	Violations    func(v *View) []string // one line for each violation
	RequiredFault FaultKind              // if set, the rule is checked only in plans with this kind of fault
}

// Rules are all rules that a soak checks.
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
	{Name: "cold", Violations: excessColdRequests, RequiredFault: FaultColdRestart},
	{Name: "evacuate", Violations: requestsToEvacuatedPlaces, RequiredFault: FaultEvacuation},
	{Name: "config", Violations: outdatedAnswers, RequiredFault: FaultStoreRestore},
	{Name: "revoked", Violations: runsWithRevokedKeys, RequiredFault: FaultStoreRestore},
	{Name: "unserved", Violations: unservedEvacuations, RequiredFault: FaultEvacuation},
}

// checkRequests returns a line for each request that violates a rule.
func (v *View) checkRequests(violates func(s *SentRequest) bool) []string {
	var lines []string
	for n := range v.Requests {
		if s := &v.Requests[n]; violates(s) {
			lines = append(lines, v.describe(s))
		}
	}
	return lines
}

// describe returns a line about a request and its runs.
func (v *View) describe(s *SentRequest) string {
	line := fmt.Sprintf("%s %s %s host%d sent %s took %v status %d answer of %q whole %v events %d of %d error %v",
		s.ID, s.Kind, s.Path, s.Gateway+1, s.SentAt.UTC().Format("15:04:05.000"), s.DoneAt.Sub(s.SentAt).Round(time.Millisecond),
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

// lostRequests finds requests without a complete answer that are not excused. A request that never reached a
// target is excused if the connection was closed soon after it was sent, as the gateway may have closed it
// before it read the request.
func lostRequests(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		crossed := !v.arrived[s.ID] && s.DoneAt.Sub(s.SentAt) <= closeRaceWindow
		return !s.Complete && !crossed && !v.excused(s)
	})
}

// failedRequests finds requests that were answered with a server error other than 503 and are not excused.
func failedRequests(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		return s.Complete && s.Status >= 500 && s.Status != 503 && !v.excused(s)
	})
}

// refusedButRun finds requests that were refused although they ran.
func refusedButRun(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool {
		switch s.Status {
		case 503, 429, 408, 421:
			return len(v.begunRuns[s.ID]) > 0
		}
		return false
	})
}

// repeatedRuns finds requests that ran more than once although they must run at most once.
func repeatedRuns(v *View) []string {
	return v.checkRequests(func(s *SentRequest) bool { return !s.repeatable() && len(v.begunRuns[s.ID]) > 1 })
}

// misorderedStreams finds streams with events that are out of order, repeated or missing, and streams that do
// not end after the last event. A stream that was cut off may end anywhere.
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

// mixedUpAnswers finds answers that belong to another request or differ from what the target sent.
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

// overlappingRuns finds streams that still ran at one target more than overlapTolerance after the next target
// began to work on them, unless the gateway was out of contact.
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

// requestsWhileDraining finds requests that reached a target more than maxDrainTime after the list marked it
// as leaving. Requests meant for another target do not count, nor do those of a gateway that was out of
// contact meanwhile.
func requestsWhileDraining(v *View) []string {
	var lines []string
	for _, a := range v.Arrivals {
		from, leaving := v.Leaving[a.Target]
		if !leaving || a.Misdirected {
			continue
		}
		known := v.leavingKnownFrom(v.gatewayOf[a.ID], from, a.At)
		if a.At.After(known.Add(maxDrainTime)) && !v.hadOutage(v.gatewayOf[a.ID], from, a.At) {
			lines = append(lines, fmt.Sprintf("%s at %s %v after it was leaving, from host%d",
				a.ID, a.Target, a.At.Sub(from).Round(time.Millisecond), v.gatewayOf[a.ID]+1))
		}
	}
	return lines
}

// unexpectedExits finds gateways with processes that ended without a planned stop.
func unexpectedExits(v *View) []string {
	var lines []string
	for g, count := range v.UnexpectedExits {
		if count > 0 {
			lines = append(lines, fmt.Sprintf("host%d ended %d times", g+1, count))
		}
	}
	return lines
}

// requestsAfterLeavingNotice finds requests that a gateway sent to a target more than maxDrainTime after it
// got an answer in which the target announced that it leaves.
func requestsAfterLeavingNotice(v *View) []string {
	var lines []string
	notifiedAt := map[string]time.Time{}
	for _, a := range v.Notices {
		key := fmt.Sprint(a.Target, v.gatewayOf[a.ID])
		if _, ok := notifiedAt[key]; !ok && a.Wait == 0 {
			notifiedAt[key] = a.At
		}
	}
	for _, a := range v.Arrivals {
		g := v.gatewayOf[a.ID]
		from, ok := notifiedAt[fmt.Sprint(a.Target, g)]
		if ok && !a.Misdirected && a.At.After(from.Add(maxDrainTime)) && !v.hadOutage(g, from, a.At) {
			lines = append(lines, fmt.Sprintf("%s at %s from host%d", a.ID, a.Target, g+1))
		}
	}
	return lines
}

// requestsWhilePaused finds full targets that got more than maxPausedRequests requests from a gateway while
// they had announced that they want none. Requests of the first pauseNoticeTime do not count, nor does a pause during
// which the target may be listed as a new process, which has announced none.
func requestsWhilePaused(v *View) []string {
	var lines []string
	for _, said := range v.Notices {
		g, count := v.gatewayOf[said.ID], 0
		from, to := said.At.Add(pauseNoticeTime), said.At.Add(said.Wait)
		for _, a := range v.Arrivals {
			if a.Target == said.Target && v.gatewayOf[a.ID] == g && a.At.After(from) && a.At.Before(to) {
				count++
			}
		}
		if count > maxPausedRequests && !v.hadOutage(g, said.At, to) && !v.relisted(said.Target, said.At, to) {
			lines = append(lines, fmt.Sprintf("%d at %s from host%d after %s", count, said.Target, g+1, said.ID))
		}
	}
	return lines
}
