package dispatch

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

const (
	learningRate      = 0.1
	initialRate       = 20.0 // cost units a second
	initialDuration   = 1.0  // seconds
	costlyDecay       = 0.9995
	minDurationSecond = 0.001
	urgentRequests    = 1.0  // head start of an urgent ticket, in costliest requests
	alikePart         = 0.35 // part of a mean duration that a slot counts which others are taken to have given
	heldDurations     = 8.0  // a slot is charged for so many mean durations at most, until its request ends
)

// estimate is what is known of the requests of a team.
type estimate struct {
	rate     float64 // cost units that a slot gives in a second
	cost     float64 // mean cost of a request
	duration float64 // mean time in a slot, in seconds
	samples  int
}

func newEstimate() estimate {
	return estimate{rate: initialRate, cost: initialRate * initialDuration, duration: initialDuration}
}

// learn moves the estimate towards a finished request.
func (e *estimate) learn(cost, duration float64) {
	duration = max(duration, minDurationSecond)
	e.samples++
	part := max(learningRate, 1/float64(e.samples))
	e.cost += part * (cost - e.cost)
	e.duration += part * (duration - e.duration)
	e.rate = e.cost / e.duration
}

// team is a row for one team that has or had work in the shard.
type team struct {
	number       uint32
	weight       float64
	queue        ticketHeap
	running      int
	starts       float64 // sum of the start times of running requests, in seconds since the shard's start
	served       uint64  // measured service from this shard
	known        estimate
	level        float64   // virtual service at the last refresh
	turn         uint64    // number of the last grant
	index        int       // position among the waiting teams, -1 if none waits
	dirty        bool      // changed since the last report
	waited       time.Time // when its last ticket left the queue
	told         int       // slots held at the last report
	toldWaiting  bool      // tickets waited at the last report
	toldReceived float64   // service at the last report
}

// teamHeap orders the teams with waiting tickets by their level.
type teamHeap []*team

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(h[i].level, h[j].level),
		cmp.Compare(h[i].turn, h[j].turn),
		cmp.Compare(h[i].number, h[j].number),
	) < 0
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// team returns the row of a team and makes it if there is none. A new row
// starts from what the book knows of the shard's former owner.
func (s *Shard) team(number uint32) *team {
	row := s.teams[number]
	if row == nil {
		row = &team{number: number, weight: s.weight(number), index: -1, known: newEstimate()}
		if a := s.book.Account(s.config.Shard.Place); a != nil {
			row.served = a.Rows[number].Served
		}
		s.teams[number] = row
	}
	return row
}

// estimateOf returns the estimate of a team, or of all teams if the team has
// finished nothing yet.
func (s *Shard) estimateOf(row *team) estimate {
	if row.known.samples == 0 {
		return s.mean
	}
	return row.known
}

// held returns the time that the running requests of a team have held their
// slots here, in seconds.
func (s *Shard) held(now time.Time, row *team) float64 {
	elapsed := float64(row.running)*now.Sub(s.started).Seconds() - row.starts
	return min(max(0, elapsed), float64(row.running)*heldDurations*s.mean.duration)
}

// charge returns the service that the running requests of a team are taken to
// have received here.
func (s *Shard) charge(now time.Time, row *team) float64 {
	return s.estimateOf(row).rate * s.held(now, row)
}

// away is what a team holds in other places, by the last reports.
type away struct {
	running int
	seconds float64 // slot time since the reports
	slots   int     // of all teams
}

func (s *Shard) awayOf(now time.Time, row *team) away {
	var w away
	for _, peer := range s.peers {
		if a := s.account(now, peer.Place); a != nil {
			running := int(a.Rows[row.number].Running)
			w.running += running
			w.seconds += float64(running) * now.Sub(a.Heard).Seconds()
			w.slots += a.Slots
		}
	}
	return w
}

// received returns the service that a team has received for its weight, in all
// places, and its lift.
func (s *Shard) received(now time.Time, row *team) float64 {
	w := s.awayOf(now, row)
	known := float64(s.book.Others(row.number, s.config.Shard.Place) + row.served)
	since := s.charge(now, row) + s.estimateOf(row).rate*w.seconds
	return (known+since)/row.weight + float64(s.book.Lift(row.number))
}

