package history

import (
	"maps"
	"slices"
	"time"
)

// Keys is a set of keys that the store lists and whose absence allows something. A store that came back from a copy
// may have lost some of them, so those of an earlier era are kept for a grace period, in which they are written again,
// unless the new era says otherwise.
type Keys struct {
	grace  time.Duration
	read   bool // the set was read
	era    uint64
	listed map[string]bool
	kept   map[string]time.Time // keys that the era of listed does not mention, and when they end
}

// NewKeys returns an empty set with a grace period.
func NewKeys(grace time.Duration) *Keys {
	return &Keys{grace: grace, listed: map[string]bool{}, kept: map[string]time.Time{}}
}

// Replace sets the keys that the store lists in an era. Those that were believed to be listed until now, and are not,
// are kept for the grace period if this is the first read or the first of another era.
func (k *Keys) Replace(now time.Time, era uint64, listed, believed []string) {
	other := !k.read || era != k.era
	k.read, k.era, k.listed = true, era, map[string]bool{}
	for _, key := range listed {
		k.Set(key, true)
	}
	for _, key := range believed {
		if other && !k.listed[key] {
			k.kept[key] = now.Add(k.grace)
		}
	}
}

// Set records a key that the store lists from now on, or has removed.
func (k *Keys) Set(key string, listed bool) {
	delete(k.kept, key)
	delete(k.listed, key)
	if listed {
		k.listed[key] = true
	}
}

// All returns the keys that are listed or kept at a time, sorted.
func (k *Keys) All(now time.Time) []string {
	all := maps.Clone(k.listed)
	for key, end := range k.kept {
		if now.Before(end) {
			all[key] = true
			continue
		}
		delete(k.kept, key)
	}
	return slices.Sorted(maps.Keys(all))
}
