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

// knowledge is what the store told last, as it is passed on to peers.
type knowledge struct {
	mu          sync.Mutex
	config      []byte
	targets     []route.Target   // in use, with those kept over an outage of the store
	rows        []wire.TargetRow // their entries, nil until a host asks for them
	digest      uint64           // of the targets in use
	targetsAsOf time.Duration    // awake time
}

func (k *knowledge) setConfig(value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config = value
}

// renew takes the news that the list of targets with a digest is as of an awake time.
func (k *knowledge) renew(digest uint64, asOf time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.digest == digest {
		k.targetsAsOf = max(k.targetsAsOf, asOf)
	}
}

// setTargets takes the targets in use, as of an awake time.
func (k *knowledge) setTargets(list []route.Target, asOf time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.targets, k.rows = list, nil
	k.digest, k.targetsAsOf = digestOf(list), asOf
}

// entries returns the entries of the targets in use as they are passed on: with what is known of
// the targets and no more, since what others write beside it may be long. The caller holds the lock.
func (k *knowledge) entries() []wire.TargetRow {
	if k.rows == nil {
		k.rows = make([]wire.TargetRow, 0, len(k.targets))
		for _, t := range k.targets {
			k.rows = append(k.rows, wire.TargetRow{Key: t.ID, Value: platform.EncodeTarget(t)})
		}
	}
	return k.rows
}

func (k *knowledge) targetsAge() time.Duration { return awake() - k.asOf() }

// asOf returns the awake time of the list of targets.
func (k *knowledge) asOf() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targetsAsOf
}

func (k *knowledge) targetsDigest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.digest
}

// digestOf names a list of targets. How much longer a target is cold does not count.
func digestOf(list []route.Target) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b route.Target) int { return cmp.Compare(a.ID, b.ID) })
	d := xxhash.New()
	for _, t := range sorted {
		leaving := byte(0)
		if t.Leaving {
			leaving = 1
		}
		for _, text := range []string{t.ID, t.Service, t.Address.String(), t.Place} {
			_, _ = d.WriteString(text) // never fails
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{leaving}, uint64(t.Slots)))
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(t.StartedAt.UnixMilli())))
	}
	return d.Sum64()
}
