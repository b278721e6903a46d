package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/route"
)

const (
	leavingLife  = 10 * time.Minute       // for which a target counts as leaving after it said so, unless it starts again
	fullTime     = 300 * time.Millisecond // for which a target that paused another host counts as full
	samePause    = 500 * time.Millisecond // by which the ends of one pause differ as hosts tell them
	resumeSpread = 300 * time.Millisecond // in which hosts take a target back after a pause
	resumeTime   = time.Second            // in which a host uses more and more of the slots after a pause
	resumePart   = 0.25                   // of the slots, right after a pause
	maxNotices   = 64                     // of each kind, told in one news
)

// Departure is a target that said that it is leaving.
type Departure struct {
	Target string
	Born   time.Time // start of the process that said so, zero if it is not known
	Since  time.Time
}

// Pause is a target that told a host to send it nothing for a time.
type Pause struct {
	Target string
	Until  time.Time
}

// Leave takes that a target said that it is leaving. What runs there goes on, and it takes no new
// request until it starts again. It returns the departure, and false if it was known.
func (b *Board) Leave(now time.Time, target string) (Departure, bool) {
	r := b.rows[target]
	if r == nil {
		return Departure{}, false
	}
	d := Departure{Target: target, Born: r.target.StartedAt, Since: now}
	return d, b.Depart(d)
}

// Depart takes a departure that another host told, and returns whether it is news. That of a process
// before the present one counts for nothing.
func (b *Board) Depart(d Departure) bool {
	if known, ok := b.departures[d.Target]; ok && !d.Born.After(known.Born) {
		return false
	}
	r := b.rows[d.Target]
	if r != nil && r.target.StartedAt.After(d.Born) {
		return false
	}
	b.departures[d.Target] = d
	if r != nil {
		r.target.Leaving = true
		b.pool(r.target.Service).epoch++
	}
	return true
}

// departed returns whether a target as it is listed said that it is leaving. One that started
// again since then has not.
func (b *Board) departed(t *route.Target) bool {
	d, ok := b.departures[t.ID]
	if !ok {
		return false
	}
	if t.StartedAt.After(d.Born) {
		delete(b.departures, t.ID)
		return false
	}
	return true
}

// forgetDepartures forgets the targets that said long ago that they are leaving.
func (b *Board) forgetDepartures(now time.Time) {
	for target, d := range b.departures {
		if now.Sub(d.Since) > leavingLife {
			delete(b.departures, target)
		}
	}
}

// Pause takes that a target told this host to send it nothing for a time. It answers targets that
// are full: requests that come all the same are refused, and cost their callers the time. It
// returns until when the target gets nothing: hosts come back one after the other.
func (b *Board) Pause(now time.Time, target string, length time.Duration) time.Time {
	r := b.rows[target]
	if r == nil {
		return now
	}
	until := now.Add(length + scale(resumeSpread, fraction(mix(b.self, r.key))))
	if until.After(r.paused) {
		r.paused = until
	}
	return r.paused
}

// Paused takes that a target paused another host. Each host has its own answer to wait for, but
// the target is full for the moment.
func (b *Board) Paused(now time.Time, p Pause) {
	r := b.rows[p.Target]
	if r == nil || p.Until.Sub(r.told) <= samePause {
		return
	}
	r.told = p.Until
	r.full = now.Add(min(fullTime, p.Until.Sub(now)))
}

// pauses returns whether a target is to get nothing of a request. Another host knows its own pauses.
func (r *row) pauses(now time.Time, guest bool) bool {
	return now.Before(r.full) || !guest && now.Before(r.paused)
}

// room returns the slots of a target that may be taken now, of so many: a part of them right after a
// pause, since all that waited would come at once.
func (r *row) room(now time.Time, slots int) int {
	since := now.Sub(r.paused)
	if r.paused.IsZero() || since >= resumeTime {
		return slots
	}
	part := resumePart + (1-resumePart)*max(0, since.Seconds())/resumeTime.Seconds()
	return max(1, int(part*float64(slots)))
}

// missing returns the choice where no target of a service is usable: what is left of the shortest pause,
// if one pauses.
func (p *pool) missing(now time.Time, guest bool) Choice {
	c := Choice{Reason: ReasonMissing, After: firstSuspension}
	for _, r := range p.rows {
		if r.target.Leaving || !r.pauses(now, guest) {
			continue
		}
		left := r.full.Sub(now)
		if !guest {
			left = max(left, r.paused.Sub(now))
		}
		if c.Reason != ReasonPaused || left < c.After {
			c.Reason, c.After = ReasonPaused, left
		}
	}
	return c
}

// deserted returns whether all targets of a service are leaving or pause, so that nothing is to be
// waited for.
func (p *pool) deserted(now time.Time) bool {
	return !slices.ContainsFunc(p.rows, func(r *row) bool { return !r.target.Leaving && !r.pauses(now, false) })
}

// present returns the part of the targets that do not pause, of those that are not leaving.
func (p *pool) present(now time.Time) float64 {
	all, pausing := 0, 0
	for _, r := range p.rows {
		if r.target.Leaving {
			continue
		}
		all++
		if r.pauses(now, false) {
			pausing++
		}
	}
	return float64(all-pausing) / float64(max(1, all))
}

// Pausing returns the targets of a service that this host is to send nothing, some if there are many.
func (b *Board) Pausing(now time.Time, service string) []string {
	var list []string
	for _, r := range b.pool(service).rows {
		if now.Before(r.paused) && len(list) < maxNotices {
			list = append(list, r.target.ID)
		}
	}
	return list
}

// notices adds what targets said of themselves to news.
func (b *Board) notices(now time.Time, n *News) {
	for _, target := range slices.Sorted(maps.Keys(b.departures)) {
		n.Departures = append(n.Departures, b.departures[target])
	}
	slices.SortStableFunc(n.Departures, func(x, y Departure) int { return cmp.Compare(y.Since.UnixNano(), x.Since.UnixNano()) })
	n.Departures = n.Departures[:min(maxNotices, len(n.Departures))]
	for _, p := range b.pools {
		for _, r := range p.rows {
			if now.Before(r.paused) && len(n.Pauses) < maxNotices {
				n.Pauses = append(n.Pauses, Pause{Target: r.target.ID, Until: r.paused})
			}
		}
	}
}
