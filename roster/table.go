// Package roster decides which hosts are live and which of them owns a shard.
//
// Hosts of the same place watch one another by heartbeat. The head of a place sends the roster of its
// place, the list of its live hosts, to the heads of other places. The list of hosts that the platform
// keeps lags behind; it names hosts to try to reach, and confirms that a silent host is dead.
package roster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/wire"
)

// Config holds the parameters of a Table.
type Config struct {
	Self         netip.AddrPort // address of this host for peers
	Boot         uint64         // start time of this process in Unix milliseconds
	Place        uint32         // number of this host's place
	SilenceLimit time.Duration  // silence after which a member no longer counts as live
	DeathTimeout time.Duration  // time after which a silent member counts as dead
}

// Listing is one host in the platform's list of hosts.
type Listing struct {
	Address netip.AddrPort
	Place   uint32
	Leaving bool
}

// member is the state of one other host of this place.
type member struct {
	address     netip.AddrPort
	boot        uint64    // start time of its process in Unix milliseconds
	heardAt     time.Time // when its last message arrived
	live        bool
	leaving     bool      // is shutting down and owns no shard
	silentSince time.Time // when it fell silent; zero if it is live or known to be dead
}

// Table holds the known hosts of all places and computes the owners of shards from them.
type Table struct {
	config        Config
	members       map[netip.AddrPort]*member // other hosts of this place
	remoteRosters map[uint32]*wire.Roster    // by place
	leaving       bool                       // this host is shutting down
	sweptAt       time.Time                  // last call of Sweep
	version       uint64                     // of this place's roster
	live          []netip.AddrPort           // hosts of this place that can own a shard, sorted; this host is one unless it is leaving
}

// NewTable returns a Table whose only live member is this host.
func NewTable(config Config) *Table {
	t := &Table{config: config, members: map[netip.AddrPort]*member{}, remoteRosters: map[uint32]*wire.Roster{}}
	t.rebuildLive()
	return t
}

// Place returns the number of this host's place.
func (t *Table) Place() uint32 { return t.config.Place }

// SetPlace sets the number of this host's place once the configuration is known.
func (t *Table) SetPlace(place uint32) { t.config.Place = place }

// Heard records a heartbeat of another host of this place. It returns true if the live members
// changed. A heartbeat of an earlier process is ignored.
func (t *Table) Heard(now time.Time, address netip.AddrPort, boot uint64, leaving bool) bool {
	m := t.members[address]
	if m == nil {
		m = &member{address: address}
		t.members[address] = m
	}
	if boot < m.boot {
		return false
	}
	changed := !m.live || m.leaving != leaving || m.boot != boot
	m.boot, m.heardAt, m.leaving = boot, now, leaving
	m.live, m.silentSince = true, time.Time{}
	if changed {
		t.rebuildLive()
	}
	return changed
}

// Touch records that a message other than a heartbeat came from a live member.
func (t *Table) Touch(now time.Time, address netip.AddrPort, boot uint64) {
	if m := t.members[address]; m != nil && m.live && m.boot == boot {
		m.heardAt = now
	}
}

// MarkUnreachable records that no process listens at the address of a member, which is dead then. It
// returns true if the live members changed.
func (t *Table) MarkUnreachable(address netip.AddrPort) bool {
	m := t.members[address]
	if m == nil {
		return false
	}
	changed := m.live
	m.live, m.silentSince = false, time.Time{}
	if changed {
		t.rebuildLive()
	}
	return changed
}

// ApplyListings takes the platform's list. A silent member that the list does not name, or names as
// leaving, is dead.
func (t *Table) ApplyListings(listings []Listing) {
	named := map[netip.AddrPort]bool{}
	for _, l := range listings {
		named[l.Address] = !l.Leaving
	}
	for address, m := range t.members {
		if !m.live && !named[address] {
			m.silentSince = time.Time{}
		}
	}
}

