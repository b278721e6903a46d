package gateway

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the host booted, including time in which it was suspended,
// or 0 if the clock can't be read. The monotonic clock of package time stops while the host is
// suspended, which would make what a process knows look newer than it is.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// ageMillis returns an age in milliseconds as messages carry it. It is limited to the largest
// value instead of wrapping around: what was never read is as old as the host's uptime and
// must not look new.
func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}
