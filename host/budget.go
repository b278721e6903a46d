package host

import (
	"time"

	"github.com/cassiachute/cassiachute/retry"
)

// MayRetry returns whether the retry budget of a service allows one more retry,
// and takes it from the budget.
func (h *Host) MayRetry(now time.Time, service uint32) bool { return h.budget(service).Spend(now) }

func (h *Host) budget(service uint32) *retry.Budget {
	b := h.budgets[service]
	if b == nil {
		b = retry.NewBudget()
		h.budgets[service] = b
	}
	return b
}
