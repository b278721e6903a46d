package placement_test

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

const (
	leastPause = 50 * time.Millisecond  // before a caller repeats what was refused
	patience   = 200 * time.Millisecond // in which a hasty caller wants the first event
	hastyOf    = 10                     // one request in so many has a hasty caller
	eventEvery = 10                     // steps between two events of a stream
)

// callers are what callers do: they repeat a refused request once, and hasty ones leave.
type callers struct {
	active  bool
	repeats []repeat
	draws   int
}

// repeat is a request that is sent again at a time.
type repeat struct {
	at   time.Time
	load *workload
	ask  placement.Ask
}

// refused takes that a request was refused. Every other caller comes back after the time that it
// is told, the others soon.
func (c *callers) refused(now time.Time, x *simRequest, after time.Duration) {
	if !c.active || x.isRetry {
		return
	}
	if c.draws++; c.draws%2 == 0 {
		after = leastPause
	}
	ask := placement.Ask{
		Service: x.ask.Service, Team: x.ask.Team, Aim: x.ask.Aim, Output: x.ask.Output, Chain: x.ask.Chain,
		Seed: x.ask.Seed + 1<<32,
	}
	c.repeats = append(c.repeats, repeat{at: now.Add(max(after, leastPause)), load: x.load, ask: ask})
}

// act lets callers repeat what is due, and leave.
func (w *simulation) act() {
	c := &w.callers
	due := c.repeats
	c.repeats = nil
	for _, r := range due {
		if w.now.Before(r.at) {
			c.repeats = append(c.repeats, r)
			continue
		}
		w.result(r.load.team).asked++
		w.enter(&simRequest{load: r.load, ask: r.ask, host: r.load.hosts[w.rng.IntN(len(r.load.hosts))], arrived: w.now, isRetry: true})
	}
	for host, waiting := range w.waiting {
		for _, id := range slices.Sorted(maps.Keys(waiting)) {
			if x := waiting[id]; id%hastyOf == 0 && w.now.Sub(x.arrived) >= patience {
				w.boards[host].Withdraw(x.ask.Service, id)
				delete(waiting, id)
			}
		}
	}
}

// drive lets loads arrive for a time, with callers that repeat and leave and hosts in places that
// tell the others of their place more often.
func (w *simulation) drive(loads []workload, length time.Duration, places int) {
	w.callers.active = true
	far := placement.FarNewsEvery(len(w.boards))
	steps := int(length / tickStep)
	start := int(w.now.Sub(time.Unix(1000, 0)) / tickStep)
	names := w.names()
	for step := start; step < start+steps; step++ {
		w.act()
		for i := range loads {
			w.arrive(&loads[i])
		}
		for _, id := range names {
			w.step(id)
			if step%eventEvery == 0 {
				w.hear(id)
			}
		}
		period := int(w.news / tickStep)
		for host := range w.boards {
			if turn := step + w.newsOffset*host; turn%period == 0 {
				w.tellPlaces(host, places, turn/period%far == 0)
			}
			w.grant(host, w.boards[host].Serve(w.now, "model"))
			w.grant(host, w.boards[host].Expire(w.now))
		}
		if step%50 == 0 {
			for _, b := range w.boards {
				b.Tick(w.now)
			}
		}
		w.now = w.now.Add(tickStep)
	}
}

// hear lets the hosts of callers hear events of the streams of an engine.
func (w *simulation) hear(id string) {
	for _, x := range w.engines[id].runs {
		w.boards[x.host].Gap(w.now, id, eventEvery*tickStep)
	}
}

// tellPlaces sends the news of a host to the others of its place, and to all if it is time for it.
func (w *simulation) tellPlaces(from, places int, all bool) {
	news := w.boards[from].News(w.now)
	for to, other := range w.boards {
		if to != from && (all || to%places == from%places) {
			other.Learn(w.now, uint64(from), news)
		}
	}
}

// moveToNextHosts lets a load's callers go to the next host.
func (l *workload) moveToNextHosts(hosts int) {
	l.hosts = slices.Clone(l.hosts)
	for n := range l.hosts {
		l.hosts[n] = (l.hosts[n] + 7) % hosts
	}
}

// unlist lets all hosts know that the engines that died are gone.
func (w *simulation) unlist() {
	alive := slices.DeleteFunc(slices.Clone(w.targets), func(t route.Target) bool { return w.engines[t.ID] == nil })
	for _, b := range w.boards {
		b.SetTargets(alive)
	}
}

// pauseAndLeave lets engines tell hosts to send them nothing for a time and some say that they are
// leaving. Each host has its own answer, and tells the others.
func (w *simulation) pauseAndLeave(pausing, leaving int, length time.Duration) {
	for n, id := range w.names()[:pausing+leaving] {
		for host, b := range w.boards {
			switch {
			case n < pausing:
				b.Pause(w.now, id, length)
			case host == n%len(w.boards):
				b.Leave(w.now, id)
			}
		}
	}
}
