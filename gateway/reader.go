package gateway

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	smallFleet     = 8                       // largest fleet in which every host reads the store
	minReaders     = 4                       // least number of hosts of a larger fleet that read the store for the others
	hostsPerReader = 40                      // most hosts that rely on one reader
	staleAge       = 1500 * time.Millisecond // age of the data of a host from which it counts as cut off from the store
)

// storeRole says how a host gets the configuration and the list of targets from the store.
type storeRole uint8

// Roles of a host towards the store.
const (
	roleReader   storeRole = iota // reads the store
	roleAsker                     // asks a reader
	roleIsolated                  // its data is stale: asks other hosts and, less often, the store
)

// peerStatus is what is known about another host that is alive.
type peerStatus struct {
	address netip.AddrPort
	fresh   bool // its data from the store is fresh
	reader  bool // it reads the store
}

// isReader returns whether the host reads the store, and successfully.
func (s peerStatus) isReader() bool { return s.fresh && s.reader }

// storeRoleOf decides how a host gets the contents of the store. In a large fleet only a few hosts read the
// store, so that it is not called by all. The hosts agree on the readers without a message, by their rank
// among the hosts with fresh data. A host whose own data is stale compares itself with all hosts, since
// perhaps none has fresh data.
func storeRoleOf(self netip.AddrPort, age time.Duration, others []peerStatus) storeRole {
	stale := age >= staleAge
	ahead := 0
	rank := hostRank(self)
	for _, o := range others {
		if (o.fresh || stale) && hostRank(o.address) < rank {
			ahead++
		}
	}
	switch {
	case ahead < readerCount(len(others)+1):
		return roleReader
	case stale:
		return roleIsolated
	default:
		return roleAsker
	}
}

// readerCount returns how many hosts of a fleet read the store at most. In a small fleet all do.
func readerCount(hosts int) int {
	if hosts <= smallFleet {
		return smallFleet
	}
	return max(minReaders, (hosts+hostsPerReader-1)/hostsPerReader)
}

// hostRank returns the rank of a host as a hash of its address, so that the readers are spread over the data
// centres.
func hostRank(address netip.AddrPort) uint64 {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], hostNumber(address))
	return xxhash.Sum64(buf[:])
}

// storeRole returns the current role of this host.
func (g *Gateway) storeRole() storeRole {
	return storeRoleOf(g.settings.Peer, max(g.core.configAge(), g.storeCache.targetsAge()), g.peers.livePeers())
}
