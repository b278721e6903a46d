package gateway

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

// knowledge is what the store told last, as it is passed on to peers.
type knowledge struct {
	mu          sync.Mutex
	config      []byte
	rows        []wire.TargetRow // targets in use, with those kept over an outage of the store
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

// setTargets takes the targets in use and the entries that were read, as of an awake
// time. An entry that is in use and was not read is kept as it was.
func (k *knowledge) setTargets(list []route.Target, read []wire.TargetRow, asOf time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := map[string]wire.TargetRow{}
	for _, rows := range [][]wire.TargetRow{k.rows, read} {
		for _, row := range rows {
			found[row.Key] = row
		}
	}
	k.rows = make([]wire.TargetRow, 0, len(list))
	for _, t := range list {
		k.rows = append(k.rows, found[t.ID])
	}
	k.digest, k.targetsAsOf = digestOf(list), asOf
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
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(t.Born.UnixMilli())))
	}
	return d.Sum64()
}
