package gateway

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	smallFleet     = 8                       // hosts up to which each reads the store
	fewReaders     = 4                       // least hosts that read the store for the others of a larger fleet
	hostsPerReader = 40                      // hosts that one reader answers, at most
	staleAge       = 1500 * time.Millisecond // of what a host knows, from which it counts as cut off from the store
)

// duty says how a host learns what the store tells.
type duty uint8

// The duties.
const (
	reader   duty = iota // reads the store
	asker                // asks a reader
	cutAsker             // asks others and, seldom, the store, since what it knows is old
)

// sighting is what is known of another host that was heard of.
type sighting struct {
	address netip.AddrPort
	fresh   bool // what it knows from the store is new
	reader  bool // it reads the store
}

// current returns whether a host reads the store with success.
func (s sighting) current() bool { return s.fresh && s.reader }

// dutyOf decides how a host learns what the store tells. It answers fleets so large
// that the store would be called by each host: a few read, and the hosts agree on
// which without a message, by rank among those whose knowledge is new. A host whose
// own knowledge is old compares with all, as nobody may have any that is new.
func dutyOf(self netip.AddrPort, age time.Duration, others []sighting) duty {
	cut := age >= staleAge
	before := 0
	rank := rankOf(self)
	for _, o := range others {
		if (o.fresh || cut) && rankOf(o.address) < rank {
			before++
		}
	}
	switch {
	case before < readersOf(len(others)+1):
		return reader
	case cut:
		return cutAsker
	default:
		return asker
	}
}

// readersOf returns how many hosts of a fleet read the store.
func readersOf(hosts int) int {
	if hosts <= smallFleet {
		return smallFleet
	}
	return max(fewReaders, (hosts+hostsPerReader-1)/hostsPerReader)
}

// rankOf orders the hosts in a way that mixes the data centres.
func rankOf(address netip.AddrPort) uint64 {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], peerNumber(address))
	return xxhash.Sum64(buf[:])
}

// duty returns how this host learns what the store tells.
func (g *Gateway) duty() duty {
	return dutyOf(g.settings.Peer, max(g.core.configAge(), g.storeCache.targetsAge()), g.peers.sightings())
}
