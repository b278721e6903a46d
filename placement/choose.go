package placement

import (
	"math"
	"slices"
	"time"
)

const (
	typicalAnswer   = 30 * time.Millisecond // of a plain service, until learnt
	typicalWeight   = 0.05
	staleAnswers    = 4    // times that an answer takes, from which news of loads are too old to go by
	queuePart       = 0.55 // part of the tightest aim that prompts may queue at an engine
	slackPart       = 0.9  // part of the aim in which the first event is expected
	leastSlackPart  = 0.15 // part of the aim that may queue ahead of any prompt
	entitledPart    = 0.5  // of that, for a team that received just its share of what is promised
	evenPart        = 0.25 // of that, for a team that received an even part of what is handed out
	leastAbovePart  = 0.05 // of that, for a team far above its share
	mostAbovePart   = 0.7  // of that, for a team little above its share
	loosePart       = 0.5  // of that, for a request that can wait longer than others
	failingPart     = 0.3  // of that, at a target that fails often
	memoryPart      = 0.95 // part of an engine's memory that is filled
	rereadWeight    = 12.0 // of prompt tokens that another target would not have to read
	spillPart       = 0.15 // of the queue, for a prompt that the engine has to read whole
	smallReread     = 200  // tokens that any engine may read again
	farPenalty      = 5 * time.Millisecond
	scatterPenalty  = 5 * time.Millisecond // most that the order of rendezvous counts among engines that are alike
	leastRetryAfter = 200 * time.Millisecond
	maxRetryAfter   = 3 * time.Second
	outputCost      = 2 // cost units of a generated token; a prompt token read costs 1
	expectedOutput  = 0.5
)

// Ask describes a request that wants a target.
type Ask struct {
	Service  string
	Team     string
	Chain    Chain
	Output   int           // most tokens to be generated
	Seed     uint64        // differs from request to request
	Aim      time.Duration // time to the first event, or the answer, that the caller wants
	Time     time.Duration // in which the whole answer is wanted
	Elapsed  time.Duration // since the request arrived
	Excluded []string      // targets that failed it
	Anywhere bool          // it has waited for the engines that keep its parts
	Wanted   string        // engine that this host is asked for as its owner; all engines count if it is empty
	Guest    bool          // the caller is at another host, which sees the events
	Ahead    time.Duration // queue at the engine that keeps its parts, as its owner told
	Hint     string        // engine that an owner named in place of its own
	Held     int           // tokens that the host of the caller knows the wanted engine to have read

	homes     homes
	referrals []string // engines whose owners were asked
	waited    bool     // at one of them
	spills    int      // engines with room that were asked for

	scatter bool // hosts that know the same choose different engines for different prompts
}

// Cost returns the cost units of the request.
func (a *Ask) Cost() float64 {
	return float64(a.Chain.Total) + outputCost*expectedOutput*float64(a.Output)
}

// Choice is the decision about a request: a target, or none and the time after
// which there may be one.
type Choice struct {
	Target  string
	Load    Load          // what the request adds at the target
	Expect  time.Duration // time to the first event
	After   time.Duration // wait until a target may have room
	Reason  Reason        // why there is no target
	Team    Standing      // of the team
	Limit   time.Duration // longest queue that the team may join
	Waiting time.Duration // queue at the target; without one, the shortest that is over the limit
	Queue   int           // prompt tokens queued at the target, with those of the request
	Lease   uint64        // names the slot at the host that decided, 0 if this one did
}

// Reason tells why a request has no target.
type Reason string

// The reasons.
const (
	ReasonNone    Reason = ""
	ReasonMissing Reason = "no-target" // the service has no usable target
	ReasonPaused  Reason = "paused"    // all that it has told this host to send them nothing for a time
	ReasonFull    Reason = "full"      // all targets have as much work as they finish in time
	ReasonLate    Reason = "late"      // the request can't be served in the time it has
)

// Choose decides about a request.
func (b *Board) Choose(now time.Time, a *Ask) Choice {
	p := b.pool(a.Service)
	if p.engine == nil {
		return b.choosePlain(now, p, a)
	}
	return b.chooseEngine(now, p, a)
}

// usable returns whether a request may be sent to a target.
func (r *row) usable(now time.Time, a *Ask) bool {
	return !r.target.Leaving && !r.pauses(now, a.Guest) && r.health.usable(now) && !r.stalled(now) && !slices.Contains(a.Excluded, r.target.ID)
}

