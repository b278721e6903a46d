package placement

import (
	"math"
	"slices"
	"time"
)

// Limits and weights of the choice of a target.
const (
	initialAnswerTime      = 30 * time.Millisecond  // of a plain service, until measured
	answerTimeWeight       = 0.05                   // weight of the newest answer in the mean answer time
	staleAnswerTimes       = 4                      // reported loads older than this many answer times are not used
	queueFraction          = 0.55                   // fraction of the tightest latency goal that the prompts queued at an engine may take
	firstEventFraction     = 0.9                    // fraction of the latency goal in which the first event is expected
	minSlackFraction       = 0.15                   // fraction of the latency goal that may be queued ahead of any prompt
	entitledFraction       = 0.5                    // of the allowed queue, for a team that received exactly its share of the promised capacity
	evenFraction           = 0.25                   // of the allowed queue, for a team that received exactly an even share of the service delivered
	minAboveFraction       = 0.05                   // of the allowed queue, for a team far above its share
	maxAboveFraction       = 0.7                    // of the allowed queue, for a team slightly above its share
	looseGoalFraction      = 0.5                    // of the allowed queue, for a request with a looser latency goal than others
	failingFraction        = 0.3                    // of the allowed queue, at a target that fails often
	memoryFraction         = 0.95                   // fraction of an engine's memory that may be filled
	prefillWeight          = 12.0                   // weight of the time to prefill uncached tokens, compared with the time in the queue
	spillFraction          = 0.15                   // of the allowed queue, for a prompt whose shared prefix the engine has not cached
	smallPrefill           = 200                    // shared tokens that any engine may prefill again
	remotePlacePenalty     = 5 * time.Millisecond   // added to the score of an engine in another data centre
	maxTieBreakPenalty     = 5 * time.Millisecond   // largest tie-breaking penalty, which the hash of prompt and engine scales
	otherPlaceDivisor      = 8                      // a plain target of another data centre counts as busier by this part of a slot
	minRetryAfter          = 200 * time.Millisecond // shortest wait suggested after a refusal
	maxRetryAfter          = 3 * time.Second        // longest wait suggested after a refusal
	outputTokenCost        = 2                      // cost units of a generated token; a prefilled prompt token costs 1
	expectedOutputFraction = 0.5                    // of the maximum number of tokens to generate
)

// Request describes a request that needs a target.
type Request struct {
	Service         string
	Team            string
	Chain           PrefixChain
	MaxOutput       int           // maximum number of tokens to generate
	Seed            uint64        // random per request; spreads decisions that would otherwise be alike
	LatencyGoal     time.Duration // latency goal: time within which the caller wants the first event, or the answer of a plain service
	AnswerTimeLimit time.Duration // within which the caller wants the whole answer
	Elapsed         time.Duration // since the request arrived
	Excluded        []string      // targets that already failed this request
	AnyEngine       bool          // engines that have not cached its shared prefix are allowed too
	NoWait          bool          // it is not queued if there is no target now
	WantedEngine    string        // engine for which this host decides as its owner; empty if any engine will do
	Remote          bool          // the caller is connected to another host, which receives the events
	PreferredQueue  time.Duration // queue at the preferred engine, as reported by its owner
	Alternative     string        // alternative engine named by an owner
	CachedTokens    int           // prompt tokens that the wanted engine has cached, as far as the caller's host knows
	Regions         []string      // regions whose targets may serve the request, empty for all
	Priority        int           // rank of the request, 0 is the highest
	Lateness        time.Duration // of the host that measured its times, if that is another one
	Place           string        // data centre of the host to which the caller is connected, empty for that of this host
	Version         string        // software version to which the request is bound, if VersionFixed is set
	VersionFixed    bool          // only targets of Version may serve the request, because one of them began its stream

	preferred  preferredTargets
	asked      []string // engines whose owners were asked
	waitAsked  bool     // an owner was asked to queue the request
	spillCount int      // referrals to engines with room elsewhere

	breakTiesByHash bool // hosts with the same view choose different engines for different prompts
}

// Cost returns the cost of the request in cost units: its prompt tokens plus the output expected of
// it.
func (a *Request) Cost() float64 {
	return float64(a.Chain.Total) + outputTokenCost*expectedOutputFraction*float64(a.MaxOutput)
}

