package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the host booted, as a time after the Unix epoch. Unlike Go's monotonic clock,
// it includes the time during which the host was suspended, so a lease expires during a suspension that its
// holder does not notice. Changes of the wall clock do not affect it.
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every kernel that Go supports has this clock.
		panic("timekeeper: clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Unix(now.Unix())
}
