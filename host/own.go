package host

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	incarnationEpoch    = 1_672_531_200 // Unix seconds at the beginning of 2023
	incarnationHashBits = 4             // bits of an incarnation that tell hosts apart
)

// Tick does the work that depends on the time alone. The adapter calls it at
// short, regular intervals.
func (h *Host) Tick(now time.Time) {
	h.setTime(now)
	h.updateMembership(now)
	h.intake.Tick(now)
	h.orders.Tick(now)
	h.noteTraits(h.quarantine.Tick(now))
	h.deliverPending()
	share := h.roster.UsableShare(now)
	for _, shard := range h.ownedShards() {
		h.shards[shard].SetUsableShare(share)
		h.shards[shard].Tick(now)
	}
	h.deliverPending()
	h.pollPlatform(now)
}

// setTime stores the time of the event that is being handled, and of the first
// event.
func (h *Host) setTime(now time.Time) {
	h.eventTime = now
	if h.firstEventAt.IsZero() {
		h.firstEventAt = now
	}
}

// now returns the time of the event that is being handled.
func (h *Host) now() time.Time { return h.eventTime }

// ledgerOf returns the ledger of a service and creates it on first use.
func (h *Host) ledgerOf(service uint32) *ledger.Book {
	b := h.ledgers[service]
	if b == nil {
		b = ledger.NewBook()
		h.ledgers[service] = b
	}
	return b
}

// allShards returns the shards that have targets, in a fixed order.
func (h *Host) allShards() []wire.Shard {
	seen := map[wire.Shard]bool{}
	var list []wire.Shard
	for _, t := range h.view.Targets {
		shard := wire.Shard{Service: t.Service, Place: t.Place}
		if !seen[shard] {
			seen[shard] = true
			list = append(list, shard)
		}
	}
	return sortShards(list)
}

// ownerOf returns the owner of a shard, to which tickets are sent. It returns
// false if the owner is not known or is cut off.
func (h *Host) ownerOf(shard wire.Shard) (netip.AddrPort, bool) {
	if h.config.Standalone {
		return h.config.Self, true
	}
	owner, ok := h.roster.Owner(shard)
	if !ok {
		return owner, false
	}
	if l := h.links[owner]; owner != h.config.Self && l != nil && l.cutOff {
		return owner, false
	}
	return owner, true
}

// homePlace returns the place whose shard gets the tickets of a service first:
// this place, or else the nearest one, that has targets and an owner that can
// be reached. If there is none, it returns this place and whether it has
// targets.
func (h *Host) homePlace(service uint32) (uint32, bool) {
	own := h.roster.Place()
	candidates := []uint32{own}
	if row := h.view.Places[own]; row != nil {
		candidates = append(candidates, row.Near...)
	}
	served := h.servingPlaces[service]
	for _, place := range candidates {
		if !served[place] {
			continue
		}
		if _, ok := h.ownerOf(wire.Shard{Service: service, Place: place}); ok {
			return place, true
		}
	}
	return own, served[own]
}

// updateOwnership recomputes the owners of all shards, takes over and hands
// over the shards that changed owner, and updates the peers of the owned ones.
func (h *Host) updateOwnership(now time.Time) {
	if live := h.roster.Live(); !slices.Equal(live, h.reportedLive) {
		h.reportedLive, h.commands.Live = live, live
	}
	shards := h.allShards()
	h.servingPlaces = map[uint32]map[uint32]bool{}
	current := map[wire.Shard]bool{}
	for _, shard := range shards {
		current[shard] = true
		if h.servingPlaces[shard.Service] == nil {
			h.servingPlaces[shard.Service] = map[uint32]bool{}
		}
		h.servingPlaces[shard.Service][shard.Place] = true
		h.updateShardOwner(now, shard)
	}
	for _, shard := range h.ownedShards() {
		if !current[shard] {
			delete(h.shards, shard)
		}
	}
	for _, shard := range h.ownedShards() {
		h.shards[shard].SetPeers(h.shardPeers(shard))
	}
}