// Sweep finds members that fell silent, and forgets those silent for long. It returns true if the
// live members changed. If this process itself was paused, silence is counted from now on.
func (t *Table) Sweep(now time.Time) bool {
	paused := !t.sweptAt.IsZero() && now.Sub(t.sweptAt) > t.config.SilenceLimit/2
	t.sweptAt = now
	changed := false
	for address, m := range t.members {
		if paused {
			m.heardAt = now
		}
		if m.live && now.Sub(m.heardAt) > t.config.SilenceLimit {
			m.live, m.silentSince = false, now
			changed = true
		}
		if !m.live && now.Sub(m.heardAt) > 100*t.config.SilenceLimit {
			delete(t.members, address)
		}
	}
	if changed {
		t.rebuildLive()
	}
	return changed
}

// UsableShare returns the part of the slots of its shards that this host may use. It is less than 1
// while silent members may be live on the other side of a network partition and grant the same
// slots.
func (t *Table) UsableShare(now time.Time) float64 {
	silent := 0
	for _, m := range t.members {
		if !m.silentSince.IsZero() && now.Sub(m.silentSince) < t.config.DeathTimeout {
			silent++
		}
	}
	return float64(len(t.live)) / float64(max(1, len(t.live)+silent))
}

// Leave marks this host as leaving: it owns nothing from now on.
func (t *Table) Leave() {
	t.leaving = true
	t.rebuildLive()
}

// Leaving returns whether this host is leaving.
func (t *Table) Leaving() bool { return t.leaving }

// Live returns the addresses of the hosts of this place that can own a shard, sorted.
func (t *Table) Live() []netip.AddrPort { return t.live }

// Present returns the other live members of this place, leaving ones included.
func (t *Table) Present() []netip.AddrPort {
	var list []netip.AddrPort
	for address, m := range t.members {
		if m.live {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// rebuildLive recomputes the hosts that Live returns.
func (t *Table) rebuildLive() {
	t.live = t.live[:0:0]
	if !t.leaving {
		t.live = append(t.live, t.config.Self)
	}
	for address, m := range t.members {
		if m.live && !m.leaving {
			t.live = append(t.live, address)
		}
	}
	slices.SortFunc(t.live, netip.AddrPort.Compare)
}

// Owner returns the host that owns a shard, and whether one is known.
func (t *Table) Owner(shard wire.Shard) (netip.AddrPort, bool) {
	return highestHash(t.ownerCandidates(shard.Place), shard)
}

// Standby returns the host that owns a shard once its owner is gone, and whether one is known.
func (t *Table) Standby(shard wire.Shard) (netip.AddrPort, bool) {
	owner, ok := t.Owner(shard)
	if !ok {
		return netip.AddrPort{}, false
	}
	var rest []netip.AddrPort
	for _, address := range t.ownerCandidates(shard.Place) {
		if address != owner {
			rest = append(rest, address)
		}
	}
	return highestHash(rest, shard)
}

// Head returns the host that exchanges rosters with other places for a place, and whether one is
// known.
func (t *Table) Head(place uint32) (netip.AddrPort, bool) {
	return t.Owner(wire.Shard{Place: place})
}

// IsHead returns whether this host is the head of its place.
func (t *Table) IsHead() bool {
	head, ok := t.Head(t.config.Place)
	return ok && head == t.config.Self
}

// ownerCandidates returns the hosts of a place that can own a shard.
func (t *Table) ownerCandidates(place uint32) []netip.AddrPort {
	if place == t.config.Place {
		return t.live
	}
	r := t.remoteRosters[place]
	if r == nil {
		return nil
	}
	var list []netip.AddrPort
	for _, m := range r.Members {
		if !m.Leaving {
			list = append(list, m.Address)
		}
	}
	return list
}

// highestHash returns the host with the highest rendezvous hash for a shard, and false if there
// is no host.
func highestHash(hosts []netip.AddrPort, shard wire.Shard) (netip.AddrPort, bool) {
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	best := slices.MaxFunc(hosts, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(rendezvousHash(a, shard), rendezvousHash(b, shard)), a.Compare(b))
	})
	return best, true
}

// rendezvousHash returns the hash of a host and a shard.
func rendezvousHash(host netip.AddrPort, shard wire.Shard) uint64 {
	key, _ := host.MarshalBinary()
	key = binary.BigEndian.AppendUint32(key, shard.Service)
	key = binary.BigEndian.AppendUint32(key, shard.Place)
	return xxhash.Sum64(key)
}
