package placement_test

import "github.com/cassiachute/cassiachute/placement"

// withOwners gives each engine an owner.
func (w *simulation) withOwners() *simulation {
	w.owners = true
	hosts := make([]placement.Host, len(w.boards))
	for n := range hosts {
		hosts[n] = placement.Host{ID: uint64(n + 1), Place: "place1"}
	}
	for n, b := range w.boards {
		others := append(append([]placement.Host{}, hosts[:n]...), hosts[n+1:]...)
		b.SetHosts(hosts[n], others)
	}
	return w
}

// walk asks owners about a request until one has a slot or lets it wait.
func (w *simulation) walk(x *simRequest) {
	x.ask.Elapsed = w.now.Sub(x.arrived)
	x.extraSteps = w.rng.IntN(streamSteps) - streamSteps/2
	for {
		stop, ok := w.boards[x.host].Next(w.now, &x.ask)
		if !ok {
			w.refuse(x)
			return
		}
		w.asked++
		if w.visit(x, stop) {
			return
		}
	}
}

// visit asks one owner. It returns false if the owner has no slot and no place in its queue.
func (w *simulation) visit(x *simRequest, stop placement.Referral) bool {
	x.decider = int(stop.Host) - 1
	ask := placement.Ask{ // what an enquiry tells, and nothing that the asking host worked out
		Service: x.ask.Service, Team: x.ask.Team, Chain: x.ask.Chain, Output: x.ask.Output, Aim: x.ask.Aim, Elapsed: x.ask.Elapsed,
		Guest: x.decider != x.host, Wanted: stop.Target, Anywhere: stop.Anywhere, Held: stop.Held,
	}
	x.decided = &ask
	b := w.boards[x.decider]
	c := b.Choose(w.now, x.decided)
	if c.Target != "" {
		b.Sent(w.now, x.decided, &c)
		w.boards[x.host].Kept(c.Target, x.ask.Chain)
		w.send(x, c)
		return true
	}
	x.ask.Ahead = max(x.ask.Ahead, c.Waiting)
	if !stop.Anywhere {
		x.ask.Hint = b.Elsewhere(w.now, x.decided)
	}
	if !stop.Wait {
		return false
	}
	w.nextID++
	if !b.Wait(w.now, w.nextID, x.decided) {
		return false
	}
	w.waiting[x.decider][w.nextID] = x
	return true
}
