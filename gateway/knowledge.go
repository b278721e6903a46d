package gateway

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/history"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

// storeCache holds what was last read from the store, here or by another host, in the form in
// which it is passed on to other hosts.
type storeCache struct {
	mu             sync.Mutex
	config         []byte           // encoded configuration
	targets        []route.Target   // targets in use, including those kept while the store is down
	encodedTargets []wire.TargetRow // encoded targets, nil until a host asks for them
	digest         uint64           // of targets
	targetsAsOf    time.Duration    // time since boot at which targets were current
	evacuated      []string         // evacuated data centres, sorted
	evacuatedAsOf  history.Position // at which evacuated was read, version 0 before the first read
}

// storeEra returns the newest era of the store that this host has seen itself, or was told of by the host that it has
// the operator's data from.
func (g *Gateway) storeEra() uint64 { return max(g.client.History().Era(), g.storeCache.era()) }

// era returns the era of the store in which the operator's table was read.
func (c *storeCache) era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuatedAsOf.Era
}

// setConfig stores the encoding of the configuration in force.
func (c *storeCache) setConfig(value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = value
}

// confirmTargets records that the list of targets with a digest was current at a time since
// boot. It has no effect if another list is stored.
func (c *storeCache) confirmTargets(digest uint64, asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.digest == digest {
		c.targetsAsOf = max(c.targetsAsOf, asOf)
	}
}

// setTargets stores the targets in use, which were current at a time since boot.
func (c *storeCache) setTargets(list []route.Target, asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets, c.encodedTargets = list, nil
	c.digest, c.targetsAsOf = hashTargets(list), asOf
}

// versionsInUse returns the software versions of the targets in use, by ID.
func (c *storeCache) versionsInUse() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make(map[string]string, len(c.targets))
	for _, t := range c.targets {
		list[t.ID] = t.Version
	}
	return list
}

// targetRows returns the encoded targets. They are encoded from the decoded fields, not copied
// from the store, since the entries there may hold long data of other writers. The caller
// holds the lock.
func (c *storeCache) targetRows() []wire.TargetRow {
	if c.encodedTargets == nil {
		c.encodedTargets = make([]wire.TargetRow, 0, len(c.targets))
		for _, t := range c.targets {
			c.encodedTargets = append(c.encodedTargets, wire.TargetRow{Key: t.ID, Value: platform.EncodeTarget(t)})
		}
	}
	return c.encodedTargets
}

// targetsAge returns the time since the list of targets was last known to be current.
func (c *storeCache) targetsAge() time.Duration { return sinceBoot() - c.asOf() }

// asOf returns the time since boot at which the list of targets was current.
func (c *storeCache) asOf() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targetsAsOf
}

// targetsDigest returns the digest of the targets in use.
func (c *storeCache) targetsDigest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest
}

// Bits of the state of a target in the digest of a list of targets.
const (
	digestLeaving byte = 1 << iota
	digestCold
)

// hashTargets returns a digest of a list of targets that does not depend on their order. The
// time for which a target stays cold is left out, since it changes constantly; whether it is cold is included.
func hashTargets(list []route.Target) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b route.Target) int { return cmp.Compare(a.ID, b.ID) })
	d := xxhash.New()
	for _, t := range sorted {
		state := byte(0)
		if t.Leaving {
			state |= digestLeaving
		}
		if t.Cold > 0 {
			state |= digestCold
		}
		for _, text := range []string{t.ID, t.Service, t.Address.String(), t.Place, t.Version} {
			_, _ = d.WriteString(text) // never returns an error
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{state}, uint64(t.Slots)))
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(t.StartedAt.UnixMilli())))
	}
	return d.Sum64()
}
