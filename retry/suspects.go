package retry

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of Suspects.
const (
	maxSuspects     = 4096             // requests that are remembered
	suspectLifetime = 10 * time.Minute // after the last crash
)

// crashRecord counts the crashes of targets while they ran one request.
type crashRecord struct {
	count  uint8
	lastAt time.Time // when the count last rose
}

// Suspects counts, by a digest of the request, the crashes of targets while they ran the request.
// It guards against requests that crash every target that runs them and that callers send again.
type Suspects struct {
	records *lru.Cache[uint64, crashRecord] // by digest
}

// NewSuspects returns an empty Suspects.
func NewSuspects() *Suspects {
	records, _ := lru.New[uint64, crashRecord](maxSuspects) // fails only for a size of 0
	return &Suspects{records: records}
}

// Count returns the number of crashes that count against a request.
func (s *Suspects) Count(now time.Time, digest uint64) uint8 {
	record, ok := s.records.Get(digest)
	if !ok || now.Sub(record.lastAt) > suspectLifetime {
		return 0
	}
	return record.count
}

// RaiseCount sets the number of crashes of a request. It returns false if the number is not higher
// than before.
func (s *Suspects) RaiseCount(now time.Time, digest uint64, count uint8) bool {
	if count <= s.Count(now, digest) {
		return false
	}
	s.records.Add(digest, crashRecord{count: count, lastAt: now})
	return true
}

// Clear forgets a request that ran to its end. It returns false if no crash counted against it.
func (s *Suspects) Clear(digest uint64) bool { return s.records.Remove(digest) }
