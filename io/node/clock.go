package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since this host started. Unlike Go's monotonic clock it
// counts the time for which the host was suspended, and unlike the time of day it never
// steps.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // the kernel lacks the clock: send times count as unknown
	}
	return time.Duration(ts.Nano())
}
