// Package retry decides whether a request may be sent to a target again, and limits how often.
package retry

import "time"

// Parameters of Budget.
const (
	earnedPerRequest = 0.1   // retries that each new request allows
	maxTokens        = 100.0 // retries that a busy service may save up
	reserveTokens    = 10.0  // retries that a quiet service may spend
	refillPerSecond  = 1.0   // up to the reserve
)

// Budget is a token bucket that limits the retries of one service to a part of its requests, so
// that a failing service is not loaded further by retries.
type Budget struct {
	tokens    float64   // retries allowed
	checkedAt time.Time // last call of Spend
}

// NewBudget returns a Budget that holds reserveTokens retries.
func NewBudget() *Budget { return &Budget{tokens: reserveTokens} }

// Earn adds the part of a retry that a new request allows.
func (b *Budget) Earn() { b.tokens = min(maxTokens, b.tokens+earnedPerRequest) }

// Spend returns whether a retry is allowed, and if so subtracts it from the budget.
func (b *Budget) Spend(now time.Time) bool {
	if !b.checkedAt.IsZero() && b.tokens < reserveTokens {
		b.tokens = min(reserveTokens, b.tokens+refillPerSecond*now.Sub(b.checkedAt).Seconds())
	}
	b.checkedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before an attempt. It doubles with each attempt up to one second; the
// seed chooses a jitter of up to half of it.
func Backoff(attempt int, seed uint64) time.Duration {
	const first, longest = 20 * time.Millisecond, time.Second
	full := min(longest, first<<min(attempt, 10))
	part := time.Duration(seed * 0x9e3779b97f4a7c15 >> 40 % 1024)
	return full/2 + full/2*part/1024
}
