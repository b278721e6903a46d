package gateway

import (
	"math"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/speed"
	"github.com/cassiachute/cassiachute/wire"
)

// speedMessages returns the wire form of the speeds of targets that this host owns, nil if the state leaves them out.
func speedMessages(speeds []placement.SharedSpeed) []wire.TargetSpeed {
	if speeds == nil {
		return nil
	}
	list := make([]wire.TargetSpeed, 0, len(speeds))
	for _, s := range speeds {
		list = append(list, wire.TargetSpeed{Target: s.Target, Ratio: speed.Encode(s.Ratio), Step: s.Step})
	}
	return list
}

// speedsFromMessage returns the speeds that another host reports of its targets, nil if its state leaves them out.
func speedsFromMessage(speeds []wire.TargetSpeed) []placement.SharedSpeed {
	if speeds == nil {
		return nil
	}
	list := make([]placement.SharedSpeed, 0, len(speeds))
	for _, s := range speeds {
		list = append(list, placement.SharedSpeed{Target: s.Target, Ratio: speed.Decode(s.Ratio), Step: s.Step})
	}
	return list
}

// latenessMessage returns the lateness of this host in microseconds, as messages carry it beside times that the host
// measured. The caller holds the lock.
func (c *core) latenessMessage() uint32 {
	return uint32(min(math.MaxUint32, max(0, c.waitLag().Microseconds())))
}

// takeSpeedChanges returns what changed in the speeds of targets that this host owns, since the last call.
func (c *core) takeSpeedChanges() []placement.SpeedChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.TakeSpeedChanges()
}

// speedCounts counts the targets that this host takes for slower or faster than others.
func (c *core) speedCounts() placement.SpeedCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.SpeedCounts()
}

// targetSpeed records what this host believes of the speed of a target that it owns.
func (r *recorder) targetSpeed(change placement.SpeedChange) {
	r.log.Info().Str("event", eventSpeed).Str("target", change.Target).Float64("ratio", math.Round(100*change.Ratio)/100).
		Int8("step", change.Step).Int("slots", change.Slots).Uint64("samples", change.Samples).Float64("age", milliseconds(change.Age)).Send()
}
