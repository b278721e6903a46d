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
	rosterInterval           = time.Second            // between rosters to other places
	cutOffAfter              = time.Second            // a peer whose link is down for this long counts as cut off
	maxHeartbeatInterval     = 2 * time.Second        // other messages replace heartbeats no longer than this, as heartbeats carry the revision
	pruneInterval            = 10 * time.Second       // between searches for links to drop
	pruneAfter               = time.Minute            // how long a link must be down before it may be dropped
	minConfigRequestInterval = 200 * time.Millisecond // between two requests to peers for their configuration
	minRosterResendInterval  = time.Second            // between two transfers of all known rosters to one member
)

// link is the state of the session with one peer.
type link struct {
	connected     bool      // messages reach the peer
	cutOff        bool      // the peer counts as gone: it refused connections, or the link was down for cutOffAfter
	downSince     time.Time // when the link went down, zero while it is up
	boot          uint64    // start time of the peer's process, 0 before the first connection
	sentAt        time.Time // when a message was last sent
	heartbeatAt   time.Time // when a heartbeat was last sent
	rostersSentAt time.Time // when the rosters of other places were last sent
}

// linkTo returns the link with a peer. The first call for a peer creates the
// link and requests a session.
func (h *Host) linkTo(peer netip.AddrPort) *link {
	l := h.links[peer]
	if l == nil {
		l = &link{}
		h.links[peer] = l
		h.commands.Connect = append(h.commands.Connect, peer)
	}
	return l
}

// PeerUp records that messages reach a peer. fresh means that the peer has
// received none of the messages sent before, such as after a restart.
func (h *Host) PeerUp(now time.Time, peer netip.AddrPort, boot uint64, fresh bool) {
	h.setTime(now)
	l := h.linkTo(peer)
	known := l.boot != 0
	wasCutOff := l.cutOff
	l.connected, l.cutOff, l.downSince, l.boot = true, false, time.Time{}, boot
	if known && fresh {
		h.dropTicketsOf(now, peer)
	}
	if wasCutOff {
		h.updateOwnership(now)
	}
	if fresh || wasCutOff {
		h.resyncPeer(now, peer)
		h.sendHeldTraits(now, peer)
	}
	h.sendHeartbeat(now, peer)
	if h.isRemote(peer) {
		h.send(peer, h.ownRoster(now, true))
	}
}

// PeerDown records that a connection to a peer failed. refused means that no
// process listens at the peer's address.
func (h *Host) PeerDown(now time.Time, peer netip.AddrPort, refused bool) {
	h.setTime(now)
	l := h.links[peer]
	if l == nil {
		return
	}
	if l.downSince.IsZero() {
		l.downSince = now
	}
	l.connected = false
	if refused && !l.cutOff {
		l.cutOff = true
		changed := h.roster.MarkUnreachable(peer)
		h.roster.RemoveRemote(peer)
		h.dropLostHost(now, peer)
		h.updateOwnership(now)
		if changed {
			h.announceRoster(now)
		}
	}
}

// dropLostHost removes the tickets and grants of a host that is gone or cannot
// be reached, and presents the tickets that waited at its shards to their home
// place again.
func (h *Host) dropLostHost(now time.Time, peer netip.AddrPort) {
	h.dropTicketsOf(now, peer)
	h.intake.HandleOwnerLost(now, peer)
}

// dropTicketsOf removes the tickets and grants of a host from the shards owned
// here.
func (h *Host) dropTicketsOf(now time.Time, peer netip.AddrPort) {
	for _, shard := range h.ownedShards() {
		h.shards[shard].RemoveHost(now, peer)
	}
}

// resyncPeer reports to a peer the running and waiting requests of this host at
// the shards that the peer owns.
func (h *Host) resyncPeer(now time.Time, peer netip.AddrPort) {
	for _, shard := range h.allShards() {
		if h.owners[shard] == peer {
			h.intake.Resync(now, shard, peer)
		}
	}
}

