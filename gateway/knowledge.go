package gateway

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
}

// setConfig stores the encoding of the configuration in force.
func (k *storeCache) setConfig(value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config = value
}

// confirmTargets records that the list of targets with a digest was current at a time since
// boot. It has no effect if another list is stored.
func (k *storeCache) confirmTargets(digest uint64, asOf time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.digest == digest {
		k.targetsAsOf = max(k.targetsAsOf, asOf)
	}
}

// setTargets stores the targets in use, which were current at a time since boot.
func (k *storeCache) setTargets(list []route.Target, asOf time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.targets, k.encodedTargets = list, nil
	k.digest, k.targetsAsOf = hashTargets(list), asOf
}

// targetRows returns the encoded targets. They are encoded from the decoded fields, not copied
// from the store, since the entries there may hold long data of other writers. The caller
// holds the lock.
func (k *storeCache) targetRows() []wire.TargetRow {
	if k.encodedTargets == nil {
		k.encodedTargets = make([]wire.TargetRow, 0, len(k.targets))
		for _, t := range k.targets {
			k.encodedTargets = append(k.encodedTargets, wire.TargetRow{Key: t.ID, Value: platform.EncodeTarget(t)})
		}
	}
	return k.encodedTargets
}

// targetsAge returns the time since the list of targets was last known to be current.
func (k *storeCache) targetsAge() time.Duration { return sinceBoot() - k.asOf() }

// asOf returns the time since boot at which the list of targets was current.
func (k *storeCache) asOf() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targetsAsOf
}

// targetsDigest returns the digest of the targets in use.
func (k *storeCache) targetsDigest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.digest
}

// hashTargets returns a digest of a list of targets that does not depend on their order. The
// time for which a target stays cold is left out, since it changes constantly.
func hashTargets(list []route.Target) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b route.Target) int { return cmp.Compare(a.ID, b.ID) })
	d := xxhash.New()
	for _, t := range sorted {
		leaving := byte(0)
		if t.Leaving {
			leaving = 1
		}
		for _, text := range []string{t.ID, t.Service, t.Address.String(), t.Place} {
			_, _ = d.WriteString(text) // never returns an error
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{leaving}, uint64(t.Slots)))
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(t.Born.UnixMilli())))
	}
	return d.Sum64()
}
