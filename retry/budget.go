// Package retry bounds how much work is done again.
package retry

import "time"

const (
	earnedPerRequest = 0.1 // retries that each new request allows
	most             = 100.0
	reserve          = 10.0 // retries that a quiet service may spend
	earnedPerSecond  = 1.0
)

// Budget bounds the retries of one service to a part of its requests, so that
// a failing service is not loaded further by retries.
type Budget struct {
	tokens float64
	since  time.Time
}

// NewBudget returns a Budget that holds its reserve.
func NewBudget() *Budget { return &Budget{tokens: reserve} }

// Earn takes the arrival of a new request.
func (b *Budget) Earn() { b.tokens = min(most, b.tokens+earnedPerRequest) }

// Spend returns whether a retry is allowed and takes it from the budget.
func (b *Budget) Spend(now time.Time) bool {
	if !b.since.IsZero() && b.tokens < reserve {
		b.tokens = min(reserve, b.tokens+earnedPerSecond*now.Sub(b.since).Seconds())
	}
	b.since = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before an attempt, with jitter drawn from a seed.
func Backoff(attempt int, seed uint64) time.Duration {
	const first, longest = 20 * time.Millisecond, time.Second
	full := min(longest, first<<min(attempt, 10))
	part := time.Duration(seed * 0x9e3779b97f4a7c15 >> 40 % 1024)
	return full/2 + full/2*part/1024
}
