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

// minDecodedKept is the number of decoded entries that are kept even if the list of targets is shorter.
const minDecodedKept = 64

// listingUpdate is the method of route.Listing that takes a list of targets: Read for one that this host read
// from the store, Relay for one from another host.
type listingUpdate func(l *route.Listing, now time.Time, targets []route.Target) []route.Target

// recordTargetsFailure tells the listing that a read of the list of targets failed.
func (g *Gateway) recordTargetsFailure() {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	g.listing.ReadFailed()
}

// recordTargetsRead tells the listing in which era of the store this host has read the next list.
func (g *Gateway) recordTargetsRead(era uint64) {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	g.listing.ReadIn(time.Now(), era)
}

// recordTargetsRelayed tells the listing which era of the store the host knows that told the list.
func (g *Gateway) recordTargetsRelayed(era uint64) {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	g.listing.RelayedIn(time.Now(), era)
}

// confirmTargets records that the list of targets known here was still current at asOf, as another host has
// read it. The time asOf is on the clock that also advances while the host is suspended.
func (g *Gateway) confirmTargets(asOf time.Duration) {
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	g.listing.Confirm(time.Now().Add(asOf - sinceBoot()))
}

// updateTargets replaces the list of targets by one that was read at asOf, unless a newer one is known. The
// time asOf is on the clock that also advances while the host is suspended. Invalid entries are left out.
func (g *Gateway) updateTargets(rows []wire.TargetRow, asOf time.Duration, take listingUpdate) {
	g.targetsMu.Lock()
	defer g.targetsMu.Unlock()
	if asOf < g.storeCache.asOf() {
		return
	}
	list := make([]route.Target, 0, len(rows))
	for _, row := range rows {
		if t, ok := g.decodeTarget(row); ok {
			list = append(list, t)
		}
	}
	g.pruneDecoded(rows)
	g.core.mu.Lock()
	list = take(g.listing, time.Now(), list)
	before := g.setEndpoints(list)
	g.core.board.SetTargets(list)
	g.core.mu.Unlock()
	g.storeCache.setTargets(list, asOf)
	g.recordTargets(len(before), list)
	g.closeUnusedConns(before)
}

// decodedTarget caches the result of decoding an entry of the list of targets.
type decodedTarget struct {
	value  []byte
	target route.Target
	valid  bool
}

// decodeTarget decodes an entry of the list of targets, or returns the cached result if the entry has not
// changed. It returns false if the entry is invalid. The caller holds the lock that serializes updates of the
// list.
func (g *Gateway) decodeTarget(row wire.TargetRow) (route.Target, bool) {
	if d, ok := g.decodedTargets[row.Key]; ok && bytes.Equal(d.value, row.Value) {
		return d.target, d.valid
	}
	t, err := platform.DecodeTarget(platform.Row{Key: row.Key, Value: row.Value})
	if err == nil && g.settings.listensAt(t.Address) {
		err = errors.Wrapf(platform.ErrInvalidTarget, "address %s belongs to this host", t.Address)
	}
	if err != nil {
		g.record.targetUnreadable(row.Key, err)
	}
	if t.Cold > 0 {
		t.ColdUntil = time.Now().Add(t.Cold)
	}
	g.decodedTargets[row.Key] = decodedTarget{value: row.Value, target: t, valid: err == nil}
	return t, err == nil
}

// pruneDecoded removes cached entries that are not in the list any more, once there are many.
func (g *Gateway) pruneDecoded(rows []wire.TargetRow) {
	if len(g.decodedTargets) <= 2*len(rows)+minDecodedKept {
		return
	}
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key := range g.decodedTargets {
		if !present[key] {
			delete(g.decodedTargets, key)
		}
	}
}

// endpoint is what a request is sent to: the address of a target and the software version that its entry gives.
type endpoint struct {
	address netip.AddrPort
	version string
}

// setEndpoints sets the endpoints of the targets and returns the previous ones. The caller holds the lock of
// the core, so that a target that is chosen always has its endpoint.
func (g *Gateway) setEndpoints(list []route.Target) map[string]endpoint {
	endpoints := make(map[string]endpoint, len(list))
	for _, t := range list {
		endpoints[t.ID] = endpoint{address: t.Address, version: t.Version}
	}
	return *g.targetEndpoints.Swap(&endpoints)
}

// recordTargets logs the list of targets if their number changed from before or a target is leaving.
func (g *Gateway) recordTargets(before int, list []route.Target) {
	leaving := 0
	for _, t := range list {
		if t.Leaving {
			leaving++
		}
	}
	if before != len(list) || leaving > 0 {
		g.record.targetsChanged(len(list)-leaving, leaving)
	}
}

// closeUnusedConns closes idle pooled connections to those of the previous addresses that no target has any
// more.
func (g *Gateway) closeUnusedConns(previous map[string]endpoint) {
	used := map[netip.AddrPort]bool{}
	for _, e := range *g.targetEndpoints.Load() {
		used[e.address] = true
	}
	for _, e := range previous {
		if !used[e.address] {
			g.pool.CloseIdle(e.address)
		}
	}
}

// address returns the address of the target with an id.
func (g *Gateway) address(id string) (netip.AddrPort, bool) {
	e, ok := g.endpoint(id)
	return e.address, ok
}

// endpoint returns the endpoint of the target with an id.
func (g *Gateway) endpoint(id string) (endpoint, bool) {
	e, ok := (*g.targetEndpoints.Load())[id]
	return e, ok
}
