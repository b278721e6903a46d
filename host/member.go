package host

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/roster"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	tellEvery   = time.Second            // time between rosters to other places
	cutAfter    = time.Second            // a peer whose link is down for this long is cut off
	beatAtLeast = 2 * time.Second        // longest time between heartbeats, which carry the revision
	forgetEvery = 10 * time.Second       // time between looks for hosts that are gone for good
	forgetAfter = time.Minute            // a host that no link reached for this long may be forgotten
	askDelay    = 200 * time.Millisecond // least time between two requests for a configuration
	resendAfter = time.Second            // least time between two sets of rosters to a member
)

// link is a row for the session with one peer.
type link struct {
	up     bool
	cut    bool
	down   time.Time // when the link went down
	boot   uint64
	sent   time.Time // when a message was last sent
	beaten time.Time // when a heartbeat was last sent
	taught time.Time // when the rosters of other places were last sent
}

func (h *Host) link(peer netip.AddrPort) *link {
	l := h.links[peer]
	if l == nil {
		l = &link{}
		h.links[peer] = l
		h.out.Connect = append(h.out.Connect, peer)
	}
	return l
}

// PeerUp takes the news that messages reach a peer. fresh means that it has
// none of the messages sent before.
func (h *Host) PeerUp(now time.Time, peer netip.AddrPort, boot uint64, fresh bool) {
	h.tickAt(now)
	l := h.link(peer)
	known := l.boot != 0
	wasCut := l.cut
	l.up, l.cut, l.down, l.boot = true, false, time.Time{}, boot
	if known && fresh {
		h.dropHost(now, peer)
	}
	if wasCut {
		h.reshard(now)
	}
	if fresh || wasCut {
		h.resyncWith(now, peer)
	}
	h.beat(now, peer)
	if h.isRemote(peer) {
		h.send(peer, h.ownRoster(now, true))
	}
}

// PeerDown takes the news that a connection to a peer failed. refused means
// that no process listens there.
func (h *Host) PeerDown(now time.Time, peer netip.AddrPort, refused bool) {
	h.tickAt(now)
	l := h.links[peer]
	if l == nil {
		return
	}
	if l.down.IsZero() {
		l.down = now
	}
	l.up = false
	if refused && !l.cut {
		l.cut = true
		changed := h.roster.Refused(peer)
		h.roster.Drop(peer)
		h.lose(now, peer)
		h.reshard(now)
		if changed {
			h.spread(now)
		}
	}
}

// lose drops the work of a host that is gone or cut off.
func (h *Host) lose(now time.Time, peer netip.AddrPort) {
	h.dropHost(now, peer)
	h.intake.HandleOwnerLost(now, peer)
}

// dropHost forgets what a host had at the shards owned here.
func (h *Host) dropHost(now time.Time, peer netip.AddrPort) {
	for _, shard := range h.ownShards() {
		h.shards[shard].Drop(now, peer)
	}
}

// resyncWith tells a peer what runs here at the shards that it owns.
func (h *Host) resyncWith(now time.Time, peer netip.AddrPort) {
	for _, shard := range h.allShards() {
		if h.owners[shard] == peer {
			h.intake.Resync(now, shard, peer)
		}
	}
}

// Listed takes the platform's list of hosts.
func (h *Host) Listed(now time.Time, seeds []Seed) {
	h.tickAt(now)
	h.seeds = append(append([]Seed(nil), h.config.Seeds...), seeds...)
	var listings []roster.Listing
	for _, s := range seeds {
		listings = append(listings, roster.Listing{
			Address: s.Address, Place: h.view.PlaceNumber(s.Place), Leaving: s.Leaving,
		})
	}
	h.roster.Listed(listings)
}

// watch runs the systems of membership.
func (h *Host) watch(now time.Time) {
	before := h.roster.Present()
	if h.roster.Sweep(now) {
		for _, peer := range before {
			if l := h.link(peer); !l.up && l.cut {
				h.lose(now, peer)
			}
		}
		h.reshard(now)
		h.spread(now)
	}
	for _, peer := range h.peers() {
		l := h.links[peer]
		if l != nil && !l.up && !l.cut && !l.down.IsZero() && now.Sub(l.down) > cutAfter {
			l.cut = true
			h.lose(now, peer)
			h.reshard(now)
		}
	}
	if now.Sub(h.forgot) >= forgetEvery {
		h.forgot = now
		h.forget(now)
	}
	if now.Sub(h.beaten) >= h.config.Beat {
		h.beaten = now
		h.beatAll(now, false)
	}
	if now.Sub(h.told) >= tellEvery && h.roster.IsHead() {
		h.told = now
		h.tellPlaces(now, false)
	}
}

// forget drops the links with hosts that are gone for good, so that the state
// does not grow with the hosts that are replaced.
func (h *Host) forget(now time.Time) {
	for _, peer := range h.peers() {
		l := h.links[peer]
		if l.up || l.down.IsZero() || now.Sub(l.down) < forgetAfter || h.named(peer) {
			continue
		}
		delete(h.links, peer)
		h.out.Forget = append(h.out.Forget, peer)
	}
}

