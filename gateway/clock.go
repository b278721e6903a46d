package gateway

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// awake returns the time since the host started, with the time for which it was
// suspended. The steady clock of package time leaves that out, so the age of
// what a process knows is taken from here.
func awake() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// ageField returns an age in milliseconds as messages carry it. The age of what was
// never known is as long as the host runs, and must not look new when it is cut.
func ageField(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}