// virtual returns the virtual service of a team: what it has received, and what
// its running requests are charged ahead. The change of its slots since the last
// report counts for the other places as well, since all owners see the same teams
// lag and act alike at the same time.
func (s *Shard) virtual(now time.Time, row *team) float64 {
	w := s.awayOf(now, row)
	e := s.estimateOf(row)
	ahead := s.config.Policy.Ahead(Holding{
		Alone:    len(s.peers) == 0,
		Running:  row.running + w.running,
		Elapsed:  s.held(now, row),
		Rate:     e.rate,
		Cost:     e.cost,
		Duration: s.longest,
	})
	alike := float64(w.slots) / float64(max(1, s.slots)) * float64(row.running-row.told)
	ahead += e.rate * alike * s.mean.duration * alikePart
	return s.received(now, row) + ahead/row.weight
}

// refresh recomputes the level of a team.
func (s *Shard) refresh(now time.Time, row *team) {
	row.dirty = true
	head := now
	if len(row.queue) > 0 {
		head = row.queue[0].arrived
	}
	row.level = s.config.Policy.Level(Standing{
		Virtual: s.virtual(now, row) - s.headStart(row), Turn: row.turn, Head: head.Sub(s.started).Seconds(),
	})
	if row.index >= 0 {
		heap.Fix(&s.waiting, row.index)
	}
}

// headStart returns how much sooner a team is served whose first ticket is
// urgent while it holds less than its share of the slots. It is bounded, so
// urgency buys no lasting service.
func (s *Shard) headStart(row *team) float64 {
	if !s.mayPress(row) {
		return 0
	}
	return urgentRequests * s.costly
}

// raise lifts a team whose first ticket comes to just below the level at which
// others are served, so that idleness banks no more credit than one request. A
// team that waited here or elsewhere a moment ago was not idle, and what it lags
// behind is owed to it, up to a bound.
func (s *Shard) raise(now time.Time, row *team, m *wire.Ticket) {
	s.book.Raise(row.number, m.Lift)
	elsewhere := m.Hops > 0 || s.book.Waiting(row.number, s.config.Shard.Place, now.Add(-staleAfter))
	credit := creditRequests
	if elsewhere || now.Sub(row.waited) < idleAfter {
		credit = owedRequests
	}
	s.raiseTo(now, row, float64(s.book.Level())-credit*s.costly)
}

func (s *Shard) raiseTo(now time.Time, row *team, level float64) {
	missing := level - s.received(now, row)
	if missing >= 1 {
		s.book.Raise(row.number, s.book.Lift(row.number)+uint64(missing))
	}
}

// lift refreshes the levels of the teams with work. After a cut has healed, it
// bounds how far one of them lags behind another, so that there is no burst to
// repay what was served on the other side.
func (s *Shard) lift(now time.Time) {
	highest := 0.0
	for _, row := range s.teams {
		if len(row.queue) > 0 || row.running > 0 {
			s.refresh(now, row)
		}
		if len(row.queue) > 0 {
			highest = max(highest, row.level)
		}
	}
	if !s.config.Policy.Fair || now.Sub(s.healed) > healTime {
		return
	}
	debt := debtRequests * max(s.costly, s.mean.cost)
	for _, row := range append(teamHeap(nil), s.waiting...) {
		if row.level < highest-debt {
			s.raiseTo(now, row, highest-debt)
			s.refresh(now, row)
		}
	}
}

// learn takes the measured cost of an ended grant.
func (s *Shard) learn(now time.Time, g *grant, m *wire.End) {
	g.team.served += m.Cost
	s.judge(now, g.target, m)
	if m.Fate != wire.FateDone {
		return
	}
	duration := now.Sub(g.since).Seconds()
	g.team.known.learn(float64(m.Cost), duration)
	s.mean.learn(float64(m.Cost), duration)
	s.costly = max(s.costly*costlyDecay, float64(m.Cost))
}