// updateShardOwner starts or ends the ownership of a shard by this host, and
// reports the requests of this host to a new owner.
func (h *Host) updateShardOwner(now time.Time, shard wire.Shard) {
	owner, ok := h.ownerOf(shard)
	if !ok {
		delete(h.owners, shard)
		return
	}
	owned := owner == h.config.Self && (shard.Place == h.roster.Place() || h.config.Standalone)
	s := h.shards[shard]
	if owned && s == nil {
		h.takeOwnership(now, shard)
	}
	if !owned && s != nil {
		s.SetPeers(h.shardPeers(shard))
		s.HandOver(now)
		h.deliverPending()
		delete(h.shards, shard)
		h.commands.Released = append(h.commands.Released, shard)
	}
	if h.owners[shard] != owner {
		h.owners[shard] = owner
		h.intake.Resync(now, shard, owner)
	}
}

// takeOwnership makes this host the owner of a shard.
func (h *Host) takeOwnership(now time.Time, shard wire.Shard) {
	config := dispatch.Config{
		Shard:           shard,
		Incarnation:     h.nextIncarnation(now, shard),
		Policy:          h.config.Policy,
		RecoveryTimeout: h.config.RecoveryTimeout,
	}
	expected := append(h.roster.Present(), h.config.Self)
	if h.config.Standalone {
		expected = nil
	}
	s := dispatch.NewShard(now, config, h.ledgerOf(shard.Service), expected)
	s.Configure(now, h.view)
	h.shards[shard] = s
	h.commands.Acquired = append(h.commands.Acquired, shard)
}

// nextIncarnation returns an incarnation above all known ones of a shard:
// seconds since incarnationEpoch, followed by bits of the host's address. Until
// 2031 it fits into 32 bits, which keeps grants short.
func (h *Host) nextIncarnation(now time.Time, shard wire.Shard) uint64 {
	known := h.intake.HighestIncarnation(shard)
	if a := h.ledgerOf(shard.Service).Account(shard.Place); a != nil {
		known = max(known, a.Incarnation)
	}
	fresh := uint64(max(0, now.Unix()-incarnationEpoch))
	fresh = max(fresh, known>>incarnationHashBits+1)
	return fresh<<incarnationHashBits | addressHashBits(h.config.Self)
}

// shardPeers returns the owners of the same service in other places, nearest
// first, and the host that owns a shard after this one.
func (h *Host) shardPeers(shard wire.Shard) ([]dispatch.Peer, netip.AddrPort) {
	if h.config.Standalone {
		return nil, netip.AddrPort{}
	}
	var peers []dispatch.Peer
	if row := h.view.Places[shard.Place]; row != nil {
		for _, place := range row.Near {
			other := wire.Shard{Service: shard.Service, Place: place}
			if owner, ok := h.ownerOf(other); ok && h.servingPlaces[shard.Service][place] {
				peers = append(peers, dispatch.Peer{Place: place, Owner: owner})
			}
		}
	}
	standby, _ := h.roster.Standby(shard)
	if !h.isOwner(shard) {
		standby, _ = h.roster.Owner(shard)
	}
	return peers, standby
}

// isOwner reports whether the roster makes this host the owner of a shard.
func (h *Host) isOwner(shard wire.Shard) bool {
	owner, ok := h.roster.Owner(shard)
	return ok && owner == h.config.Self
}

// Ready reports whether this host can accept callers: it has a configuration,
// is not leaving, and has heard from all known hosts or waited long enough for
// them.
func (h *Host) Ready(now time.Time) bool {
	if h.view.Set.Revision == 0 || h.roster.Leaving() {
		return false
	}
	if now.Sub(h.firstEventAt) >= 2*h.config.LivenessTimeout {
		return true
	}
	return h.allPeersKnown()
}

// allPeersKnown reports whether all seeds of this place are live and the
// rosters of all other places are known.
func (h *Host) allPeersKnown() bool {
	live := h.roster.Live()
	for _, s := range h.seeds {
		if s.Place == h.config.Place && !s.Leaving && !slices.Contains(live, s.Address) {
			return false
		}
	}
	return len(h.roster.Rosters())+1 >= len(h.view.Places)
}

// Leave starts a planned shutdown: this host tells its peers and hands its
// shards over to them.
func (h *Host) Leave(now time.Time) {
	h.setTime(now)
	h.roster.Leave()
	h.updateOwnership(now)
	h.sendHeartbeats(now, true)
	h.announceRoster(now)
	h.deliverPending()
}