// SetListedHosts takes the platform's list of hosts, which replaces the former list.
func (h *Host) SetListedHosts(now time.Time, seeds []Seed) {
	h.setTime(now)
	h.seeds = append(append([]Seed(nil), h.config.Seeds...), seeds...)
	var listings []roster.Listing
	for _, s := range seeds {
		listings = append(listings, roster.Listing{
			Address: s.Address, Place: h.view.PlaceNumber(s.Place), Leaving: s.Leaving,
		})
	}
	h.roster.ApplyListings(listings)
}

// updateMembership detects silent and unreachable hosts, and does the periodic
// work of membership: heartbeats, rosters for other places, and pruning of
// links.
func (h *Host) updateMembership(now time.Time) {
	before := h.roster.Present()
	if h.roster.Sweep(now) {
		for _, peer := range before {
			if l := h.linkTo(peer); !l.connected && l.cutOff {
				h.dropLostHost(now, peer)
			}
		}
		h.updateOwnership(now)
		h.announceRoster(now)
	}
	for _, peer := range h.linkedPeers() {
		l := h.links[peer]
		if l != nil && !l.connected && !l.cutOff && !l.downSince.IsZero() && now.Sub(l.downSince) > cutOffAfter {
			l.cutOff = true
			h.dropLostHost(now, peer)
			h.updateOwnership(now)
		}
	}
	if now.Sub(h.prunedAt) >= pruneInterval {
		h.prunedAt = now
		h.pruneLinks(now)
	}
	if now.Sub(h.heartbeatsAt) >= h.config.HeartbeatInterval {
		h.heartbeatsAt = now
		h.sendHeartbeats(now, false)
	}
	if now.Sub(h.rosterSentAt) >= rosterInterval && h.roster.IsHead() {
		h.rosterSentAt = now
		h.sendRosterToPlaces(now, false)
	}
}

// pruneLinks drops the links with hosts that are gone for good, so that memory
// does not grow with every host that is replaced.
func (h *Host) pruneLinks(now time.Time) {
	for _, peer := range h.linkedPeers() {
		l := h.links[peer]
		if l.connected || l.downSince.IsZero() || now.Sub(l.downSince) < pruneAfter || h.isListed(peer) {
			continue
		}
		delete(h.links, peer)
		h.commands.Disconnect = append(h.commands.Disconnect, peer)
	}
}

// isListed reports whether the settings, the platform's list or a roster
// contains a host.
func (h *Host) isListed(peer netip.AddrPort) bool {
	for _, s := range h.seeds {
		if s.Address == peer {
			return true
		}
	}
	return h.roster.PlaceOf(peer) != 0
}

// sendHeartbeats sends heartbeats to the hosts of this place, seeds included. A
// live host that was sent any message within the heartbeat interval is left
// out, until maxHeartbeatInterval is over. If urgent is set, none is left out.
func (h *Host) sendHeartbeats(now time.Time, urgent bool) {
	sent := map[netip.AddrPort]bool{h.config.Self: true}
	for _, peer := range h.roster.Present() {
		sent[peer] = true
		if l := h.linkTo(peer); urgent || now.Sub(l.sentAt) >= h.config.HeartbeatInterval || now.Sub(l.heartbeatAt) >= maxHeartbeatInterval {
			h.sendHeartbeat(now, peer)
		}
	}
	for _, s := range h.seeds {
		if s.Place == h.config.Place && !sent[s.Address] {
			sent[s.Address] = true
			h.sendHeartbeat(now, s.Address)
		}
	}
}

// sendHeartbeat sends a heartbeat to a peer if its link is up and it is not
// known to be in another place.
func (h *Host) sendHeartbeat(now time.Time, peer netip.AddrPort) {
	if peer == h.config.Self {
		return
	}
	l := h.linkTo(peer)
	if !l.connected || h.isRemote(peer) {
		return
	}
	l.heartbeatAt = now
	h.send(peer, &wire.Heartbeat{
		Revision: h.view.Set.Revision, Leaving: h.roster.Leaving(), Rosters: h.roster.Digest(),
		Place: h.placeHash,
	})
}

