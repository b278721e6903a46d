package host

import (
	"time"

	"github.com/cassiachute/cassiachute/retry"
)

// MayRetry reports whether the retry budget of a service allows one more retry,
// and if so takes the retry from it.
func (h *Host) MayRetry(now time.Time, service uint32) bool { return h.retryBudget(service).Spend(now) }

// retryBudget returns the retry budget of a service and creates it on first
// use.
func (h *Host) retryBudget(service uint32) *retry.Budget {
	b := h.retryBudgets[service]
	if b == nil {
		b = retry.NewBudget()
		h.retryBudgets[service] = b
	}
	return b
}
