package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/standin/operator"
	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	coldStart     = 3 * time.Second // for which a target is cold after a cold restart
	coldRate      = 2.0             // requests per second that it can take then, few enough that the load of a soak exceeds them
	coldOverage   = 1.5             // factor by which the requests of a sliding second may exceed the rate
	coldSlack     = 5               // requests of a sliding second that are allowed beyond that
	coldWindow    = time.Second
	maxResetTime  = 200 * ms // from the crash of a target until all its connections are reset, on a busy machine
	minEntryDelay = 300 * ms // from the restart of a target until its entry says that it is cold
	maxEntryDelay = 2800 * ms

	maxEvacuationTime = 5 * time.Second // after the row of an evacuation was written, until the place gets no more requests
)

// Evacuation is a span from when the store accepted the row that evacuates a place until the row was removed.
type Evacuation struct {
	TimeSpan

	Place string
}

// restartCold restarts a target, or all targets of its place, under their identities.
func (f *fleet) restartCold(ctx context.Context, e ScheduledFault) error {
	rng := rand.New(rand.NewPCG(e.Seed, 1))
	errs := make([]error, len(f.targets))
	var wg sync.WaitGroup
	for n := range f.targets {
		delay := minEntryDelay + time.Duration(rng.Int64N(int64(maxEntryDelay-minEntryDelay)))
		if n == e.Index || e.Shape == restartAll && placeName(n) == placeName(e.Index) {
			wg.Go(func() { errs[n] = f.restartTarget(ctx, n, e.Duration, delay) })
		}
	}
	wg.Wait()
	return errors.Join(errs...)
}

// restartTarget restarts a target, whose entry says after a delay that it is cold. It does nothing if the target is
// unavailable already.
func (f *fleet) restartTarget(ctx context.Context, n int, down, entryDelay time.Duration) error {
	if !f.setUnavailable(n, true) {
		return nil
	}
	defer f.setUnavailable(n, false)
	f.targets[n].Crash(down)
	sleep(ctx, down)
	startedAt := time.Now()
	sleep(ctx, entryDelay)
	if err := f.listTarget(n, operator.StateReady, startedAt, coldStart-entryDelay); err != nil {
		return err
	}
	sleep(ctx, coldStart-entryDelay)
	return f.listTarget(n, operator.StateReady, startedAt, 0)
}

// evacuate evacuates a place for the time of the fault. It does nothing if the place is evacuated already.
func (f *fleet) evacuate(ctx context.Context, e ScheduledFault) {
	place := placeName(e.Index)
	f.configMu.Lock()
	alreadyEvacuated := f.evacuated[place]
	f.evacuated[place] = true
	f.configMu.Unlock()
	if alreadyEvacuated {
		return
	}
	values := []string{"{}", "{", ""} // the key alone counts
	operator.Evacuate(f.writer, place, []byte(values[e.Seed%uint64(len(values))]))
	span := TimeSpan{From: time.Now()}
	sleep(ctx, e.Duration)
	span.To = time.Now()
	operator.EndEvacuation(f.writer, place)
	f.configMu.Lock()
	defer f.configMu.Unlock()
	f.evacuations = append(f.evacuations, Evacuation{span, place})
	f.evacuated[place] = false
}

// placeOfTarget returns the place of the target with an ID.
func placeOfTarget(id string) string {
	var n int
	_, _ = fmt.Sscanf(id, "t%d-", &n) // every ID of a target has this form
	return placeName(n)
}

