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
	incarnationHashBits = 4
)

// Tick runs the systems that depend on the time alone.
func (h *Host) Tick(now time.Time) {
	h.tickAt(now)
	h.watch(now)
	h.intake.Tick(now)
	h.orders.Tick(now)
	h.settle()
	share := h.roster.Share(now)
	for _, shard := range h.ownShards() {
		h.shards[shard].SetShare(share)
		h.shards[shard].Tick(now)
	}
	h.settle()
	h.poll(now)
}

// tickAt notes the time of the event that is being handled.
func (h *Host) tickAt(now time.Time) {
	h.clock = now
	if h.began.IsZero() {
		h.began = now
	}
}

func (h *Host) now() time.Time { return h.clock }

func (h *Host) book(service uint32) *ledger.Book {
	b := h.books[service]
	if b == nil {
		b = ledger.NewBook()
		h.books[service] = b
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

// ownerOf returns the host to send tickets of a shard to.
func (h *Host) ownerOf(shard wire.Shard) (netip.AddrPort, bool) {
	if h.config.Alone {
		return h.config.Self, true
	}
	owner, ok := h.roster.Owner(shard)
	if !ok {
		return owner, false
	}
	if l := h.links[owner]; owner != h.config.Self && l != nil && l.cut {
		return owner, false
	}
	return owner, true
}

// home returns the place to present tickets of a service to: this one if it
// has targets, or else the nearest that has and can be reached.
func (h *Host) home(service uint32) (uint32, bool) {
	own := h.roster.Place()
	candidates := []uint32{own}
	if row := h.view.Places[own]; row != nil {
		candidates = append(candidates, row.Near...)
	}
	served := h.served[service]
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

// reshard compares the owners of all shards with those before and hands over
// what changed hands.
func (h *Host) reshard(now time.Time) {
	if live := h.roster.Live(); !slices.Equal(live, h.live) {
		h.live, h.out.Live = live, live
	}
	shards := h.allShards()
	h.served = map[uint32]map[uint32]bool{}
	current := map[wire.Shard]bool{}
	for _, shard := range shards {
		current[shard] = true
		if h.served[shard.Service] == nil {
			h.served[shard.Service] = map[uint32]bool{}
		}
		h.served[shard.Service][shard.Place] = true
		h.assign(now, shard)
	}
	for _, shard := range h.ownShards() {
		if !current[shard] {
			delete(h.shards, shard)
		}
	}
	for _, shard := range h.ownShards() {
		h.shards[shard].SetPeers(h.peersOf(shard))
	}
}

// assign starts or ends the ownership of a shard here and tells a new owner
// what runs here.
func (h *Host) assign(now time.Time, shard wire.Shard) {
	owner, ok := h.ownerOf(shard)
	if !ok {
		delete(h.owners, shard)
		return
	}
	mine := owner == h.config.Self && (shard.Place == h.roster.Place() || h.config.Alone)
	s := h.shards[shard]
	if mine && s == nil {
		h.take(now, shard)
	}
	if !mine && s != nil {
		s.SetPeers(h.peersOf(shard))
		s.HandOver(now)
		h.settle()
		delete(h.shards, shard)
		h.out.Given = append(h.out.Given, shard)
	}
	if h.owners[shard] != owner {
		h.owners[shard] = owner
		h.intake.Resync(now, shard, owner)
	}
}

// take makes this host the owner of a shard.
func (h *Host) take(now time.Time, shard wire.Shard) {
	config := dispatch.Config{
		Shard:       shard,
		Incarnation: h.incarnation(now, shard),
		Policy:      h.config.Policy,
		Recover:     h.config.Recover,
	}
	expected := append(h.roster.Present(), h.config.Self)
	if h.config.Alone {
		expected = nil
	}
	s := dispatch.NewShard(now, config, h.book(shard.Service), expected)
	s.Configure(now, h.view)
	h.shards[shard] = s
	h.out.Taken = append(h.out.Taken, shard)
}

// incarnation returns a number above all that were heard of for a shard. It fits
// into 32 bits for some years, which keeps grants short.
func (h *Host) incarnation(now time.Time, shard wire.Shard) uint64 {
	known := h.intake.HighestIncarnation(shard)
	if a := h.book(shard.Service).Account(shard.Place); a != nil {
		known = max(known, a.Incarnation)
	}
	fresh := uint64(max(0, now.Unix()-incarnationEpoch))
	fresh = max(fresh, known>>incarnationHashBits+1)
	return fresh<<incarnationHashBits | hashBits(h.config.Self)
}

// peersOf returns the owners of the same service in other places and the
// standby of the shard.
func (h *Host) peersOf(shard wire.Shard) ([]dispatch.Peer, netip.AddrPort) {
	if h.config.Alone {
		return nil, netip.AddrPort{}
	}
	var peers []dispatch.Peer
	if row := h.view.Places[shard.Place]; row != nil {
		for _, place := range row.Near {
			other := wire.Shard{Service: shard.Service, Place: place}
			if owner, ok := h.ownerOf(other); ok && h.served[shard.Service][place] {
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

func (h *Host) isOwner(shard wire.Shard) bool {
	owner, ok := h.roster.Owner(shard)
	return ok && owner == h.config.Self
}

// Ready returns whether this host can take callers: it has a configuration, and
// it has heard from its place or waited long enough for others to speak up.
func (h *Host) Ready(now time.Time) bool {
	if h.view.Set.Revision == 0 || h.roster.Leaving() {
		return false
	}
	if now.Sub(h.began) >= 2*h.config.Dead {
		return true
	}
	return h.heardAll()
}

// heardAll returns whether all seeds of this place are live and the rosters of
// all other places are known.
func (h *Host) heardAll() bool {
	live := h.roster.Live()
	for _, s := range h.seeds {
		if s.Place == h.config.Place && !s.Leaving && !slices.Contains(live, s.Address) {
			return false
		}
	}
	return len(h.roster.Rosters())+1 >= len(h.view.Places)
}

// Leave starts a planned stop: peers are told, and ownership goes to others.
func (h *Host) Leave(now time.Time) {
	h.tickAt(now)
	h.roster.Leave()
	h.reshard(now)
	h.beatAll(now, true)
	h.spread(now)
	h.settle()
}
