package gateway

import (
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/warmup"
)

// grantExpired returns whether a slot that was granted at a time since boot may no longer be used: its target is cold or
// suspected, and the grant is older than warmup.MaxGrantAge.
func (c *core) grantExpired(target string, grantedAt time.Duration) bool {
	if sinceBoot()-grantedAt <= warmup.MaxGrantAge {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.MayBeCold(time.Now(), target)
}

// keepCold records that another host still had the same list of targets at a time since boot.
func (c *core) keepCold(asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.KeepCold(time.Now().Add(asOf - sinceBoot()))
}

// takeColdChanges returns the changes of cold targets that this host owns, since the last call.
func (c *core) takeColdChanges() []placement.ColdChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.TakeColdChanges()
}

// coldCounts counts the cold targets and the decisions about them.
func (c *core) coldCounts(now time.Time) placement.ColdCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.ColdCounts(now)
}

// targetCold records that a target owned by this host counts as cold, or no longer as suspected.
func (r *recorder) targetCold(now time.Time, change placement.ColdChange) {
	r.log.Info().Str("event", eventCold).Str("target", change.Target).Str("reason", string(change.Reason)).
		Float64("left", milliseconds(max(0, change.Until.Sub(now)))).Uint64("granted", change.Granted).Send()
}
