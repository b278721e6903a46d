package gateway

import (
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
