package roster

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/wire"
)

// OwnRoster returns the roster of this host's place. Its version is the time in Unix milliseconds, but
// always higher than the version before.
func (t *Table) OwnRoster(now time.Time) *wire.Roster {
	t.version = max(t.version+1, uint64(now.UnixMilli()))
	r := &wire.Roster{Place: t.config.Place, Version: t.version}
	r.Members = append(r.Members, wire.Member{Address: t.config.Self, Boot: t.config.Boot, Leaving: t.leaving})
	for _, address := range t.Present() {
		m := t.members[address]
		r.Members = append(r.Members, wire.Member{Address: address, Boot: m.boot, Leaving: m.leaving})
	}
	slices.SortFunc(r.Members, func(a, b wire.Member) int { return a.Address.Compare(b.Address) })
	r.Digest = memberDigest(r.Members)
	return r
}

// MergeRoster stores the roster of another place if it is newer than the known one; newer tells whether it
// was stored. needsMembers is true if the roster omits its members as unchanged, but they are not known
// here, so that they have to be requested.
func (t *Table) MergeRoster(r *wire.Roster) (newer, needsMembers bool) {
	if r.Place == t.config.Place || r.Place == 0 {
		return false, false
	}
	known := t.remoteRosters[r.Place]
	if known != nil && known.Version >= r.Version {
		return false, false
	}
	if r.MembersOmitted {
		if known == nil || memberDigest(known.Members) != r.Digest {
			return false, true
		}
		r = &wire.Roster{Place: r.Place, Version: r.Version, Revision: r.Revision, Members: known.Members}
	}
	t.remoteRosters[r.Place] = r
	return true, false
}

// memberDigest returns a hash of the members of a roster, to detect whether they are unchanged.
func memberDigest(members []wire.Member) uint32 {
	var key []byte
	for _, m := range members {
		address, _ := m.Address.MarshalBinary()
		key = append(key, address...)
		key = binary.BigEndian.AppendUint64(key, m.Boot)
		if m.Leaving {
			key = append(key, 1)
		}
	}
	return uint32(xxhash.Sum64(key))
}

// Rosters returns the known rosters of other places, ordered by place.
func (t *Table) Rosters() []*wire.Roster {
	var list []*wire.Roster
	for _, place := range slices.Sorted(maps.Keys(t.remoteRosters)) {
		list = append(list, t.remoteRosters[place])
	}
	return list
}

// Digest returns a hash of the known rosters of other places, to compare them with those of
// another host.
func (t *Table) Digest() uint32 {
	var key []byte
	for _, r := range t.Rosters() {
		key = binary.BigEndian.AppendUint32(key, r.Place)
		key = binary.BigEndian.AppendUint32(key, memberDigest(r.Members))
	}
	return uint32(xxhash.Sum64(key))
}

// PlaceOf returns the number of the place of a host, or 0 if the host is not known.
func (t *Table) PlaceOf(address netip.AddrPort) uint32 {
	if _, ok := t.members[address]; ok || address == t.config.Self {
		return t.config.Place
	}
	for place, r := range t.remoteRosters {
		for _, m := range r.Members {
			if m.Address == address {
				return place
			}
		}
	}
	return 0
}

// RemoveRemote removes a host of another place, to which the connection failed, from the known roster
// until a newer roster names it again.
func (t *Table) RemoveRemote(address netip.AddrPort) {
	for place, r := range t.remoteRosters {
		kept := slices.DeleteFunc(slices.Clone(r.Members), func(m wire.Member) bool { return m.Address == address })
		if len(kept) < len(r.Members) {
			t.remoteRosters[place] = &wire.Roster{Place: place, Version: r.Version, Members: kept}
		}
	}
}