// choosePlain takes the target with the most free slots. It answers bursts on
// services of few slots: what does not fit waits here, not in the target's queue. Where news
// are older than answers take, hosts that go by them would all send to the same target: each
// host goes by its own requests then and spreads those.
func (b *Board) choosePlain(now time.Time, p *pool, a *Ask) Choice {
	var best *row
	bestScore := 0.0
	usable := 0
	stale := NewsPeriod(len(b.peers)+1) > scale(p.typical, staleAnswers)
	for _, r := range p.rows {
		if !r.usable(now, a) {
			continue
		}
		usable++
		load := r.load()
		if stale {
			load = r.own
		}
		if load.Running >= r.room(now, r.target.Slots) {
			continue
		}
		score := float64(load.Running)/float64(r.target.Slots) + r.health.failures
		switch {
		case stale:
			score += fraction(mix(a.Seed, r.key))
		case r.target.Place != b.place:
			score += 1 / float64(8*r.target.Slots)
		}
		if best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	if best == nil {
		if usable == 0 {
			return p.missing(now, a.Guest)
		}
		return Choice{Reason: ReasonFull, After: max(leastRetryAfter, p.typical)}
	}
	return Choice{Target: best.target.ID, Load: Load{Running: 1}, Expect: p.typical}
}

// chooseEngine weighs the prompts queued at each engine against the parts of this
// prompt that it has read already. A prompt with long shared parts waits here first
// for the engines that keep them. It answers load above capacity: an engine gets
// no more prompts than it reads in time, so that what is admitted is in time.
func (b *Board) chooseEngine(now time.Time, p *pool, a *Ask) Choice {
	s := b.newSearch(now, p, a)
	for _, r := range b.candidates(p, a) {
		if !r.usable(now, a) {
			continue
		}
		s.found = true
		if s.rationed {
			break
		}
		s.weigh(r)
	}
	c := s.best
	c.Team, c.Limit = s.standing, p.limit(a, s.standing, s.ratio, nil)
	switch {
	case c.Target != "":
	case !s.found:
		missing := p.missing(now, a.Guest)
		c.Reason, c.After = missing.Reason, missing.After
	default:
		over := max(s.shortest, 0)
		c.Reason, c.Waiting = ReasonFull, c.Limit+over
		c.After = min(maxRetryAfter, over+leastRetryAfter+settle(s.standing, s.ratio))
	}
	return c
}

// hasRoomAtHome returns whether the engine that keeps a prompt's shared parts takes it now.
func (b *Board) hasRoomAtHome(now time.Time, p *pool, a *Ask) bool {
	if p.engine == nil {
		return false
	}
	s := b.newSearch(now, p, a)
	if s.rationed || s.first == nil || !s.first.usable(now, a) || a.Wanted != "" && s.first.owner != b.self {
		return false
	}
	s.weigh(s.first)
	return s.best.Target != ""
}

// search looks for the engine of one request.
type search struct {
	now           time.Time
	board         *Board
	pool          *pool
	ask           *Ask
	standing      Standing
	ratio         float64       // of the team's share to what it received
	starved       bool          // the team received far less than others
	rationed      bool          // the team has all the slots that this host may have
	slope         float64       // seconds that one prompt token takes
	start         time.Duration // to the first event of an empty prompt
	first, second *row          // engines that keep the prompt's shared parts
	found         bool          // an engine is usable
	best          Choice
	score         time.Duration // of the best; less is better
	shortest      time.Duration // least excess of a queue over its limit, -1 without one
}

// newSearch returns the search for the engine of a request, before any engine is weighed.
func (b *Board) newSearch(now time.Time, p *pool, a *Ask) search {
	standing, ratio := b.rank(now, a)
	s := search{
		now: now, board: b, pool: p, ask: a, standing: standing, ratio: ratio, starved: p.shares.starved[a.Team],
		rationed: b.rations(now, p, a, standing), slope: p.pace.Slope(), start: seconds(p.pace.Start()), shortest: -1,
	}
	s.first, s.second = p.homes(a)
	return s
}

// weigh compares an engine with the best so far. What needs no look at the parts that
// the engine has read comes first, since in a flood most engines are full.
func (s *search) weigh(r *row) {
	p, a := s.pool, s.ask
	load := r.load()
	drag := r.health.drag()
	wait := scale(s.reading(load.Prompt), drag)
	limit := p.limit(a, s.standing, s.ratio, r)
	if wait > limit || load.Running >= r.room(s.now, p.engine.Slots) {
		s.miss(wait - limit)
		return
	}
	held := s.held(r)
	own := s.reading(a.Chain.Total - held)
	need := Load{Prompt: a.Chain.Total - held, Running: 1, Memory: a.Chain.Total + int(expectedOutput*float64(a.Output))}
	limit, home := s.narrow(limit, r, held, own)
	if wait > limit || !home || !p.fits(load, need) {
		s.miss(wait - limit)
		return
	}
	score := wait + scale(s.reread(held, r), rereadWeight*drag)
	if r.target.Place != s.board.place {
		score += farPenalty
	}
	if a.scatter {
		score += scale(scatterPenalty, fraction(mix(a.Chain.Deepest(), r.key)))
	}
	if s.best.Target == "" || score < s.score {
		s.score = score
		s.best = Choice{Target: r.target.ID, Load: need, Waiting: wait, Expect: s.start + wait + own}
	}
}

// held returns the tokens of the prompt that an engine is known to have read.
func (s *search) held(r *row) int {
	held := r.memory.held(s.ask.Chain)
	if r.target.ID == s.ask.Wanted {
		held = max(held, s.ask.Held)
	}
	return held
}

// miss takes an engine that the request can't go to.
func (s *search) miss(over time.Duration) {
	if over = max(over, 0); s.shortest < 0 || over < s.shortest {
		s.shortest = over
	}
}

// reading returns the time that an engine takes to read prompt tokens.
func (s *search) reading(tokens int) time.Duration { return seconds(s.slope * float64(tokens)) }

// narrow returns the longest queue that the request may join at an engine, given that
// of its team, and whether it may go there at all.
func (s *search) narrow(limit time.Duration, r *row, held int, own time.Duration) (time.Duration, bool) {
	limit = min(limit, s.slack(own))
	chain := s.ask.Chain
	if r == s.first || r == s.second && s.ask.Anywhere || chain.Shared()-held <= smallReread {
		return limit, true
	}
	if s.starved {
		return limit, s.ask.Anywhere
	}
	return scale(limit, spillPart), s.ask.Anywhere
}

// limit returns how long prompts may queue at an engine ahead of a request. A
// request with a loose aim leaves room for those that can't wait as long as it can,
// and a team above its share by what it received compared with an even part.
func (p *pool) limit(a *Ask, standing Standing, ratio float64, r *row) time.Duration {
	aim := p.tight
	if aim == 0 || a.Aim > 0 && a.Aim < aim {
		aim = a.Aim
	}
	limit := scale(aim, queuePart)
	limit = scale(limit, queuePartOf(standing, ratio))
	if a.Aim > aim {
		limit = scale(limit, loosePart)
	}
	if standing != Entitled {
		limit = scale(limit, p.congestion(r))
	}
	if r != nil && r.health.failing() {
		limit = scale(limit, failingPart)
	}
	return limit
}

// slack returns how long prompts may queue ahead of one that takes a time itself, so
// that its first event is in time; a prompt too long for that takes a short queue.
func (s *search) slack(own time.Duration) time.Duration {
	a := s.ask
	return max(scale(a.Aim, leastSlackPart), scale(a.Aim, slackPart)-s.start-own-a.Elapsed)
}

// queuePartOf returns the part of the queue for a team, by what it received compared with
// its share.
func queuePartOf(standing Standing, ratio float64) float64 {
	if standing == Entitled {
		return min(1, entitledPart*ratio*ratio)
	}
	return min(mostAbovePart, max(leastAbovePart, evenPart*ratio*ratio*ratio))
}

// settle returns the time until a team that is above its share is no longer, if it
// receives nothing meanwhile.
func settle(standing Standing, ratio float64) time.Duration {
	if standing == Entitled || ratio <= 0 || ratio >= 1 {
		return 0
	}
	return seconds(usageLife.Seconds() * math.Log(1/ratio))
}

// fits returns whether an engine has a slot and memory for a request.
func (p *pool) fits(load, need Load) bool {
	if load.Running+1 > p.engine.Slots {
		return false
	}
	return load.Running == 0 || float64(load.Memory+need.Memory) <= memoryPart*float64(p.engine.TokenCapacity)
}

// reread returns the time for the prompt tokens that the target has to read. The
// first targets by rendezvous count as having read the shared parts for other
// hosts.
func (s *search) reread(held int, r *row) time.Duration {
	c := s.ask.Chain
	switch r {
	case s.first:
		held = max(held, c.Shared())
	case s.second:
		held = max(held, c.Shared()/2)
	}
	return s.reading(c.Total - held)
}

// homes returns the engines that keep the shared parts of a request's prompt. They are
// worked out once for a request as long as the targets stay the same.
func (p *pool) homes(a *Ask) (first, second *row) {
	if a.homes.epoch != p.epoch {
		a.homes.first, a.homes.second = p.rendezvous(a.Chain.Deepest())
		a.homes.epoch = p.epoch
	}
	return a.homes.first, a.homes.second
}

// homes are the engines that keep the shared parts of a prompt.
type homes struct {
	epoch         uint64 // of the list of targets
	first, second *row
}

// rendezvous returns the two targets that all hosts prefer for a prompt part, so
// that it is read at few engines without a call between hosts.
func (p *pool) rendezvous(part uint64) (first, second *row) {
	if part == 0 {
		return nil, nil
	}
	var top, next uint64
	for _, r := range p.rows {
		if r.target.Leaving {
			continue
		}
		weight := mix(part, r.key)
		switch {
		case first == nil || weight > top:
			second, next = first, top
			first, top = r, weight
		case second == nil || weight > next:
			second, next = r, weight
		}
	}
	return first, second
}

// fraction maps a hash to 0 to 1.
func fraction(hash uint64) float64 { return float64(hash) / math.MaxUint64 }

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
