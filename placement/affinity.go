package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds on the prompt prefixes remembered, so that memory use does not grow with the number of
// targets.
const (
	maxPrefixesTotal     = 1 << 16 // of all targets
	maxPrefixesPerTarget = 4096    // of one target
	minPrefixesPerTarget = 256
)

// maxPromptTokens caps the length of a prompt, in tokens. It is far more than an engine holds, and
// few enough that no time or sum computed from it overflows.
const maxPromptTokens = 1 << 26

// prefixesPerTarget returns how many prompt prefixes are remembered for each target.
func prefixesPerTarget(targets int) int {
	return min(maxPrefixesPerTarget, max(minPrefixesPerTarget, maxPrefixesTotal/max(1, targets)))
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// PrefixChain identifies each shared prefix of a prompt. An engine caches a part of a prompt only
// together with all parts before it.
type PrefixChain struct {
	Hashes  []uint64 // hash of each shared prefix, the shortest first
	Lengths []int    // length of each shared prefix in prompt tokens
	Total   int      // tokens of the whole prompt
}

// NewPrefixChain returns the PrefixChain of a prompt. The last part is private to the request
// and not shared.
func NewPrefixChain(parts []Part, total int) PrefixChain {
	c := PrefixChain{Total: min(max(0, total), maxPromptTokens)}
	sum := 0
	hash := uint64(0)
	for _, p := range parts[:max(0, len(parts)-1)] {
		sum = min(sum+min(max(0, p.Tokens), maxPromptTokens), maxPromptTokens)
		hash = hashPair(hash, p.ID)
		c.Hashes = append(c.Hashes, hash)
		c.Lengths = append(c.Lengths, sum)
	}
	c.Total = max(c.Total, sum)
	return c
}

// LongestPrefix returns the hash of the longest shared prefix, 0 if there is none.
func (c PrefixChain) LongestPrefix() uint64 {
	if len(c.Hashes) == 0 {
		return 0
	}
	return c.Hashes[len(c.Hashes)-1]
}

// SharedTokens returns the length of the longest shared prefix in tokens.
func (c PrefixChain) SharedTokens() int {
	if len(c.Lengths) == 0 {
		return 0
	}
	return c.Lengths[len(c.Lengths)-1]
}

// hashPair returns a hash of two numbers.
func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// prefixCache remembers which prompt prefixes a target has cached.
type prefixCache struct {
	hashes *lru.Cache[uint64, struct{}]
}

// newPrefixCache returns an empty cache for a number of prefixes.
func newPrefixCache(size int) *prefixCache {
	hashes, _ := lru.New[uint64, struct{}](size) // fails only for a size of 0
	return &prefixCache{hashes: hashes}
}

// resize changes how many prefixes are remembered.
func (m *prefixCache) resize(size int) { m.hashes.Resize(size) }

// match returns how many tokens of a prompt the target has cached.
func (m *prefixCache) match(c PrefixChain) int {
	for i := len(c.Hashes) - 1; i >= 0; i-- {
		if m.hashes.Contains(c.Hashes[i]) {
			return c.Lengths[i]
		}
	}
	return 0
}

// add remembers the shared prefixes of a prompt.
func (m *prefixCache) add(c PrefixChain) {
	for _, hash := range c.Hashes {
		m.hashes.Add(hash, struct{}{})
	}
}

// clear forgets all prefixes, as after a restart of the target.
func (m *prefixCache) clear() { m.hashes.Purge() }