// excessColdRequests finds targets that got more requests in a sliding second than they can take, while they were cold.
// A request counts if it was received and taken within that second; one for another target does not. A second in which
// the soak stalled does not count, as the time of its arrivals is not known.
func excessColdRequests(v *View) []string {
	var lines []string
	for _, c := range v.Crashes {
		if v.storeAway(c.At, c.ServedAt.Add(coldStart), maxTargetRewrite) {
			continue // the store may have lost the entry that says that the target is cold
		}
		var received []target.Arrival
		for _, a := range v.Arrivals {
			if a.Target == c.Target && !a.Misdirected && !a.Received.Before(c.ServedAt) && a.At.Before(c.ServedAt.Add(coldStart)) {
				received = append(received, a)
			}
		}
		slices.SortFunc(received, func(a, b target.Arrival) int { return a.Received.Compare(b.Received) })
		if line := v.checkColdSeconds(c, received); line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

// checkColdSeconds returns a line about the first second in which a cold target got too many of the given requests, and
// an empty one if there is none.
func (v *View) checkColdSeconds(c target.Crash, received []target.Arrival) string {
	for n, first := range received {
		end := first.Received.Add(coldWindow)
		var inWindow []string
		for _, a := range received[n:] {
			if a.At.Before(end) {
				inWindow = append(inWindow, fmt.Sprintf("%s host%d +%v", a.ID, v.gatewayOf[a.ID]+1, a.Received.Sub(c.ServedAt).Round(time.Millisecond)))
			}
		}
		if float64(len(inWindow)) > coldRate*coldOverage+coldSlack && !v.stalled(first.Received, end) {
			return fmt.Sprintf("%d in a second at %s, down at %s for %v: %s", len(inWindow), c.Target, c.At.UTC().Format("15:04:05.000"),
				c.ServedAt.Sub(c.At).Round(time.Millisecond), strings.Join(inWindow, ", "))
		}
	}
	return ""
}

// stalled reports whether the soak stalled at some moment between from and to.
func (v *View) stalled(from, to time.Time) bool {
	return slices.ContainsFunc(v.StallSpans, func(s TimeSpan) bool { return s.overlaps(from, to) })
}

// requestsToEvacuatedPlaces finds requests that a target received more than maxEvacuationTime after its place was
// evacuated. Requests meant for another target do not count, nor do those of a gateway that was out of contact meanwhile.
func requestsToEvacuatedPlaces(v *View) []string {
	var lines []string
	for _, e := range v.Evacuations {
		for _, a := range v.Arrivals {
			late := a.Received.After(e.From.Add(maxEvacuationTime)) && a.Received.Before(e.To)
			rewritten := v.storeAway(a.Received, a.Received, maxOperatorRewrite+maxEvacuationTime) // the store may have lost the row
			if placeOfTarget(a.Target) != e.Place || !late || a.Misdirected || rewritten || v.hadOutage(v.gatewayOf[a.ID], e.From, a.Received) {
				continue
			}
			lines = append(lines, fmt.Sprintf("%s at %s %v after %s was evacuated, from host%d",
				a.ID, a.Target, a.Received.Sub(e.From).Round(time.Millisecond), e.Place, v.gatewayOf[a.ID]+1))
		}
	}
	return lines
}

// unservedEvacuations finds evacuations during which no stream began at a target of another place, unless another place
// was evacuated too. No configuration moves streams to another service.
func unservedEvacuations(v *View) []string {
	var lines []string
	for _, e := range v.Evacuations {
		alone := !slices.ContainsFunc(v.Evacuations, func(o Evacuation) bool { return o.Place != e.Place && o.overlaps(e.From, e.To) })
		served := slices.ContainsFunc(v.Runs, func(r target.Run) bool {
			return r.Service == operator.ServiceStream && placeOfTarget(r.Target) != e.Place && r.Began.After(e.From) && r.Began.Before(e.To)
		})
		if alone && !served {
			lines = append(lines, fmt.Sprintf("%s evacuated at %s for %v", e.Place, e.From.UTC().Format("15:04:05.000"), e.To.Sub(e.From).Round(time.Millisecond)))
		}
	}
	return lines
}

// relisted reports whether a target that started again may be listed as a new process at some moment between from and to.
func (v *View) relisted(id string, from, to time.Time) bool {
	return slices.ContainsFunc(v.Crashes, func(c target.Crash) bool {
		return c.Target == id && TimeSpan{From: c.At, To: c.ServedAt.Add(coldStart)}.overlaps(from, to)
	})
}

// resetUnseen reports whether a target reset its connections while a request was under way that no target read. It may
// have been lost with them, and its caller can't know that it never began.
func (v *View) resetUnseen(s *SentRequest) bool {
	return !v.arrived[s.ID] && slices.ContainsFunc(v.Crashes, func(c target.Crash) bool {
		return TimeSpan{From: c.At, To: c.At.Add(maxResetTime)}.overlaps(s.StartedAt, s.DoneAt)
	})
}
