package placement

import (
	"slices"
	"time"
)

// Host is a host of the fleet that decides about targets.
type Host struct {
	ID    uint64
	Place string // data centre
}

// SetHosts sets the hosts that decide about targets: this host and the others that it hears from.
// Each engine has one owner among them. All hosts that see the same set agree on the owners.
func (b *Board) SetHosts(self Host, others []Host) {
	b.self = self.ID
	b.hosts = append(slices.Clone(others), self)
	b.assignOwners()
}

// Resign leaves the decisions to the other hosts while this one lacks processor time. Without other
// hosts, it keeps deciding.
func (b *Board) Resign(self Host, others []Host) {
	if len(others) == 0 {
		b.SetHosts(self, nil)
		return
	}
	b.self = self.ID
	b.hosts = slices.Clone(others)
	b.assignOwners()
}

// assignOwners determines the owner of each engine. Hosts in the data centre of the engine come
// first: if data centres are cut off from each other, only those can reach it. The targets of a service with a
// central queue have one owner.
func (b *Board) assignOwners() {
	byPlace := map[string][]Host{}
	for _, h := range b.hosts {
		byPlace[h.Place] = append(byPlace[h.Place], h)
	}
	for service, p := range b.pools {
		b.updateCentralQueue(service, p)
	}
	for _, r := range b.targets {
		if p := b.pools[r.target.Service]; p != nil && p.central.enabled {
			b.setOwner(r, p.central.owner)
			continue
		}
		candidates := byPlace[r.target.Place]
		if len(candidates) == 0 {
			candidates = b.hosts
		}
		b.setOwner(r, rendezvousOwner(candidates, r.key, b.self))
	}
	for _, p := range b.pools {
		p.owned = p.owned[:0]
		for _, r := range p.targets {
			if r.owner == b.self {
				p.owned = append(p.owned, r)
			}
		}
	}
}

// setOwner sets the host that decides about a target.
func (b *Board) setOwner(r *targetRecord, owner uint64) {
	r.owner = owner
	r.warmup.SetOwned(owner == b.self)
}

// rendezvousOwner returns the host that ranks highest for a target by rendezvous hashing, or
// fallback if there are no hosts.
func rendezvousOwner(hosts []Host, key, fallback uint64) uint64 {
	owner, topWeight := fallback, uint64(0)
	for _, h := range hosts {
		if weight := hashPair(h.ID, key); weight >= topWeight {
			owner, topWeight = h.ID, weight
		}
	}
	return owner
}

// HasService reports whether a service is configured.
func (b *Board) HasService(service string) bool { return b.pools[service] != nil }

// HasOwners reports whether the targets of a service have owners. Those of plain services have none in small
// fleets, since their requests are short and their slots are rarely all taken.
func (b *Board) HasOwners(service string) bool {
	p := b.pools[service]
	return p != nil && (p.engine != nil || p.central.enabled)
}

// Referral names the owner to ask next about a request, and the engine to ask it for.
type Referral struct {
	Host         uint64 // the owner
	Target       string // the engine
	CachedTokens int    // tokens of the prompt that the engine has cached, as far as this host knows
	MayWait      bool   // the owner may queue the request
	AnyEngine    bool   // engines that have not cached the shared prefix are allowed too
}

// maxReferrals bounds how many owners are asked about one request.
const maxReferrals = 7

// Bounds of the attempts to place a request away from its preferred engine.
const (
	maxSpillAttempts = 2 // referrals to engines with room elsewhere before the request waits
	spillQueueRatio  = 2 // the queue must take this many times as long as prefilling the shared prefix again
)

// NextOwner returns the next owner to ask about a request. First comes the owner of the
// preferred engine, then that of an alternative it named or, if prefilling the shared prefix
// again takes less time than the queue at the preferred engine, that of another engine with room.
// Then the request waits for the preferred engine, and finally any engine with room will do.
// NextOwner returns false if no owner is left to ask.
func (b *Board) NextOwner(now time.Time, a *Request) (Referral, bool) {
	p := b.pool(a.Service)
	if p.engine == nil {
		return p.referToQueue(a)
	}
	if len(a.asked) >= maxReferrals {
		return Referral{}, false
	}
	if r := b.targets[a.Alternative]; r != nil && r.usable(now, a) && !a.ownerAsked(r) {
		return a.referTo(r, false, true), true
	}
	preferred, _ := p.preferredTargets(a)
	preferredUsable := preferred != nil && preferred.usable(now, a)
	if preferredUsable && !a.ownerAsked(preferred) {
		return a.referTo(preferred, false, false), true
	}
	if !preferredUsable || a.waitAsked || p.spillsBeforeWaiting(a) {
		if r := b.bestUnaskedEngine(now, a); r != nil {
			a.spillCount++
			return a.referTo(r, !preferredUsable && !a.waitAsked, true), true
		}
	}
	if preferredUsable && !a.waitAsked {
		return a.referTo(preferred, true, false), true
	}
	return Referral{}, false
}

// spillsBeforeWaiting reports whether a request tries an engine with room before it waits for its
// preferred engine: an owner has named an alternative, or prefilling the shared prefix again takes
// much less time than the queue at the preferred engine.
func (p *pool) spillsBeforeWaiting(a *Request) bool {
	if a.Alternative != "" {
		return a.spillCount < maxSpillAttempts
	}
	return a.spillCount == 0 && spillQueueRatio*p.prefillModel.PrefillTime(a.Chain.SharedTokens()) < a.PreferredQueue
}