// Choice is the decision about a request: either a target, or the reason why there is none and the
// time after which one may be available.
type Choice struct {
	Target       string
	Load         Load          // load that the request adds at the target
	ExpectedTime time.Duration // expected time to the first event
	RetryAfter   time.Duration // time until a target may have room
	Reason       Reason        // why there is no target
	Standing     Standing      // of the request's team
	QueueLimit   time.Duration // longest queue that the team may join
	QueueTime    time.Duration // queue at the target; without a target, the shortest queue, which exceeds the limit
	QueuedTokens int           // prompt tokens queued at the target, including those of the request
	SlotID       uint64        // identifies the slot at the host that decided, 0 if this host did
}

// Reason says why a request has no target.
type Reason string

// Reasons for a choice without a target.
const (
	ReasonNone     Reason = ""
	ReasonNoTarget Reason = "no-target" // the service has no usable target
	ReasonPaused   Reason = "paused"    // every target of the service has told this host to send nothing for a while
	ReasonFull     Reason = "full"      // all targets have as much work as they can finish in time
	ReasonLate     Reason = "late"      // the request can't be served in the time it has left
)

// Choose picks a target for a request, or says why there is none.
func (b *Board) Choose(now time.Time, a *Request) Choice {
	b.RecordRunning(now)
	p := b.pool(a.Service)
	if p.engine == nil {
		return b.choosePlain(now, p, a)
	}
	return b.chooseEngine(now, p, a)
}

// usable reports whether a request may be sent to the target: it is neither leaving, evacuated, paused,
// suspended nor stalled, is in a region and has a software version that the request allows, and has not failed this
// request before.
func (r *targetRecord) usable(now time.Time, a *Request) bool {
	return !r.closed() && a.allows(r.region) && a.AllowsVersion(r.target.Version) && !r.isPaused(now, a.Remote) && r.health.usable(now) && !r.stalled(now) && !slices.Contains(a.Excluded, r.target.ID)
}

// chooseEngine compares engines by the prompts queued there and by the part of this prompt that they
// have cached. A prompt with a long shared prefix first waits here for the engines that have
// cached it. Under overload, an engine gets no more prompts than it can prefill in time, so that
// admitted requests meet their latency goals.
func (b *Board) chooseEngine(now time.Time, p *pool, a *Request) Choice {
	s := b.newEngineSearch(now, p, a)
	for _, r := range b.candidates(p, a) {
		if !r.usable(now, a) {
			continue
		}
		s.anyUsable = true
		if s.atSlotLimit {
			break
		}
		s.evaluate(r)
	}
	c := s.best
	c.Standing, c.QueueLimit = s.standing, p.queueLimit(a, s.standing, s.shareRatio, nil)
	switch {
	case c.Target != "":
	case !s.anyUsable:
		noTarget := p.noTargetChoice(now, a)
		c.Reason, c.RetryAfter = noTarget.Reason, noTarget.RetryAfter
	default:
		excess := max(s.minExcess, 0)
		c.Reason, c.QueueTime = ReasonFull, c.QueueLimit+excess
		c.RetryAfter = min(maxRetryAfter, excess+minRetryAfter+timeUntilWithinShare(s.standing, s.shareRatio))
	}
	return c
}

// preferredHasRoom reports whether the preferred engine of a prompt can take it now.
func (b *Board) preferredHasRoom(now time.Time, p *pool, a *Request) bool {
	if p.engine == nil {
		return false
	}
	s := b.newEngineSearch(now, p, a)
	if s.atSlotLimit || s.first == nil || !s.first.usable(now, a) || a.WantedEngine != "" && s.first.owner != b.self {
		return false
	}
	s.evaluate(s.first)
	return s.best.Target != ""
}

// search holds the state of the search for the engine of one request.
type search struct {
	now           time.Time
	board         *Board
	pool          *pool
	ask           *Request
	standing      Standing
	shareRatio    float64       // of the team's share to the service it received
	starved       bool          // the team received far less than others
	mayWait       bool          // the request can be queued if no engine suits it
	atSlotLimit   bool          // the team has all the slots it may have through this host
	perToken      float64       // time to prefill one prompt token
	baseLatency   time.Duration // time to the first event of an empty prompt
	first, second *targetRecord // engines preferred for the shared prefix of the prompt
	anyUsable     bool          // at least one engine is usable
	best          Choice
	bestScore     time.Duration // of the best choice so far; lower is better
	minExcess     time.Duration // smallest excess of a queue over its limit, -1 if there is none
}