// isRemote reports whether a host is known to be in another place.
func (h *Host) isRemote(peer netip.AddrPort) bool {
	for _, s := range h.seeds {
		if s.Address == peer {
			return s.Place != h.config.Place
		}
	}
	place := h.roster.PlaceOf(peer)
	return place != 0 && place != h.roster.Place()
}

// ownRoster returns the roster of this place as a message. Unless whole is set,
// it holds the digest of the members in place of the members.
func (h *Host) ownRoster(now time.Time, whole bool) *wire.Roster {
	r := h.roster.OwnRoster(now)
	r.Revision = h.view.Set.Revision
	if !whole {
		r.MembersOmitted, r.Members = true, nil
	}
	return r
}

// announceRoster sends a changed roster to the other places if this host is the
// head of its place.
func (h *Host) announceRoster(now time.Time) {
	if h.roster.IsHead() {
		h.sendRosterToPlaces(now, true)
	}
}

// sendRosterToPlaces sends the roster of this place to the heads of the other
// places.
func (h *Host) sendRosterToPlaces(now time.Time, whole bool) {
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
		h.sendRosterToSeeds(now, place.Name)
	}
}

// sendRosterToSeeds sends the roster of this place to all reachable seeds of a
// place whose head is not known.
func (h *Host) sendRosterToSeeds(now time.Time, place string) {
	for _, s := range h.seeds {
		if s.Place == place && s.Address != h.config.Self && h.linkTo(s.Address).connected {
			h.send(s.Address, h.ownRoster(now, true))
		}
	}
}

// handleHeartbeat handles a heartbeat of a peer. A host that does not know yet
// which hosts are in its place sends heartbeats to all, so one from another
// place does not make its sender a member here.
func (h *Host) handleHeartbeat(now time.Time, from netip.AddrPort, boot uint64, m *wire.Heartbeat) {
	if m.Place != h.placeHash {
		h.requestNewerConfig(now, from, m.Revision)
		return
	}
	fresh := h.roster.Heard(now, from, boot, m.Leaving)
	h.linkTo(from)
	if fresh {
		h.send(from, h.ownRoster(now, true))
		h.updateOwnership(now)
		h.announceRoster(now)
	}
	l := h.links[from]
	if h.roster.IsHead() && m.Rosters != h.roster.Digest() && now.Sub(l.rostersSentAt) > minRosterResendInterval {
		l.rostersSentAt = now
		for _, r := range h.roster.Rosters() {
			h.send(from, r)
		}
	}
	h.requestNewerConfig(now, from, m.Revision)
}

// handleRoster handles a roster. Heartbeats go to the members of one of this
// place, or of a place whose number the sender does not know. A new roster of
// another place is stored and passed on: by the head to the members of this
// place, by any other host to the head.
func (h *Host) handleRoster(now time.Time, from netip.AddrPort, m *wire.Roster) {
	h.requestNewerConfig(now, from, m.Revision)
	if m.Place == h.roster.Place() || m.Place == 0 {
		for _, member := range m.Members {
			if member.Address != h.config.Self {
				h.sendHeartbeat(now, member.Address)
			}
		}
		return
	}
	before := h.roster.Digest()
	newer, needsMembers := h.roster.MergeRoster(m)
	if needsMembers || m.WantsMembers {
		reply := h.ownRoster(now, true)
		reply.WantsMembers = needsMembers
		h.send(from, reply)
	}
	if !newer || before == h.roster.Digest() {
		return
	}
	h.updateOwnership(now)
	if h.roster.IsHead() {
		for _, peer := range h.roster.Present() {
			h.send(peer, m)
		}
	} else if head, ok := h.roster.Head(h.roster.Place()); ok && head != from {
		h.send(head, m)
	}
}

// linkedPeers returns the peers that this host has links with, sorted.
func (h *Host) linkedPeers() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(h.links))
	for peer := range h.links {
		list = append(list, peer)
	}
	return sortAddresses(list)
}
