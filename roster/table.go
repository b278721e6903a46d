// Package roster decides which hosts are live and which of them owns a shard.
//
// Hosts of the same place watch one another by heartbeat. The head of a place
// tells its roster to the heads of other places. The platform's lagging list
// adds hosts to try and confirms deaths.
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

// Config configures a Table.
type Config struct {
	Self  netip.AddrPort // address of this host for peers
	Boot  uint64         // start time of this process in Unix milliseconds
	Place uint32         // number of this host's place
	Dead  time.Duration  // silence after which a member is not live
	Doubt time.Duration  // time after which a silent member is taken for dead
}

// Listing is one host in the platform's list.
type Listing struct {
	Address netip.AddrPort
	Place   uint32
	Leaving bool
}

// member is a row for one host of this place.
type member struct {
	address netip.AddrPort
	boot    uint64
	heard   time.Time
	live    bool
	leaving bool
	lost    time.Time // when it fell silent; zero if it is live or known to be dead
}

// Table holds the hosts that are known.
type Table struct {
	config  Config
	members map[netip.AddrPort]*member
	remote  map[uint32]*wire.Roster
	leaving bool
	ticked  time.Time
	version uint64
	live    []netip.AddrPort // live members that can own, sorted; this host is one unless it is leaving
}

// NewTable returns a Table whose only live member is this host.
func NewTable(config Config) *Table {
	t := &Table{config: config, members: map[netip.AddrPort]*member{}, remote: map[uint32]*wire.Roster{}}
	t.rebuild()
	return t
}

// Place returns the number of this host's place.
func (t *Table) Place() uint32 { return t.config.Place }

// SetPlace sets the number of this host's place once the configuration tells it.
func (t *Table) SetPlace(place uint32) { t.config.Place = place }

// Heard takes a heartbeat of a host of this place. It returns true if the live
// members changed.
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
	m.boot, m.heard, m.leaving = boot, now, leaving
	m.live, m.lost = true, time.Time{}
	if changed {
		t.rebuild()
	}
	return changed
}

// Touch notes that a live member was heard of by another message than a heartbeat.
func (t *Table) Touch(now time.Time, address netip.AddrPort, boot uint64) {
	if m := t.members[address]; m != nil && m.live && m.boot == boot {
		m.heard = now
	}
}

// Refused takes the news that no process listens at a member's address. It
// returns true if the live members changed.
func (t *Table) Refused(address netip.AddrPort) bool {
	m := t.members[address]
	if m == nil {
		return false
	}
	changed := m.live
	m.live, m.lost = false, time.Time{}
	if changed {
		t.rebuild()
	}
	return changed
}

// Listed takes the platform's list. A silent member that the list no longer
// names is dead.
func (t *Table) Listed(listings []Listing) {
	named := map[netip.AddrPort]bool{}
	for _, l := range listings {
		named[l.Address] = !l.Leaving
	}
	for address, m := range t.members {
		if !m.live && !named[address] {
			m.lost = time.Time{}
		}
	}
}

// Sweep finds members that fell silent. It returns true if the live members
// changed. If this process itself was paused, silence is counted from now on.
func (t *Table) Sweep(now time.Time) bool {
	paused := !t.ticked.IsZero() && now.Sub(t.ticked) > t.config.Dead/2
	t.ticked = now
	changed := false
	for address, m := range t.members {
		if paused {
			m.heard = now
		}
		if m.live && now.Sub(m.heard) > t.config.Dead {
			m.live, m.lost = false, now
			changed = true
		}
		if !m.live && now.Sub(m.heard) > 100*t.config.Dead {
			delete(t.members, address)
		}
	}
	if changed {
		t.rebuild()
	}
	return changed
}

// Share returns the part of the slots of its shards that this host may use. It
// is less than 1 while silent members may live on the other side of a cut.
func (t *Table) Share(now time.Time) float64 {
	lost := 0
	for _, m := range t.members {
		if !m.lost.IsZero() && now.Sub(m.lost) < t.config.Doubt {
			lost++
		}
	}
	return float64(len(t.live)) / float64(max(1, len(t.live)+lost))
}

// Leave marks this host as leaving: it owns nothing from now on.
func (t *Table) Leave() {
	t.leaving = true
	t.rebuild()
}

// Leaving returns whether this host is leaving.
func (t *Table) Leaving() bool { return t.leaving }

// Live returns the addresses of the live members that can own, sorted.
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

func (t *Table) rebuild() {
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

// Owner returns the host that owns a shard. It returns false if none is known.
func (t *Table) Owner(shard wire.Shard) (netip.AddrPort, bool) {
	return first(t.hosts(shard.Place), shard)
}

// Standby returns the host that owns a shard once its owner is gone.
func (t *Table) Standby(shard wire.Shard) (netip.AddrPort, bool) {
	owner, ok := t.Owner(shard)
	if !ok {
		return netip.AddrPort{}, false
	}
	var rest []netip.AddrPort
	for _, address := range t.hosts(shard.Place) {
		if address != owner {
			rest = append(rest, address)
		}
	}
	return first(rest, shard)
}

// Head returns the host that speaks for a place.
func (t *Table) Head(place uint32) (netip.AddrPort, bool) {
	return t.Owner(wire.Shard{Place: place})
}

// IsHead returns whether this host speaks for its place.
func (t *Table) IsHead() bool {
	head, ok := t.Head(t.config.Place)
	return ok && head == t.config.Self
}

func (t *Table) hosts(place uint32) []netip.AddrPort {
	if place == t.config.Place {
		return t.live
	}
	r := t.remote[place]
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

// first returns the host with the highest rendezvous hash for a shard.
func first(hosts []netip.AddrPort, shard wire.Shard) (netip.AddrPort, bool) {
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	best := slices.MaxFunc(hosts, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(weigh(a, shard), weigh(b, shard)), a.Compare(b))
	})
	return best, true
}

func weigh(host netip.AddrPort, shard wire.Shard) uint64 {
	key, _ := host.MarshalBinary()
	key = binary.BigEndian.AppendUint32(key, shard.Service)
	key = binary.BigEndian.AppendUint32(key, shard.Place)
	return xxhash.Sum64(key)
}
