package gateway

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

// leastDecoded is the number of decoded entries that are kept in any case.
const leastDecoded = 64

// listingRead is how a listing takes targets: read here, or by another host.
type listingRead func(l *route.Listing, now time.Time, targets []route.Target) []route.Target

// failTargets takes a read of the list of targets that failed.
func (g *Gateway) failTargets() {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	g.listing.Fail()
}

// confirmTargets takes that another host read the list of targets as it is known here, as of an awake time.
func (g *Gateway) confirmTargets(asOf time.Duration) {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	g.listing.Confirm(time.Now().Add(asOf - awake()))
}

// takeTargets takes the list of targets as of an awake time, in the way that the
// listing takes it, unless a newer one is known. Entries that can't be used are left
// out.
func (g *Gateway) takeTargets(rows []wire.TargetRow, asOf time.Duration, take listingRead) {
	g.taking.Lock()
	defer g.taking.Unlock()
	if asOf < g.known.asOf() {
		return
	}
	list := make([]route.Target, 0, len(rows))
	for _, row := range rows {
		if t, ok := g.decodeTarget(row); ok {
			list = append(list, t)
		}
	}
	g.forgetDecoded(rows)
	g.core.mu.Lock()
	list = take(g.listing, time.Now(), list)
	before := g.setAddresses(list)
	g.core.board.SetTargets(list)
	g.core.mu.Unlock()
	g.known.setTargets(list, asOf)
	g.noteTargets(len(before), list)
	g.forgetAddresses(before)
}

// decodedTarget is an entry of the list of targets that was decoded before.
type decodedTarget struct {
	value  []byte
	target route.Target
	sound  bool
}

// decodeTarget decodes an entry unless it is as it was. It returns false if the entry can't be
// used. The caller holds the lock for taking targets.
func (g *Gateway) decodeTarget(row wire.TargetRow) (route.Target, bool) {
	if d, ok := g.decoded[row.Key]; ok && bytes.Equal(d.value, row.Value) {
		return d.target, d.sound
	}
	t, err := platform.DecodeTarget(platform.Row{Key: row.Key, Value: row.Value})
	if err == nil && g.settings.owns(t.Address) {
		err = errors.Wrapf(platform.ErrTarget, "%s is this host", t.Address)
	}
	if err != nil {
		g.record.badTarget(row.Key, err)
	}
	g.decoded[row.Key] = decodedTarget{value: row.Value, target: t, sound: err == nil}
	return t, err == nil
}

// forgetDecoded forgets entries that are gone, once there are many.
func (g *Gateway) forgetDecoded(rows []wire.TargetRow) {
	if len(g.decoded) <= 2*len(rows)+leastDecoded {
		return
	}
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key := range g.decoded {
		if !present[key] {
			delete(g.decoded, key)
		}
	}
}

// setAddresses takes the addresses of the targets and returns those before. The caller holds the
// lock of the core, so that a target that is chosen has its address.
func (g *Gateway) setAddresses(list []route.Target) map[string]netip.AddrPort {
	addresses := make(map[string]netip.AddrPort, len(list))
	for _, t := range list {
		addresses[t.ID] = t.Address
	}
	return *g.addresses.Swap(&addresses)
}

// noteTargets notes a list of targets in place of one of so many, if that tells anything.
func (g *Gateway) noteTargets(before int, list []route.Target) {
	leaving := 0
	for _, t := range list {
		if t.Leaving {
			leaving++
		}
	}
	if before != len(list) || leaving > 0 {
		g.record.targets(len(list)-leaving, leaving)
	}
}

// forgetAddresses closes the connections to the addresses that no target has any more.
func (g *Gateway) forgetAddresses(before map[string]netip.AddrPort) {
	kept := map[netip.AddrPort]bool{}
	for _, address := range *g.addresses.Load() {
		kept[address] = true
	}
	for _, address := range before {
		if !kept[address] {
			g.pool.CloseIdle(address)
		}
	}
}

// address returns the address of a target.
func (g *Gateway) address(id string) (netip.AddrPort, bool) {
	a, ok := (*g.addresses.Load())[id]
	return a, ok
}
