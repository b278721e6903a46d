package retry

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	suspectEntries = 4096
	suspectLife    = 10 * time.Minute
)

// crashes is what is known of a request that ran on a target that crashed.
type crashes struct {
	count uint8
	last  time.Time
}

// Suspects counts the crashes of targets that coincided with each request, by a
// digest of the request. It answers requests that crash every target that runs
// them and that callers send again.
type Suspects struct {
	rows *lru.Cache[uint64, crashes]
}

// NewSuspects returns an empty Suspects.
func NewSuspects() *Suspects {
	rows, _ := lru.New[uint64, crashes](suspectEntries) // fails only for a size of 0
	return &Suspects{rows: rows}
}

// Count returns the crashes that count against a request.
func (s *Suspects) Count(now time.Time, digest uint64) uint8 {
	row, ok := s.rows.Get(digest)
	if !ok || now.Sub(row.last) > suspectLife {
		return 0
	}
	return row.count
}

// Raise sets the crashes of a request to a higher number. It returns false if the
// number is not higher.
func (s *Suspects) Raise(now time.Time, digest uint64, count uint8) bool {
	if count <= s.Count(now, digest) {
		return false
	}
	s.rows.Add(digest, crashes{count: count, last: now})
	return true
}

// Clear forgets a request that ran to its end. It returns false if nothing
// counted against it.
func (s *Suspects) Clear(digest uint64) bool { return s.rows.Remove(digest) }
