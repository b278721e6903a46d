package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// errLate means that a limit is over.
var errLate = errors.New("not in time")

// WithLimit returns a context that ends after a limit. It answers a host that stood still: the
// second half of the limit begins when the first was seen to end, so that what another host
// did in time is read before it counts as late.
func WithLimit(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	half := limit / 2
	end := func() { cancel(errLate) }
	timer := time.AfterFunc(half, func() { time.AfterFunc(limit-half, end) })
	return limited, func() {
		timer.Stop()
		cancel(nil)
	}
}
