package gateway

import (
	"sync"
	"time"

	"github.com/cassiachute/cassiachute/placement"
)

// overloadRetry is short, since a caller that comes again reaches another host.
const overloadRetry = 50 * time.Millisecond

// lagMeter measures how late the ticks of this host come.
type lagMeter struct {
	mu     sync.Mutex
	lag    *placement.Lag
	due    time.Time // of the next tick
	period time.Duration
}

func newLagMeter(limit time.Duration) *lagMeter { return &lagMeter{lag: placement.NewLag(limit)} }

func (l *lagMeter) setLimit(limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag.SetLimit(limit)
}

// tick takes a tick.
func (l *lagMeter) tick(now time.Time, r *recorder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.due.IsZero() {
		return
	}
	if l.lag.Take(l.period, now.Sub(l.due)) {
		r.overload(l.lag.Overloaded(), l.lag.Mean())
	}
}

// next takes the period until the next tick and returns it.
func (l *lagMeter) next(now time.Time, period time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due, l.period = now.Add(period), period
	return period
}

// check returns a refusal of a request while this host is short of processor time.
// The standing of its team is asked for only then.
func (l *lagMeter) check(now time.Time, standing func() placement.Standing) *problem {
	l.mu.Lock()
	defer l.mu.Unlock()
	overdue := time.Duration(0)
	if !l.due.IsZero() {
		overdue = now.Sub(l.due)
	}
	team := placement.Entitled
	if l.lag.Overloaded() {
		team = standing()
	}
	if !l.lag.Refuses(overdue, team) {
		return nil
	}
	return notRun(reasonOverloaded, overloadRetry)
}

// mean returns the mean lateness of ticks.
func (l *lagMeter) mean() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lag.Mean()
}