// named returns whether the settings, the platform's list or a roster name a host.
func (h *Host) named(peer netip.AddrPort) bool {
	for _, s := range h.seeds {
		if s.Address == peer {
			return true
		}
	}
	return h.roster.PlaceOf(peer) != 0
}

// beatAll sends heartbeats to the hosts of this place, seeds included. One that
// got another message lately needs none, unless there is urgent news.
func (h *Host) beatAll(now time.Time, urgent bool) {
	sent := map[netip.AddrPort]bool{h.config.Self: true}
	for _, peer := range h.roster.Present() {
		sent[peer] = true
		if l := h.link(peer); urgent || now.Sub(l.sent) >= h.config.Beat || now.Sub(l.beaten) >= beatAtLeast {
			h.beat(now, peer)
		}
	}
	for _, s := range h.seeds {
		if s.Place == h.config.Place && !sent[s.Address] {
			sent[s.Address] = true
			h.beat(now, s.Address)
		}
	}
}

func (h *Host) beat(now time.Time, peer netip.AddrPort) {
	if peer == h.config.Self {
		return
	}
	l := h.link(peer)
	if !l.up || h.isRemote(peer) {
		return
	}
	l.beaten = now
	h.send(peer, &wire.Beat{
		Revision: h.view.Set.Revision, Leaving: h.roster.Leaving(), Rosters: h.roster.Digest(),
		Place: h.placeHash,
	})
}

// isRemote returns whether a host is known to be in another place.
func (h *Host) isRemote(peer netip.AddrPort) bool {
	for _, s := range h.seeds {
		if s.Address == peer {
			return s.Place != h.config.Place
		}
	}
	place := h.roster.PlaceOf(peer)
	return place != 0 && place != h.roster.Place()
}

// ownRoster returns the roster of this place to send.
func (h *Host) ownRoster(now time.Time, whole bool) *wire.Roster {
	r := h.roster.Own(now)
	r.Revision = h.view.Set.Revision
	if !whole {
		r.Same, r.Members = true, nil
	}
	return r
}

// spread tells all places and the members of this one that the roster changed.
func (h *Host) spread(now time.Time) {
	if h.roster.IsHead() {
		h.tellPlaces(now, true)
	}
}

// tellPlaces sends the roster of this place to the heads of the others.
func (h *Host) tellPlaces(now time.Time, whole bool) {
	if h.roster.Place() == 0 {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(h.view.Places)) {
		place := h.view.Places[number]
		if place.Number == h.roster.Place() {
			continue
		}
		head, ok := h.roster.Head(place.Number)
		if ok {
			h.send(head, h.ownRoster(now, whole))
			continue
		}
		h.trySeeds(now, place.Name)
	}
}

// trySeeds sends the roster to all seeds of a place whose hosts are not known.
func (h *Host) trySeeds(now time.Time, place string) {
	for _, s := range h.seeds {
		if s.Place == place && s.Address != h.config.Self && h.link(s.Address).up {
			h.send(s.Address, h.ownRoster(now, true))
		}
	}
}

// heard takes a heartbeat. A host that does not know yet which hosts are in its
// place sends to all; only one of the same place counts.
func (h *Host) heard(now time.Time, from netip.AddrPort, boot uint64, m *wire.Beat) {
	if m.Place != h.placeHash {
		h.compare(now, from, m.Revision)
		return
	}
	fresh := h.roster.Heard(now, from, boot, m.Leaving)
	h.link(from)
	if fresh {
		h.send(from, h.ownRoster(now, true))
		h.reshard(now)
		h.spread(now)
	}
	l := h.links[from]
	if h.roster.IsHead() && m.Rosters != h.roster.Digest() && now.Sub(l.taught) > resendAfter {
		l.taught = now
		for _, r := range h.roster.Rosters() {
			h.send(from, r)
		}
	}
	h.compare(now, from, m.Revision)
}

// learnRoster takes the roster of a place.
func (h *Host) learnRoster(now time.Time, from netip.AddrPort, m *wire.Roster) {
	h.compare(now, from, m.Revision)
	if m.Place == h.roster.Place() || m.Place == 0 {
		for _, member := range m.Members {
			if member.Address != h.config.Self {
				h.beat(now, member.Address)
			}
		}
		return
	}
	before := h.roster.Digest()
	newer, lacks := h.roster.Learn(m)
	if lacks || m.Want {
		reply := h.ownRoster(now, true)
		reply.Want = lacks
		h.send(from, reply)
	}
	if !newer || before == h.roster.Digest() {
		return
	}
	h.reshard(now)
	if h.roster.IsHead() {
		for _, peer := range h.roster.Present() {
			h.send(peer, m)
		}
	} else if head, ok := h.roster.Head(h.roster.Place()); ok && head != from {
		h.send(head, m)
	}
}

// peers returns the hosts that this host has links with.
func (h *Host) peers() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(h.links))
	for peer := range h.links {
		list = append(list, peer)
	}
	return sortAddresses(list)
}