// bestUnaskedEngine returns the engine that suits a request best, as far as this host knows and
// wherever the shared prefix is cached, among those whose owners have not been asked yet.
func (b *Board) bestUnaskedEngine(now time.Time, a *Request) *targetRecord {
	spill := *a
	spill.WantedEngine, spill.AnyEngine, spill.NoWait, spill.breakTiesByHash = "", true, true, true
	spill.Excluded = slices.Concat(a.Excluded, a.asked)
	return b.targets[b.Choose(now, &spill).Target]
}

// AcceptsRequests reports whether a target is listed, is neither leaving nor evacuated and has not told this
// host to send nothing.
func (b *Board) AcceptsRequests(now time.Time, target string) bool {
	r := b.targets[target]
	return r != nil && !r.closed() && !now.Before(r.pausedUntil)
}

// AcceptsRequest reports whether a target accepts requests, and is in a region and has a software version that a request
// allows.
func (b *Board) AcceptsRequest(now time.Time, a *Request, target string) bool {
	if !b.AcceptsRequests(now, target) {
		return false
	}
	r := b.targets[target]
	return a.allows(r.region) && a.AllowsVersion(r.target.Version)
}

// PreferredEngine returns the preferred engine of a request and the owner of that engine. The
// referral is empty if the prompt has no shared prefix.
func (b *Board) PreferredEngine(a *Request) Referral {
	p := b.pool(a.Service)
	if first, _ := p.preferredTargets(a); first != nil {
		return Referral{Host: first.owner, Target: first.target.ID}
	}
	return Referral{}
}

// AlternativeEngine returns an alternative engine for a request whose preferred engine has no
// room: another one that has cached the shared prefix, or, if none has and it must be prefilled
// anyway, any with room. It returns an empty name if the request should wait for its preferred
// engine.
func (b *Board) AlternativeEngine(now time.Time, a *Request) string {
	p := b.pool(a.Service)
	preferred := b.targets[a.WantedEngine]
	if p.engine == nil || preferred == nil || a.Chain.SharedTokens() <= smallPrefill {
		return ""
	}
	s := b.newEngineSearch(now, p, a)
	var best *targetRecord
	for _, r := range p.targets {
		load := r.load()
		if r == preferred || !r.hasRoom(now, p, a) || best != nil && load.Prompt >= best.load().Prompt {
			continue
		}
		if r.scaleTime(s.prefillTime(load.Prompt)) <= p.queueLimit(a, s.standing, s.shareRatio, r) && r.hasPrefix(a.Chain) {
			best = r
		}
	}
	if best == nil && !preferred.hasPrefix(a.Chain) && a.CachedTokens+smallPrefill < a.Chain.SharedTokens() {
		best = b.bestUnaskedEngine(now, a)
	}
	if best == nil {
		return ""
	}
	return best.target.ID
}

// hasRoom reports whether a request may be sent to an engine now, as far as its slots are concerned.
func (r *targetRecord) hasRoom(now time.Time, p *pool, a *Request) bool {
	return r.usable(now, a) && r.warmup.Allows(now) && r.load().Running < r.availableSlots(now, p.engine.Slots)
}

// hasPrefix reports whether an engine is known to have cached the shared prefix of a prompt.
func (r *targetRecord) hasPrefix(c PrefixChain) bool {
	return r.cache.match(c)+smallPrefill >= c.SharedTokens()
}

// RecordCached records that an engine owned by another host received a prompt.
func (b *Board) RecordCached(target string, c PrefixChain) {
	if r := b.targets[target]; r != nil {
		r.cache.add(c)
	}
}

// ownerAsked reports whether the owner of an engine was asked for that engine.
func (a *Request) ownerAsked(r *targetRecord) bool {
	return slices.Contains(a.asked, r.target.ID)
}

// referTo returns a referral to the owner of an engine and records it as asked.
func (a *Request) referTo(r *targetRecord, mayWait, anyEngine bool) Referral {
	a.asked = append(a.asked, r.target.ID)
	a.waitAsked = a.waitAsked || mayWait
	return Referral{Host: r.owner, Target: r.target.ID, CachedTokens: r.cache.match(a.Chain), MayWait: mayWait, AnyEngine: anyEngine}
}

// ReferralCount returns how many times owners were asked about the request.
func (a *Request) ReferralCount() int { return len(a.asked) }

// ResetReferrals forgets which owners were asked, for a request that is sent again.
func (a *Request) ResetReferrals() {
	a.asked, a.waitAsked, a.spillCount, a.Alternative, a.PreferredQueue = nil, false, 0, "", 0
}

// candidates returns the engines that a request may go to: those owned by this host and the wanted
// one, or all if none is wanted.
func (b *Board) candidates(p *pool, a *Request) []*targetRecord {
	if a.WantedEngine == "" {
		return p.targets
	}
	wanted := b.targets[a.WantedEngine]
	if wanted == nil || wanted.owner == b.self || wanted.target.Service != a.Service {
		return p.owned
	}
	return append(slices.Clone(p.owned), wanted)
}
