package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errLimitExceeded is the cause of a context that WithLimit ended.
var errLimitExceeded = errors.New("time limit exceeded")

// WithLimit returns a context that ends after a time limit. The limit is measured by two timers,
// one after the other, so that it can't run out entirely while this process is suspended: a
// response that arrived in time meanwhile can still be read before the context ends.
func WithLimit(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	half := limit / 2
	end := func() { cancel(errLimitExceeded) }
	timer := time.AfterFunc(half, func() { time.AfterFunc(limit-half, end) })
	return limited, func() {
		timer.Stop()
		cancel(nil)
	}
}
