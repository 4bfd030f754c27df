// Package boottime reads a clock that goes on while the machine is suspended.
// What was granted for a time, such as a lease, has to be judged by it: the
// monotonic clock of the runtime stands still in a suspended machine.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, as an instant that compares only with others
// of this function on the same machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it the monotonic clock
		// is the nearest.
		return time.Unix(0, int64(time.Since(started)))
	}
	return time.Unix(ts.Unix())
}

var started = time.Now()
