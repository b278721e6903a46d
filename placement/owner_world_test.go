package placement_test

import "github.com/cassiachute/cassiachute/placement"

// withOwners gives each engine an owner.
func (s *simulation) withOwners() *simulation {
	s.enginesOwned = true
	hosts := make([]placement.Host, len(s.boards))
	for n := range hosts {
		hosts[n] = placement.Host{ID: uint64(n + 1), Place: "place1"}
	}
	for n, b := range s.boards {
		others := append(append([]placement.Host{}, hosts[:n]...), hosts[n+1:]...)
		b.SetHosts(hosts[n], others)
	}
	return s
}

// askOwners asks one owner of engines after another until one has a slot for the request or queues
// it. If none does, it refuses the request.
func (s *simulation) askOwners(req *simRequest) {
	req.request.Elapsed = s.now.Sub(req.arrived)
	req.extraSteps = s.rng.IntN(streamSteps) - streamSteps/2
	for {
		referral, ok := s.boards[req.host].NextOwner(s.now, &req.request)
		if !ok {
			s.refuse(req)
			return
		}
		s.ownersAsked++
		if s.askOwner(req, referral) {
			return
		}
	}
}

// askOwner asks one owner. It returns false if the owner has no slot and does not queue the
// request.
func (s *simulation) askOwner(req *simRequest, referral placement.Referral) bool {
	req.decider = int(referral.Host) - 1
	request := placement.Request{ // only what is sent to an owner, without what the asking host computed
		Service: req.request.Service, Team: req.request.Team, Chain: req.request.Chain, MaxOutput: req.request.MaxOutput, LatencyGoal: req.request.LatencyGoal, Elapsed: req.request.Elapsed,
		Remote: req.decider != req.host, WantedEngine: referral.Target, AnyEngine: referral.AnyEngine, CachedTokens: referral.CachedTokens,
	}
	req.decided = &request
	b := s.boards[req.decider]
	c := b.Choose(s.now, req.decided)
	if c.Target != "" {
		b.RecordSent(s.now, req.decided, &c)
		s.boards[req.host].RecordCached(c.Target, req.request.Chain)
		s.send(req, c)
		return true
	}
	req.request.PreferredQueue = max(req.request.PreferredQueue, c.QueueTime)
	if !referral.AnyEngine {
		req.request.Alternative = b.AlternativeEngine(s.now, req.decided)
	}
	if !referral.MayWait {
		return false
	}
	s.nextID++
	if !b.Wait(s.now, s.nextID, req.decided) {
		return false
	}
	s.waiting[req.decider][s.nextID] = req
	return true
}