// newEngineSearch prepares the search for the engine of a request. No engine has been evaluated yet.
func (b *Board) newEngineSearch(now time.Time, p *pool, a *Request) search {
	standing, ratio := b.standingForDecision(now, a)
	s := search{
		now: now, board: b, pool: p, ask: a, standing: standing, shareRatio: ratio, starved: p.shares.starved[a.Team],
		atSlotLimit: b.atSlotLimit(now, p, a, standing), perToken: p.prefillModel.SecondsPerToken(), baseLatency: seconds(p.prefillModel.BaseLatency()), minExcess: -1,
	}
	s.first, s.second = p.preferredTargets(a)
	s.mayWait = !a.NoWait && len(p.queue) < maxQueuedRequests && b.MaxWait(a) > 0
	return s
}

// evaluate compares an engine with the best one so far. The checks that need no cache lookup come
// first, since most engines are full while requests flood in.
func (s *search) evaluate(r *targetRecord) {
	p, a := s.pool, s.ask
	if !r.warmup.Allows(s.now) { // a cold target whose rate is used up counts as full
		return
	}
	load := r.load()
	delay := r.delayFactor()
	wait := scale(s.prefillTime(load.Prompt), delay)
	limit := p.queueLimit(a, s.standing, s.shareRatio, r)
	if wait > limit || load.Running >= r.availableSlots(s.now, p.engine.Slots) {
		s.recordExcess(wait - limit)
		return
	}
	if s.mayWait && r.tooSlowFor(a, p.engine.TokensPerEvent) {
		return
	}
	cached := s.cachedTokens(r)
	prefill := r.scaleTime(s.prefillTime(a.Chain.Total - cached))
	need := Load{Prompt: a.Chain.Total - cached, Running: 1, Memory: a.Chain.Total + int(expectedOutputFraction*float64(a.MaxOutput))}
	limit, allowed := s.restrictLimit(limit, r, cached, prefill)
	if wait > limit || !allowed || !p.fits(load, need) {
		s.recordExcess(wait - limit)
		return
	}
	score := wait + scale(s.uncachedPrefillTime(cached, r), prefillWeight*delay)
	if r.target.Place != s.board.place {
		score += remotePlacePenalty
	}
	if a.breakTiesByHash {
		score += scale(maxTieBreakPenalty, hashFraction(hashPair(a.Chain.LongestPrefix(), r.key)))
	}
	score = r.failureScore(s.now, score)
	if s.best.Target == "" || score < s.bestScore {
		s.bestScore = score
		s.best = Choice{Target: r.target.ID, Load: need, QueueTime: wait, ExpectedTime: r.scaleTime(s.baseLatency) + wait + prefill}
	}
}

// cachedTokens returns how many tokens of the prompt an engine is known to have cached.
func (s *search) cachedTokens(r *targetRecord) int {
	cached := r.cache.match(s.ask.Chain)
	if r.target.ID == s.ask.WantedEngine {
		cached = max(cached, s.ask.CachedTokens)
	}
	return cached
}

// recordExcess records by how much the queue of an unsuitable engine exceeds the limit.
func (s *search) recordExcess(excess time.Duration) {
	if excess = max(excess, 0); s.minExcess < 0 || excess < s.minExcess {
		s.minExcess = excess
	}
}

// prefillTime returns the time an engine takes to prefill a number of prompt tokens.
func (s *search) prefillTime(tokens int) time.Duration { return seconds(s.perToken * float64(tokens)) }

// restrictLimit lowers the queue limit of the team to that of this request at an engine, and
// reports whether the request may go to that engine at all.
func (s *search) restrictLimit(limit time.Duration, r *targetRecord, cached int, prefill time.Duration) (time.Duration, bool) {
	limit = min(limit, s.latencySlack(prefill))
	chain := s.ask.Chain
	if r == s.first || r == s.second && s.ask.AnyEngine || chain.SharedTokens()-cached <= smallPrefill {
		return limit, true
	}
	if s.starved {
		return limit, s.ask.AnyEngine
	}
	return scale(limit, spillFraction), s.ask.AnyEngine
}

// queueLimit returns how long prompts may be queued at an engine ahead of a request; without an
// engine, it leaves out what depends on one. A request with a loose latency goal leaves room for
// those that can't wait as long. A team above its share gets a shorter queue, the more it received
// compared with an even share.
func (p *pool) queueLimit(a *Request, standing Standing, ratio float64, r *targetRecord) time.Duration {
	goal := p.tightestGoal
	if goal == 0 || a.LatencyGoal > 0 && a.LatencyGoal < goal {
		goal = a.LatencyGoal
	}
	limit := scale(goal, queueFraction)
	limit = scale(limit, queueFractionFor(standing, ratio))
	if a.LatencyGoal > goal {
		limit = scale(limit, looseGoalFraction)
	}
	if standing != Entitled {
		limit = scale(limit, p.congestionFactor(r))
	}
	if r != nil && r.health.failing() {
		limit = scale(limit, failingFraction)
	}
	return limit
}

// latencySlack returns how long prompts may be queued ahead of a prompt that itself takes the time
// prefill, so that its first event is in time. A prompt too long to be in time may still join a
// short queue.
func (s *search) latencySlack(prefill time.Duration) time.Duration {
	a := s.ask
	return max(scale(a.LatencyGoal, minSlackFraction), scale(a.LatencyGoal, firstEventFraction)-s.baseLatency-prefill-a.Elapsed)
}

// queueFractionFor returns the fraction of the longest allowed queue up to which requests of a team
// may queue. shareRatio is the share of the team divided by the service it received.
func queueFractionFor(standing Standing, shareRatio float64) float64 {
	if standing == Entitled {
		return min(1, entitledFraction*shareRatio*shareRatio)
	}
	return min(maxAboveFraction, max(minAboveFraction, evenFraction*shareRatio*shareRatio*shareRatio))
}

// timeUntilWithinShare returns the time after which a team above its share is within it again, if
// it receives nothing meanwhile.
func timeUntilWithinShare(standing Standing, ratio float64) time.Duration {
	if standing == Entitled || ratio <= 0 || ratio >= 1 {
		return 0
	}
	return seconds(usageDecayTime.Seconds() * math.Log(1/ratio))
}

// fits reports whether an engine has a free slot and enough memory for a request.
func (p *pool) fits(load, need Load) bool {
	if load.Running+1 > p.engine.Slots {
		return false
	}
	return load.Running == 0 || float64(load.Memory+need.Memory) <= memoryFraction*float64(p.engine.TokenCapacity)
}

// uncachedPrefillTime returns the time to prefill the tokens of the prompt that the target has not
// cached. A preferred engine counts as having cached the shared prefix (the second one half of it)
// through requests of other hosts.
func (s *search) uncachedPrefillTime(cached int, r *targetRecord) time.Duration {
	c := s.ask.Chain
	switch r {
	case s.first:
		cached = max(cached, c.SharedTokens())
	case s.second:
		cached = max(cached, c.SharedTokens()/2)
	}
	return s.prefillTime(c.Total - cached)
}

// preferredTargets returns the engines preferred for the shared prefix of a request. They are
// computed once per request and again after the list of targets changes.
func (p *pool) preferredTargets(a *Request) (first, second *targetRecord) {
	if a.preferred.epoch != p.epoch {
		a.preferred.first, a.preferred.second = p.rendezvous(a)
		a.preferred.epoch = p.epoch
	}
	return a.preferred.first, a.preferred.second
}

// preferredTargets caches the engines preferred for the shared prefix of a prompt.
type preferredTargets struct {
	epoch         uint64 // of the list of targets when they were computed
	first, second *targetRecord
}

// rendezvous returns the two targets that rank highest for the prompt prefix of a request by rendezvous hashing.
// All hosts agree on them without communication, so that a prefix is cached at few engines.
func (p *pool) rendezvous(a *Request) (first, second *targetRecord) {
	prefix := a.Chain.LongestPrefix()
	if prefix == 0 {
		return nil, nil
	}
	if p.weighted {
		return p.weightedRendezvous(a, prefix)
	}
	var firstWeight, secondWeight uint64
	for _, r := range p.targets {
		if r.closed() || !a.allows(r.region) || !a.AllowsVersion(r.target.Version) {
			continue
		}
		weight := hashPair(prefix, r.key)
		switch {
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = r, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = r, weight
		}
	}
	return first, second
}

// hashFraction maps a hash to the range from 0 to 1.
func hashFraction(hash uint64) float64 { return float64(hash) / math.MaxUint64 }

// scale multiplies a duration by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
